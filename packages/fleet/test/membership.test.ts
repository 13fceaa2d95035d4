import { AuditKind } from '@celeryyoke/core';
import { HostRole, HostState } from '@celeryyoke/platform';
import test from 'ava';

import { chooseNeighbours, createMemoryPeerNet } from '../src/index.js';
import type { TestDaemon } from './support/lists.js';
import { advanceAll, createTestDaemon, entries, entry } from './support/lists.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

function entryNames({ membership }: TestDaemon): string {
  return membership
    .hosts(HostRole.Entry)
    .map(({ name }) => name)
    .join('');
}

function auditKinds({ audit }: TestDaemon): readonly AuditKind[] {
  return audit.read().map(({ kind }) => kind);
}

test('the view follows the host list, and its age is counted from the read', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries('a', 'b'));
  t.is(a.membership.ageMs(), Infinity);
  await a.timers.advance(1);
  t.is(entryNames(a), 'ab');
  t.is(a.membership.ageMs(), 1);
  a.list.hosts = [entry('a'), entry('b', HostState.Leaving)];
  await a.timers.advance(1_000);
  t.false(a.membership.isLive('b'));
  a.list.isDown = true;
  await a.timers.advance(4_000);
  t.true(a.membership.ageMs() >= 4_000);
  t.is(entryNames(a), 'ab');
});

test('an older version of the list is rejected, except after a restore of the platform', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries('a', 'b'), { versionResetMs: 10_000 });
  await a.timers.advance(1);
  a.list.version = 7;
  await a.timers.advance(1_000);
  a.list.version = 6;
  a.list.hosts = entries('a');
  await a.timers.advance(5_000);
  t.is(entryNames(a), 'ab');
  t.true(a.membership.ageMs() >= 4_000, 'an older list must not renew the view');
  t.deepEqual(auditKinds(a), [AuditKind.HostListHeld]);
  await a.timers.advance(10_000);
  t.is(entryNames(a), 'a');
  t.deepEqual(auditKinds(a), [AuditKind.HostListHeld, AuditKind.HostListTaken]);
});

test('a list without most of the hosts is held back, unless they were leaving before', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries(...NAMES), { panicHoldMs: 3_000 });
  await a.timers.advance(1);
  a.list.hosts = entries('a', 'b', 'c');
  await a.timers.advance(2_000);
  t.is(entryNames(a), 'abcdefg');
  a.list.hosts = entries(...NAMES);
  await a.timers.advance(1_000);
  a.list.hosts = entries('a', 'b', 'c');
  await a.timers.advance(3_000);
  t.is(entryNames(a), 'abcdefg', 'the hold time restarts when a complete list was read in between');
  await a.timers.advance(1_100);
  t.is(entryNames(a), 'abc');
  a.list.hosts = [entry('a'), entry('b', HostState.Leaving), entry('c', HostState.Leaving)];
  await a.timers.advance(1_000);
  a.list.hosts = entries('a');
  await a.timers.advance(1_000);
  t.is(entryNames(a), 'a');
  a.list.hosts = [];
  await a.timers.advance(60_000);
  t.is(entryNames(a), 'a', 'an empty list is never accepted');
});

test('a pause is detected by either clock, before the next timer fires', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries('a', 'b'));
  await a.timers.advance(500);
  t.false(a.membership.needsConfirmation());
  a.timers.pause(2_000);
  t.true(a.membership.needsConfirmation());
  t.deepEqual(auditKinds(a), [AuditKind.PauseNoticed]);
  await a.timers.advance(1_100);
  t.false(a.membership.needsConfirmation(), 'a read started after the pause confirms the view');
});

test('a suspension that stops the monotonic clock is detected by the wall clock', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries('a', 'b'));
  await a.timers.advance(500);
  const { wall } = a.timers;
  Object.assign(a.timers, { wall: () => wall() + 60_000 });
  t.true(a.membership.ageMs() >= 60_000);
  t.true(a.membership.needsConfirmation());
});

test('a daemon that can not read the host list gets it with its true age from its peers', async (t) => {
  const net = createMemoryPeerNet();
  const daemons = ['a', 'b', 'c'].map((name) => createTestDaemon(net, name, entries('a', 'b', 'c')));
  const [a, b] = daemons as [TestDaemon, TestDaemon];
  await advanceAll(net, daemons, 1_500);
  a.list.isDown = true;
  for (const { list } of daemons) list.hosts = entries('a', 'b', 'c', 'd');
  await advanceAll(net, daemons, 5_000);
  t.is(entryNames(a), 'abcd');
  t.true(a.membership.ageMs() <= 3_000);
  t.true(a.membership.ageMs() >= b.membership.ageMs());
  for (const { list } of daemons) list.isDown = true;
  await advanceAll(net, daemons, 20_000);
  t.true(a.membership.ageMs() >= 19_000, 'a view that is passed between peers must not look more recent');
});

test('after a pause while the platform is down, most peers must confirm the view', async (t) => {
  const net = createMemoryPeerNet();
  const daemons = ['a', 'b', 'c', 'd'].map((name) =>
    createTestDaemon(net, name, entries('a', 'b', 'c', 'd')),
  );
  const a = daemons[0]!;
  await advanceAll(net, daemons, 1_500);
  for (const { list } of daemons) list.isDown = true;
  await advanceAll(net, daemons, 3_000);
  for (const name of ['b', 'c']) net.blockDirection('a', name);
  a.timers.pause(10_000);
  await advanceAll(net, daemons, 4_000);
  t.true(a.membership.needsConfirmation());
  net.unblockDirection();
  await advanceAll(net, daemons, 4_000);
  t.false(a.membership.needsConfirmation());
});

test('a host that returns at its address with a new incarnation is a new process start', async (t) => {
  const net = createMemoryPeerNet();
  const a = createTestDaemon(net, 'a', entries('a', 'b'));
  let b = createTestDaemon(net, 'b', entries('a', 'b'));
  await advanceAll(net, [a, b], 1_500);
  t.is(a.membership.incarnationOf('b'), 1);
  t.true(a.membership.isReachable('b'));
  let changes = 0;
  a.membership.subscribe(() => {
    changes += 1;
  });
  a.list.hosts = [entry('a'), entry('b', HostState.Leaving)];
  await advanceAll(net, [a, b], 1_000);
  t.false(a.membership.isLive('b'));
  net.leave('b');
  a.list.hosts = entries('a');
  await advanceAll(net, [a], 5_000);
  t.is(a.membership.incarnationOf('b'), undefined);
  t.false(a.membership.isReachable('b'));
  a.list.hosts = entries('a', 'b');
  b = createTestDaemon(net, 'b', entries('a', 'b'), {}, 2);
  await advanceAll(net, [a, b], 1_500);
  t.is(a.membership.incarnationOf('b'), 2);
  t.true(changes > 0);
});

test('links go to all peers of a small fleet and to few of a large one, few hops apart', (t) => {
  t.deepEqual(chooseNeighbours('a', NAMES, 16), new Set('bcdefg'));
  t.is(
    chooseNeighbours(
      'n-0',
      Array.from({ length: 20 }, (_, index) => `n-${index}`),
      16,
    ).size,
    16,
  );
  const largeFleet = Array.from({ length: 400 }, (_, index) => `host-${index}`);
  const links = new Map(largeFleet.map((name) => [name, chooseNeighbours(name, largeFleet, 16)]));
  for (const chosen of links.values()) t.is(chosen.size, 16);
  const reached = new Set(['host-0']);
  let hops = 0;
  for (; reached.size < largeFleet.length && hops < 20; hops += 1) {
    for (const name of [...reached]) for (const next of links.get(name)!) reached.add(next);
  }
  t.is(reached.size, largeFleet.length);
  t.true(hops <= 9, `${hops} hops`);
  const affected = largeFleet.filter((name) => {
    const after = chooseNeighbours(name, largeFleet.slice(1), 16);
    return name !== 'host-0' && [...after].some((peer) => !links.get(name)!.has(peer));
  });
  t.true(affected.length < 60, `${affected.length} daemons changed a link when one host left`);
});
