import { AuditKind } from '@celeryyoke/core';
import { HostState } from '@celeryyoke/platform';
import test from 'ava';

import {
  Arbitration,
  Authority,
  claimBoundMs,
  createMemoryPeerNet,
  DEFAULT_OWNERSHIP_TIMES,
  OwnerTable,
  takeOverBoundMs,
} from '../src/index.js';
import { advanceAll, entries, entry } from './support/lists.js';
import type { OwnerDaemon } from './support/owners.js';
import {
  createOwnerDaemon,
  daemonsWithFullAuthority,
  resourceOwnedInOrder,
  startOwners,
  TEST_TIMES,
  simulatedMsUntil,
} from './support/owners.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
const TAKE_OVER_BOUND_MS = takeOverBoundMs(TEST_TIMES);
const DETECTION_MS = 200 + TEST_TIMES.tickMs;

function setLists(daemons: readonly OwnerDaemon[], hosts: ReturnType<typeof entries>): void {
  for (const { list } of daemons) list.hosts = hosts;
}

test('the bounds follow from the settings', (t) => {
  t.is(TAKE_OVER_BOUND_MS, 2 * (600 + 1_000));
  t.is(claimBoundMs(TEST_TIMES), 300 + 100 + 500);
  t.is(Math.round(takeOverBoundMs(DEFAULT_OWNERSHIP_TIMES)), 16_323);
  t.is(Math.round(claimBoundMs(DEFAULT_OWNERSHIP_TIMES)), 8_162);
  t.is(takeOverBoundMs({ ...TEST_TIMES, removalTimeoutMs: 5_000 }), 1_600 + 5_000);
});

test('owners are spread evenly, and one host more or less moves only its own resources', (t) => {
  const resources = Array.from({ length: 2_000 }, (_, index) => `engine-${index}`);
  const before = new OwnerTable(NAMES);
  const after = new OwnerTable(NAMES.slice(1));
  const counts = new Map<string | undefined, number>();
  for (const resource of resources) {
    const owner = before.ownerOf(resource);
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
    if (owner !== 'a') t.is(after.ownerOf(resource), owner);
    t.is(before.ownerWithout(resource, 'a'), after.ownerOf(resource));
  }
  t.is(counts.size, NAMES.length);
  for (const count of counts.values()) t.true(count > 230 && count < 345, `${count}`);
});

test('after a crash the next owner may load at once, and unload after the take-over bound', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const [a, ...others] = await startOwners(net, ['a', 'b', 'c', 'd'], { resource });
  const [b] = others as [OwnerDaemon];
  t.deepEqual(daemonsWithFullAuthority([a!, ...others], resource), ['a']);
  t.is(b.ownership.authority(resource), Authority.None);
  net.leave('a');
  setLists(others, entries('b', 'c', 'd'));
  const added = await simulatedMsUntil(
    net,
    others,
    () => b.ownership.authority(resource) === Authority.Additive,
  );
  t.true(added <= DETECTION_MS, `${added}`);
  t.false(b.ownership.mayGrantSlotLeases(resource));
  const full = await simulatedMsUntil(net, others, () => b.ownership.authority(resource) === Authority.Full);
  t.true(full >= TAKE_OVER_BOUND_MS - DETECTION_MS && full <= TAKE_OVER_BOUND_MS + DETECTION_MS, `${full}`);
  t.true(b.ownership.mayGrantSlotLeases(resource));
  const taken = b.audit.read().filter(({ kind }) => kind === AuditKind.OwnershipTaken);
  t.deepEqual(
    taken.map(({ subject, cause }) => ({ subject, cause })),
    [{ subject: resource, cause: 'the last owner was waited out' }],
  );
});

test('an engine that checks fencing tokens gives the next owner full authority sooner', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const options = { resource, arbitration: Arbitration.Fenced };
  const [a, ...others] = await startOwners(net, ['a', 'b', 'c', 'd'], options);
  const [b] = others as [OwnerDaemon];
  const old = a!.ownership.fencingToken(resource);
  for (const { ownership } of others) ownership.observeFencingToken(resource, old);
  net.leave('a');
  setLists(others, entries('b', 'c', 'd'));
  await simulatedMsUntil(net, others, () => b.ownership.authority(resource) === Authority.Additive);
  t.true(b.ownership.needsClaim(resource));
  const mine = b.ownership.fencingToken(resource);
  t.true(mine > old);
  t.is(b.ownership.fencingToken(resource), mine);
  let passed = 0;
  for (; b.ownership.authority(resource) !== Authority.Full && passed < 10_000; passed += 50) {
    b.ownership.observeFencingToken(resource, mine);
    await advanceAll(net, others, 50, 50);
  }
  t.true(passed >= claimBoundMs(TEST_TIMES) && passed <= claimBoundMs(TEST_TIMES) + 100, `${passed}`);
  t.false(b.ownership.needsClaim(resource));
  // The host list is stale for all daemons, but the engine still reports this owner's token.
  for (const { list } of others) list.isDown = true;
  await advanceAll(net, others, 5_000, 50);
  b.ownership.observeFencingToken(resource, mine);
  t.is(b.ownership.authority(resource), Authority.Full);
  await advanceAll(net, others, 400, 50);
  t.is(
    b.ownership.authority(resource),
    Authority.Additive,
    'without fresh reports a claim gives no full authority',
  );
  // Another daemon has claimed a greater token.
  b.ownership.observeFencingToken(resource, mine * 2);
  t.is(b.ownership.authority(resource), Authority.None);
  for (const { list } of others) list.isDown = false;
  await advanceAll(net, others, 500, 50);
  t.is(b.ownership.authority(resource), Authority.Additive);
  t.true(b.ownership.fencingToken(resource) > mine * 2);
});

test('full authority ends when the configuration says that the engine ignores fencing tokens', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b');
  let arbitration = Arbitration.Fenced;
  const a = createOwnerDaemon(net, 'a', entries('a', 'b'), {
    resource,
    resources: () => [{ name: resource, arbitration }],
  });
  await advanceAll(net, [a], 200, 50);
  const mine = a.ownership.fencingToken(resource);
  for (let passed = 0; passed < 1_500; passed += 50) {
    a.ownership.observeFencingToken(resource, mine);
    await advanceAll(net, [a], 50, 50);
  }
  t.is(a.ownership.authority(resource), Authority.Full);
  arbitration = Arbitration.Unfenced;
  await advanceAll(net, [a], 100, 50);
  t.is(a.ownership.authority(resource), Authority.Additive);
});

test('two daemons that take over from the same fencing token claim different ones', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b');
  const a = createOwnerDaemon(net, 'a', entries('a'), { resource });
  const b = createOwnerDaemon(net, 'b', entries('b'), { resource });
  await advanceAll(net, [a, b], 100, 50);
  for (const { ownership } of [a, b]) ownership.observeFencingToken(resource, 7);
  t.true(a.ownership.fencingToken(resource) > 7);
  t.not(a.ownership.fencingToken(resource), b.ownership.fencingToken(resource));
});

test('a new host that becomes the owner gets the resource once the last order has ended', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('n', 'a', 'b', 'c');
  const daemons = await startOwners(net, ['a', 'b', 'c'], { resource });
  const [a] = daemons as [OwnerDaemon];
  t.deepEqual(daemonsWithFullAuthority(daemons, resource), ['a']);
  const ended = a.ownership.trackOrder(resource);
  const all = entries('a', 'b', 'c', 'n');
  const n = createOwnerDaemon(net, 'n', all, { resource });
  const fleet = [...daemons, n];
  setLists(fleet, all);
  await advanceAll(net, fleet, 500, 50);
  t.deepEqual(daemonsWithFullAuthority(fleet, resource), []);
  ended();
  const full = await simulatedMsUntil(net, fleet, () => daemonsWithFullAuthority(fleet, resource).length > 0);
  t.true(full <= 2 * TEST_TIMES.tickMs, `${full}`);
  t.deepEqual(daemonsWithFullAuthority(fleet, resource), ['n']);
  t.true(n.ownership.fencingToken(resource) > a.ownership.fencingToken(resource) - 1);
});

test('a resource is released to one daemon only', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('n', 'm', 'a', 'b');
  const daemons = await startOwners(net, ['a', 'b'], { resource });
  const ended = daemons[0]!.ownership.trackOrder(resource);
  const n = createOwnerDaemon(net, 'n', entries('a', 'b', 'n'), { resource });
  const m = createOwnerDaemon(net, 'm', entries('a', 'b', 'm'), { resource });
  const fleet = [...daemons, n, m];
  setLists(daemons, entries('a', 'b', 'n'));
  await advanceAll(net, fleet, 400, 50);
  ended();
  await advanceAll(net, fleet, 400, 50);
  t.is(daemonsWithFullAuthority(fleet, resource).length, 1);
  await advanceAll(net, fleet, TEST_TIMES.leaseMs, 50);
  t.is(daemonsWithFullAuthority(fleet, resource).length, 1);
});

test('a graceful shutdown hands over within 100 ms, before the host list shows it', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const daemons = await startOwners(net, ['a', 'b', 'c', 'd'], { resource });
  const [a, b] = daemons as [OwnerDaemon, OwnerDaemon];
  const handedOver = a.ownership.handOver(new AbortController().signal);
  t.is(a.ownership.authority(resource), Authority.None);
  const full = await simulatedMsUntil(net, daemons, () => b.ownership.authority(resource) === Authority.Full);
  t.true(full <= 100, `${full}`);
  await advanceAll(net, daemons, 200, 50);
  await handedOver;
  t.deepEqual(
    daemons.map(({ ownership }) => ownership.ownerOf(resource)),
    ['b', 'b', 'b', 'b'],
  );
  // The host restarts under its address before any list has shown it as gone, and gets its resource back.
  net.leave('a');
  const next = createOwnerDaemon(net, 'a', entries('a', 'b', 'c', 'd'), { resource, incarnation: 2 });
  const fleet = [next, ...daemons.slice(1)];
  let most = 0;
  const back = await simulatedMsUntil(net, fleet, () => {
    most = Math.max(most, daemonsWithFullAuthority(fleet, resource).length);
    return next.ownership.authority(resource) === Authority.Full;
  });
  t.true(back <= 600, `${back}`);
  t.is(most, 1);
});

for (const checksLeases of [true, false]) {
  const outcome = checksLeases ? 'one owner orders' : 'two owners order when leases are not checked';
  test(`an owner that was paused past its lease resumes while sending an order: ${outcome}`, async (t) => {
    const net = createMemoryPeerNet();
    const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
    const daemons = await startOwners(net, ['a', 'b', 'c', 'd'], { resource, checksLeases });
    const [a, ...others] = daemons as [OwnerDaemon, ...OwnerDaemon[]];
    const removals: string[] = [];
    const sendRemoval = ({ name, ownership }: OwnerDaemon): void => {
      if (ownership.authority(resource) === Authority.Full) removals.push(name);
    };
    // The pause begins after the owner has decided on an order and while it waits for a connection.
    net.blockDirection('a', 'b');
    setLists(others, entries('b', 'c', 'd'));
    await advanceAll(net, others, TAKE_OVER_BOUND_MS + DETECTION_MS, 50);
    others.forEach(sendRemoval);
    a.timers.pause(TAKE_OVER_BOUND_MS + DETECTION_MS);
    sendRemoval(a);
    t.deepEqual(removals, checksLeases ? ['b'] : ['b', 'a']);
  });
}

test('while the host list is stale for all, the owner may still send additive orders', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd', 'e', 'f', 'g');
  const daemons = await startOwners(net, NAMES, { resource });
  const [a] = daemons as [OwnerDaemon];
  for (const { list } of daemons) list.isDown = true;
  await advanceAll(net, daemons, 20_000, 50);
  t.is(a.ownership.authority(resource), Authority.Additive);
  t.true(a.ownership.mayGrantSlotLeases(resource));
  // Without two of seven, five still confirm the view, which is enough. Without three it is unconfirmed.
  net.leave('f');
  net.leave('g');
  await advanceAll(net, daemons.slice(0, 5), 1_000, 50);
  t.true(a.ownership.mayGrantSlotLeases(resource));
  for (const { list } of daemons) list.isDown = false;
  await advanceAll(net, daemons.slice(0, 5), 500, 50);
  t.is(a.ownership.authority(resource), Authority.Full, 'nobody else can have become the owner');
  for (const { list } of daemons) list.isDown = true;
  await advanceAll(net, daemons.slice(0, 5), 2_000, 50);
  net.leave('e');
  await advanceAll(net, daemons.slice(0, 4), 1_000, 50);
  t.is(a.ownership.authority(resource), Authority.None);
  t.false(a.ownership.mayGrantSlotLeases(resource));
  for (const { list } of daemons) list.isDown = false;
  await advanceAll(net, daemons.slice(0, 4), 500, 50);
  t.is(
    a.ownership.authority(resource),
    Authority.Additive,
    'after an unconfirmed stale period it waits again',
  );
});

test('partition: the majority continues without the list, the minority does not take over', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'e', 'b', 'c', 'd', 'f', 'g');
  const daemons = await startOwners(net, NAMES, { resource });
  const [a] = daemons as [OwnerDaemon];
  const majority = ['a', 'b', 'c', 'd', 'f'];
  const minority = ['e', 'g'];
  for (const left of majority) {
    for (const right of minority) {
      net.blockDirection(left, right);
      net.blockDirection(right, left);
    }
  }
  for (const { name, list } of daemons) {
    if (majority.includes(name)) list.isDown = true;
    else list.hosts = entries('b', 'c', 'd', 'e', 'f', 'g');
  }
  const e = daemons.find(({ name }) => name === 'e')!;
  for (let passed = 0; passed < 2 * TAKE_OVER_BOUND_MS; passed += 100) {
    await advanceAll(net, daemons, 100, 50);
    t.false(a.ownership.mayGrantSlotLeases(resource) && e.ownership.mayGrantSlotLeases(resource));
  }
  t.true(a.ownership.mayGrantSlotLeases(resource));
  t.is(e.ownership.authority(resource), Authority.Additive);
  net.unblockDirection();
  await advanceAll(net, daemons, 1_000, 50);
  t.is(a.ownership.authority(resource), Authority.None, 'a peer that could read the list passes it on');
  await advanceAll(net, daemons, 1_000, 50);
  t.deepEqual(daemonsWithFullAuthority(daemons, resource), ['e']);
});

test('a host list that is stale for the old owner and fresh for the next leaves one owner', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const daemons = await startOwners(net, ['a', 'b', 'c', 'd'], { resource });
  const [a, b] = daemons as [OwnerDaemon, OwnerDaemon];
  // The owner is unreachable and reads a list with the greatest allowed lag.
  for (const other of ['b', 'c', 'd']) {
    net.blockDirection('a', other);
    net.blockDirection(other, 'a');
  }
  setLists(daemons.slice(1), [entry('a', HostState.Leaving), ...entries('b', 'c', 'd')]);
  let most = 0;
  for (let passed = 0; passed < 2 * TAKE_OVER_BOUND_MS; passed += 50) {
    if (passed === 600) a.list.isDown = true;
    await advanceAll(net, daemons, 50, 50);
    most = Math.max(most, daemonsWithFullAuthority(daemons, resource).length);
  }
  t.is(most, 1);
  t.deepEqual(daemonsWithFullAuthority(daemons, resource), ['b']);
  t.is(b.ownership.authority(resource), Authority.Full);
});

test('two host list changes in quick succession leave one owner', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const daemons = await startOwners(net, ['a', 'b', 'c', 'd'], { resource });
  for (const left of ['a', 'b']) for (const right of ['c', 'd']) net.blockDirection(left, right);
  setLists(daemons.slice(1), entries('b', 'c', 'd'));
  await advanceAll(net, daemons, 300, 50);
  setLists(daemons.slice(2), entries('c', 'd'));
  let most = 0;
  for (let passed = 0; passed < 2 * TAKE_OVER_BOUND_MS; passed += 50) {
    if (passed === 300) setLists(daemons.slice(0, 2), entries('c', 'd'));
    await advanceAll(net, daemons, 50, 50);
    most = Math.max(most, daemonsWithFullAuthority(daemons, resource).length);
  }
  t.is(most, 1);
  t.deepEqual(daemonsWithFullAuthority(daemons, resource), ['c']);
});

test('the next owner of an exclusive resource only waits while the previous one may act', async (t) => {
  const net = createMemoryPeerNet();
  const resource = resourceOwnedInOrder('a', 'b', 'c', 'd');
  const options = { resource, arbitration: Arbitration.Exclusive };
  const [, ...others] = await startOwners(net, ['a', 'b', 'c', 'd'], options);
  const [b] = others as [OwnerDaemon];
  net.leave('a');
  setLists(others, entries('b', 'c', 'd'));
  await advanceAll(net, others, 500, 50);
  t.is(b.ownership.authority(resource), Authority.Waiting);
  await advanceAll(net, others, TAKE_OVER_BOUND_MS, 50);
  t.is(b.ownership.authority(resource), Authority.Full);
});
