/** Membership and shared state of a fleet: convergence of all daemons, how soon, and at what cost. */
import { MemberState } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { TestFleet } from './daemons.js';

/** Time within which running daemons that reach each other agree on the living members, in milliseconds. */
const AGREEMENT_MS = 3000;
/** Time within which a published row reaches all daemons of a settled fleet, in milliseconds. */
const PROPAGATION_MS = 400;

async function startSettledFleet(count: number, zones: number): Promise<TestFleet> {
  const fleet = new TestFleet(zones);
  await fleet.startAll(count);
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  // Daemons move to their positions in the tree up to some seconds after the members are known.
  await fleet.timers.advance(6500);
  return fleet;
}

for (const [count, zones] of [
  [1, 1],
  [8, 3],
  [60, 3],
] as const)
  test(`${count} daemons that start together agree on the members, and a row reaches all`, async (t) => {
    const fleet = new TestFleet(zones);
    await fleet.startAll(count);
    const waited = await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
    t.true(fleet.agrees(), `after ${waited} ms`);
    await fleet.timers.advance(1000);
    fleet.daemon(count - 1).publish('row', 1);
    await fleet.advanceUntil(() => fleet.haveRow('row', 1), PROPAGATION_MS);
    t.true(fleet.haveRow('row', 1));
  });

test('changes that one daemon reads from the store reach all daemons in order', async (t) => {
  const fleet = await startSettledFleet(20, 3);
  for (const revision of [5, 9, 12]) fleet.daemon(0).readStore(revision);
  await fleet.advanceUntil(() => fleet.running().every(({ view }) => view.upTo === 12), PROPAGATION_MS);
  t.true(fleet.running().every(({ view }) => view.upTo === 12));
  // Another daemon reads when the root is cut off from the store.
  fleet.daemon(7).readStore(15);
  await fleet.advanceUntil(() => fleet.running().every(({ view }) => view.upTo === 15), PROPAGATION_MS);
  t.true(fleet.running().every(({ view }) => view.upTo === 15));
  t.true(fleet.running().every(({ view }) => view.ageMs < 1000));
});

test('all daemons detect the end of a process at once', async (t) => {
  const fleet = await startSettledFleet(30, 3);
  fleet.daemon(17).kill();
  const waited = await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(waited <= 300, `${waited} ms`);
});

test('when the root ends, another daemon takes over at once and no row is lost', async (t) => {
  const fleet = await startSettledFleet(30, 3);
  const publisher = fleet.daemon(29);
  publisher.publish('before', 1);
  await fleet.timers.advance(20);
  fleet.daemon(0).kill();
  publisher.publish('after', 1);
  await fleet.advanceUntil(() => fleet.haveRow('after', 1) && fleet.haveRow('before', 1), 1000);
  t.true(fleet.haveRow('before', 1));
  t.true(fleet.haveRow('after', 1));
});

test('when the root freezes, the others go on without it, and it catches up once it resumes', async (t) => {
  const fleet = await startSettledFleet(30, 3);
  const root = fleet.daemon(0);
  const others = fleet.running().filter((daemon) => daemon !== root);
  fleet.network.freeze(root.address);
  await fleet.timers.advance(3000);
  fleet.daemon(11).publish('row', 1);
  await fleet.advanceUntil(() => fleet.haveRow('row', 1, others), 1000);
  t.true(fleet.haveRow('row', 1, others));
  t.true(others.every(({ cluster }) => !cluster.aliveAddresses().includes(root.address)));
  fleet.network.thaw(root.address);
  await fleet.advanceUntil(() => fleet.agrees() && fleet.haveRow('row', 1), AGREEMENT_MS);
  t.true(fleet.agrees());
  t.true(fleet.haveRow('row', 1));
});

test('a daemon that receives nothing becomes silent for all, alive once it is reachable again', async (t) => {
  const fleet = await startSettledFleet(20, 3);
  const isolated = fleet.daemon(9);
  const others = fleet.running().filter((daemon) => daemon !== isolated);
  for (const other of others) fleet.network.cut(other.address, isolated.address);
  await fleet.advanceUntil(() => fleet.agrees(others), AGREEMENT_MS);
  t.true(fleet.agrees(others));
  fleet.network.heal();
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(fleet.agrees());
});

test('both sides of a partition agree on their members in seconds, and all once it heals', async (t) => {
  const fleet = await startSettledFleet(40, 4);
  const left = fleet.running().filter(({ address }) => address.startsWith('10.1.'));
  const right = fleet.running().filter((daemon) => !left.includes(daemon));
  const names = (side: typeof left) => side.map(({ address }) => address);
  fleet.network.partition(names(left), names(right));
  await fleet.advanceUntil(() => fleet.agrees(left) && fleet.agrees(right), 8000);
  t.true(fleet.agrees(left));
  t.true(fleet.agrees(right));
  left[0]!.publish('left', 1);
  right[0]!.publish('right', 1);
  await fleet.timers.advance(1000);
  t.true(fleet.haveRow('left', 1, left));
  t.true(fleet.haveRow('right', 1, right));
  fleet.network.heal();
  await fleet.advanceUntil(
    () => fleet.agrees() && fleet.haveRow('left', 1) && fleet.haveRow('right', 1),
    12_000,
  );
  t.true(fleet.agrees());
  t.true(fleet.haveRow('left', 1) && fleet.haveRow('right', 1));
});

test('a daemon that is partitioned off alone soon detects that it is in the minority', async (t) => {
  const fleet = await startSettledFleet(60, 3);
  const lone = fleet.daemon(31);
  const others = fleet.running().filter((daemon) => daemon !== lone);
  fleet.network.partition(
    [lone.address],
    others.map(({ address }) => address),
  );
  const isMinority = (): boolean =>
    lone.cluster.aliveAddresses().length * 2 < lone.cluster.aliveOrSilentCount();
  const waited = await fleet.advanceUntil(isMinority, 8000);
  t.true(waited <= 5000, `${waited} ms`);
  t.true(lone.tree.rootBatchAgeMs > 1500 || lone.cluster.sinceLastReceivedMs() > 1500);
});

test('the remaining daemons agree after half of the fleet has ended at once', async (t) => {
  const fleet = await startSettledFleet(40, 3);
  for (let index = 0; index < 40; index += 2) fleet.daemon(index).kill();
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(fleet.agrees());
  fleet.daemon(39).publish('row', 1);
  await fleet.advanceUntil(() => fleet.haveRow('row', 1), 1500);
  t.true(fleet.haveRow('row', 1));
});

test('all daemons agree again after all have ended and restarted at the same addresses', async (t) => {
  const fleet = await startSettledFleet(24, 3);
  for (const daemon of fleet.running()) daemon.kill();
  await fleet.timers.advance(500);
  await fleet.startAll(24);
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(fleet.agrees());
});

test('daemons that enlarge a fleet by a fifth join it and have its state within a second', async (t) => {
  const fleet = await startSettledFleet(40, 3);
  fleet.daemon(3).publish('row', 4);
  await fleet.timers.advance(500);
  for (let index = 40; index < 48; index += 1) await fleet.start(index);
  const waited = await fleet.advanceUntil(() => fleet.agrees() && fleet.haveRow('row', 4), AGREEMENT_MS);
  t.true(waited <= 1000, `${waited} ms`);
});

test('all daemons agree after a rolling restart', async (t) => {
  const fleet = await startSettledFleet(12, 3);
  for (let index = 0; index < 12; index += 1) {
    fleet.daemon(index).cluster.leave();
    await fleet.timers.advance(400);
    fleet.daemon(index).kill();
    await fleet.timers.advance(200);
    await fleet.start(index);
    await fleet.timers.advance(300);
  }
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(fleet.agrees());
  fleet.daemon(5).publish('row', 1);
  await fleet.advanceUntil(() => fleet.haveRow('row', 1), 1500);
  t.true(fleet.haveRow('row', 1));
});

test('a daemon whose clock was set back before its restart becomes alive again', async (t) => {
  const fleet = new TestFleet(2);
  await fleet.startAll(6);
  await fleet.timers.advance(2000);
  const { cluster } = fleet.daemon(0);
  const record = cluster.member(fleet.addressOf(5))!;
  // The others know a later incarnation than the one that starts.
  cluster.merge({ ...record, incarnation: record.incarnation + 1000, state: record.state });
  fleet.daemon(5).kill();
  await fleet.timers.advance(300);
  await fleet.start(5);
  await fleet.advanceUntil(() => fleet.agrees(), AGREEMENT_MS);
  t.true(fleet.agrees());
});

test('a daemon that missed the end of a process detects it within some seconds', async (t) => {
  const fleet = await startSettledFleet(20, 2);
  // The last daemon of its domain has no subscribers: only its parent sends it changes of other members.
  const child = fleet.daemon(19);
  const ended = fleet.daemon(14);
  for (const { address } of fleet.running()) fleet.network.loseNext(address, child.address, 8);
  ended.kill();
  await fleet.timers.advance(700);
  const hasMissedChange = child.cluster.aliveAddresses().includes(ended.address);
  await fleet.advanceUntil(() => fleet.agrees(), 7000);
  t.true(hasMissedChange, 'the daemon misses the change');
  t.true(fleet.agrees());
});

test('no daemon keeps dialling one that has ended', async (t) => {
  const fleet = await startSettledFleet(20, 2);
  fleet.daemon(13).kill();
  await fleet.timers.advance(2000);
  const before = [...fleet.network.sent.values()].reduce((sum, count) => sum + count, 0);
  await fleet.timers.advance(3000);
  const perSecond = ([...fleet.network.sent.values()].reduce((sum, count) => sum + count, 0) - before) / 3;
  // Each daemon sends three probes and three responses in 400 ms and a keepalive in 300 ms, and nothing else.
  t.true(perSecond <= 20 * (6 / 0.4 + 1 / 0.3) * 1.2, `${perSecond} messages a second`);
});

test('an idle daemon sends hardly more messages in a large fleet than in a small one', async (t) => {
  const rates: number[] = [];
  for (const count of [12, 96]) {
    const fleet = await startSettledFleet(count, 3);
    await fleet.timers.advance(11_000);
    fleet.network.sent.clear();
    fleet.network.bytes.clear();
    await fleet.timers.advance(3000);
    const sum = (values: Iterable<number>) => [...values].reduce((total, value) => total + value, 0);
    rates.push(sum(fleet.network.sent.values()) / count / 3);
    const most = Math.max(...fleet.network.bytes.values()) / 3;
    t.true(most < 2000, `${most} bytes a second from one of ${count} daemons`);
  }
  t.true(rates[1]! <= rates[0]! * 1.3, `${rates.join(' and ')} messages a second`);
});

test('after any ends, freezes, cuts and restarts all daemons agree within a bounded time', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom('kill', 'start', 'freeze', 'thaw', 'cut', 'heal', 'leave'),
    target: fc.nat(11),
    other: fc.nat(11),
    waitMs: fc.integer({ min: 0, max: 1500 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (steps) => {
      const fleet = new TestFleet(3);
      await fleet.startAll(12);
      await fleet.timers.advance(1000);
      for (const { kind, target, other, waitMs } of steps) {
        const daemon = fleet.daemon(target);
        const { network } = fleet;
        if (kind === 'kill' && !daemon.isStopped) daemon.kill();
        if (kind === 'start' && daemon.isStopped) await fleet.start(target);
        if (kind === 'leave' && !daemon.isStopped) daemon.cluster.leave();
        if (kind === 'freeze') network.freeze(daemon.address);
        if (kind === 'thaw') network.thaw(daemon.address);
        if (kind === 'cut') network.cut(fleet.addressOf(target), fleet.addressOf(other));
        if (kind === 'heal') network.heal();
        await fleet.timers.advance(waitMs);
      }
      for (let index = 0; index < 12; index += 1) fleet.network.thaw(fleet.addressOf(index));
      fleet.network.heal();
      // A daemon that is leaving ends and starts again.
      for (let index = 0; index < 12; index += 1) {
        const daemon = fleet.daemon(index);
        const isLeaving = daemon.cluster.member(daemon.address)!.state !== MemberState.Alive;
        if (isLeaving && !daemon.isStopped) daemon.kill();
        if (daemon.isStopped) await fleet.start(index);
      }
      await fleet.advanceUntil(() => fleet.agrees(), 10_000);
      if (!fleet.agrees()) return false;
      fleet.daemon(4).publish('last', 1);
      await fleet.advanceUntil(() => fleet.haveRow('last', 1), 8000);
      return fleet.haveRow('last', 1);
    }),
    {
      numRuns: 60,
      // Sequences that have failed before.
      examples: [
        [
          [
            { kind: 'kill', target: 6, other: 0, waitMs: 0 },
            { kind: 'freeze', target: 0, other: 0, waitMs: 1292 },
          ],
        ],
        [
          [
            { kind: 'freeze', target: 10, other: 0, waitMs: 0 },
            { kind: 'kill', target: 1, other: 0, waitMs: 1023 },
            { kind: 'kill', target: 1, other: 0, waitMs: 390 },
            { kind: 'kill', target: 1, other: 0, waitMs: 254 },
            { kind: 'freeze', target: 2, other: 0, waitMs: 324 },
            { kind: 'thaw', target: 10, other: 0, waitMs: 333 },
          ],
        ],
        [
          [
            { kind: 'freeze', target: 6, other: 0, waitMs: 0 },
            { kind: 'kill', target: 3, other: 0, waitMs: 0 },
            { kind: 'kill', target: 0, other: 0, waitMs: 624 },
          ],
        ],
      ],
    },
  );
  t.pass();
});
