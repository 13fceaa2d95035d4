/** How old the records are that daemons route by while some of them lack the store and event loops are late. */
import test from 'ava';

import type { TestDaemon } from './daemons.js';
import { WatchingFleet } from './watching-fleet.js';

/** Bound on the time until a change is in force in fleets of this size, in milliseconds. */
const IN_FORCE_MS = 3000;
const RUN_MS = 8000;
const WRITE_INTERVAL_MS = 100;
/** Time by which responses of a slow store are late, in milliseconds. */
const SLOW_STORE_MS = 900;
/** Plays the whole table in place of the cells that CI plays. */
const IS_WHOLE = process.env.CELERYYOKE_TABLE === 'whole';

/** Daemons that lack the store, in the order of their rank as readers. */
const WHO: Readonly<Record<string, (ranked: readonly TestDaemon[]) => readonly TestDaemon[]>> = {
  'the root': (ranked) => ranked.slice(0, 1),
  'the root and the next': (ranked) => ranked.slice(0, 2),
  'a third': (ranked) => ranked.slice(0, Math.ceil(ranked.length / 3)),
  'all but one': (ranked) => ranked.slice(0, -1),
};

type Fault = (watching: WatchingFleet, address: string) => void;

/** How they lack it. */
const HOW: Readonly<Record<string, Fault>> = {
  refused: ({ store }, address) => store.refused.add(address),
  silent: ({ store }, address) => store.unreachable.add(address),
  slow: ({ store }, address) => store.delayedMs.set(address, SLOW_STORE_MS),
  'cut off with its peers': ({ store, fleet }, address) => {
    store.unreachable.add(address);
    for (const other of fleet.running()) {
      fleet.network.cut(address, other.address);
      fleet.network.cut(other.address, address);
    }
  },
  'without history': ({ store }, address) => {
    store.refused.add(address);
    Object.assign(store, { hasNoHistory: true });
  },
};
const CUT_OFF = 'cut off with its peers';

/** Plays one cell; returns the longest time for which a daemon in touch lacked a change, in milliseconds. */
async function play(count: number, who: string, how: string, lateMs: number): Promise<number> {
  const watching = new WatchingFleet();
  const { fleet, store } = watching;
  await watching.settle(count);
  const ranked = fleet.running();
  if (lateMs > 0) for (const { address } of ranked) fleet.network.slow(address, lateMs);
  const hit = WHO[who]!(ranked);
  for (const { address } of hit) HOW[how]!(watching, address);
  const inTouch = how === CUT_OFF ? ranked.filter((daemon) => !hit.includes(daemon)) : ranked;
  let staleMs = 0;
  await watching.run(RUN_MS, WRITE_INTERVAL_MS, () => {
    staleMs = Math.max(staleMs, ...inTouch.map(({ view }) => store.staleMs(view.upTo)));
  });
  watching.stop();
  for (const daemon of ranked) daemon.kill();
  return staleMs;
}

const COUNTS = IS_WHOLE ? [69, 78] : [69];
const LATE_MS = IS_WHOLE ? [0, 100, 300, 900] : [100];

for (const count of COUNTS)
  for (const how of Object.keys(HOW))
    for (const lateMs of LATE_MS)
      // Guards against a change that is in force too late as the daemons that read it for all lack the store.
      test(`${count} daemons whose loops are ${lateMs} ms late route by recent records: store ${how}`, async (t) => {
        t.timeout(600_000);
        const late: string[] = [];
        for (const who of Object.keys(WHO)) {
          const staleMs = await play(count, who, how, lateMs);
          t.log(`${who}: ${staleMs} ms`);
          if (staleMs >= IN_FORCE_MS) late.push(who);
        }
        t.deepEqual(late, []);
      });
