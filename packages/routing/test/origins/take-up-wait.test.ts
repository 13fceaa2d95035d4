/** How long a stream that is resumed waits for the proof that one version serves. */
import test from 'ava';

import { ReleaseFleet, TakeUp } from './release-fleet.js';

const DAEMONS = 6;
/** Time in which event loops that have become late settle, in milliseconds. */
const SETTLE_MS = 3000;
const TAKE_UPS = 100;
const INTERVAL_MS = 37;
/** Longest wait, in milliseconds; see docs/design/streams.md. */
const MAX_WAIT_MS = 1500;
/** Time by which what reaches the daemons is late, in milliseconds. */
const LATE_MS = [0, 100, 300];
/** Time that callers wait at least, in milliseconds. */
const SHORT_TIMEOUT_MS = 2000;

for (const lateMs of LATE_MS)
  // Guards against refusals while one version serves, as the proof of that takes too long.
  test(`while one version serves, take-ups go on in time at daemons that are ${lateMs} ms late`, async (t) => {
    const release = new ReleaseFleet();
    const { timers, watching } = release;
    await release.start(DAEMONS, ['a', 'b'], 'v1');
    const daemons = watching.fleet.running();
    for (const { address } of daemons) watching.fleet.network.slow(address, lateMs);
    await timers.advance(SETTLE_MS);
    const waits: number[] = [];
    const takeUp = async (index: number): Promise<void> => {
      const daemon = daemons[index % DAEMONS]!;
      const startedAt = timers.now();
      const stream = release.begin(daemon, release.replicasOf(daemon)[0]!, 'prompt', 1)!;
      t.is(await release.takeUp(daemons[(index + 1) % DAEMONS]!, stream), TakeUp.Continued);
      waits.push(timers.now() - startedAt);
    };
    for (let index = 0; index < TAKE_UPS; index += 1) {
      void takeUp(index);
      await timers.advance(INTERVAL_MS);
    }
    await timers.advance(2 * MAX_WAIT_MS);
    release.stop();
    t.is(waits.length, TAKE_UPS);
    const longestMs = Math.max(...waits);
    t.log(`mean ${Math.round(waits.reduce((sum, ms) => sum + ms) / TAKE_UPS)} ms, longest ${longestMs} ms`);
    t.true(longestMs <= MAX_WAIT_MS);
  });

// Guards against callers with little time who are refused though nothing is wrong and one version serves.
test('while one version serves, take-ups with two seconds left go on', async (t) => {
  const release = new ReleaseFleet();
  const { timers, watching } = release;
  await release.start(DAEMONS, ['a', 'b'], 'v1');
  const daemons = watching.fleet.running();
  await timers.advance(SETTLE_MS);
  const results: TakeUp[] = [];
  const takeUp = async (index: number): Promise<void> => {
    const daemon = daemons[index % DAEMONS]!;
    const stream = release.begin(daemon, release.replicasOf(daemon)[0]!, 'prompt', 1)!;
    results.push(await release.takeUp(daemons[(index + 1) % DAEMONS]!, stream, SHORT_TIMEOUT_MS));
  };
  for (let index = 0; index < TAKE_UPS; index += 1) {
    void takeUp(index);
    await timers.advance(INTERVAL_MS);
  }
  await timers.advance(SHORT_TIMEOUT_MS);
  release.stop();
  t.is(results.length, TAKE_UPS);
  t.is(results.filter((result) => result === TakeUp.Refused).length, 0);
});
