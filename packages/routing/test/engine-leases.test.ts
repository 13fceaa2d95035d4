/**
 * Ownership of engines: at most one daemon may send orders to an engine, also while daemons fail or are cut
 * off.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { EngineLease, FleetMembership } from '@celeryyoke/routing';
import { EngineLeases, FleetSettling, MemberState } from '@celeryyoke/routing';
import test from 'ava';

const LEASE_MS = 3000;
const SETTLED_MS = 1600;

class FakeFleet implements FleetMembership {
  readonly states = new Map<string, MemberState>();

  readonly downFor = new Map<string, number>();

  constructor(
    readonly self: string,
    others: readonly string[],
  ) {
    for (const other of others) this.states.set(other, MemberState.Alive);
  }

  aliveAddresses = (): string[] =>
    [
      this.self,
      ...[...this.states].filter(([, state]) => state === MemberState.Alive).map(([name]) => name),
    ].sort();

  aliveOrSilentCount = (): number =>
    1 + [...this.states.values()].filter((s) => s === MemberState.Alive || s === MemberState.Silent).length;

  state = (name: string): MemberState =>
    name === this.self ? MemberState.Alive : (this.states.get(name) ?? MemberState.Ended);

  downForMs = (name: string): number => this.downFor.get(name) ?? 0;
}

function setUp(self = 'a', others: readonly string[] = ['b', 'c'], isFenced = false) {
  const timers = createManualTimers();
  const fleet = new FakeFleet(self, others);
  const gained: EngineLease[] = [];
  const lost: string[] = [];
  const flags = { isRecovering: false, isUpToDate: true, isInformed: true, cutOff: new Set<string>() };
  const settling = new FleetSettling({
    alive: () => fleet.aliveAddresses(),
    hasSharedState: () => flags.isInformed,
    timers,
  });
  const leases = new EngineLeases({
    self,
    fleet,
    timers,
    leaseMs: LEASE_MS,
    isFenced,
    isRecovering: () => flags.isRecovering,
    isUpToDate: () => flags.isUpToDate,
    isCutOff: (address) => flags.cutOff.has(address),
    hasSettled: () => settling.hasSettled(),
    onGain: (lease) => gained.push(lease),
    onLoss: (lease) => lost.push(lease.replica),
  });
  return { timers, fleet, leases, gained, lost, flags };
}

const engines = Array.from({ length: 40 }, (_, index) => `engine-${index}`);

test('daemons with the same membership claim every engine once, with distinct tokens', (t) => {
  const names = ['a', 'b', 'c'];
  const claimed = names.flatMap((self) => {
    const { timers, leases, gained } = setUp(
      self,
      names.filter((name) => name !== self),
    );
    timers.advanceSync(SETTLED_MS);
    leases.claimUnowned(engines);
    return gained;
  });
  t.deepEqual(claimed.map(({ replica }) => replica).sort(), [...engines].sort());
  t.is(new Set(claimed.map(({ token }) => token)).size, engines.length);
  t.true(claimed.every(({ token }) => Number.isSafeInteger(token)));
});

test('nothing is claimed before the membership has been stable for a while', (t) => {
  const { timers, fleet, leases, gained } = setUp();
  timers.advanceSync(300);
  leases.claimUnowned(engines);
  t.is(gained.length, 0);
  // A daemon that joins restarts the wait for a stable membership.
  fleet.states.set('d', MemberState.Alive);
  timers.advanceSync(100);
  leases.claimUnowned(engines);
  t.is(gained.length, 0);
  timers.advanceSync(150);
  leases.claimUnowned(engines);
  t.is(gained.length, 0);
  timers.advanceSync(100);
  leases.claimUnowned(engines);
  t.true(gained.length > 0);
});

test('a daemon that has met no other waits longer before it claims, as the others may be starting', (t) => {
  const { timers, leases, gained } = setUp('a', []);
  leases.claimUnowned(engines);
  timers.advanceSync(900);
  leases.claimUnowned(engines);
  t.is(gained.length, 0);
  timers.advanceSync(200);
  leases.claimUnowned(engines);
  t.true(gained.length > 0);
});

test('an engine stays with a living owner, moves at once when it ends or leaves, after leaseMs when silent', (t) => {
  const { timers, fleet, leases, gained } = setUp('a', ['b']);
  timers.advanceSync(SETTLED_MS);
  leases.merge({ replica: 'x', holder: 'b', token: 1 });
  leases.claimUnowned(['x']);
  t.is(gained.length, 0);
  fleet.states.set('b', MemberState.Silent);
  fleet.downFor.set('b', LEASE_MS - 1);
  leases.claimUnowned(['x']);
  t.is(gained.length, 0);
  fleet.downFor.set('b', LEASE_MS + 1);
  leases.claimUnowned(['x']);
  t.is(gained.length, 1);
  t.true(gained[0]!.token > 1);

  const other = setUp('a', ['b']);
  other.timers.advanceSync(SETTLED_MS);
  other.leases.merge({ replica: 'x', holder: 'b', token: 1 });
  other.fleet.states.set('b', MemberState.Leaving);
  other.leases.claimUnowned(['x']);
  t.is(other.gained.length, 1);
});

test('where engines refuse older tokens, a silent owner loses its engine before leaseMs has passed', (t) => {
  const { timers, fleet, leases, gained } = setUp('a', ['b'], true);
  timers.advanceSync(SETTLED_MS);
  leases.merge({ replica: 'x', holder: 'b', token: 1 });
  fleet.states.set('b', MemberState.Silent);
  fleet.downFor.set('b', 400);
  leases.claimUnowned(['x']);
  t.is(gained.length, 0);
  fleet.downFor.set('b', 600);
  leases.claimUnowned(['x']);
  t.is(gained.length, 1);
});

test('a minority of a partitioned fleet sends no orders and claims nothing until its wait is over', (t) => {
  const { timers, fleet, leases, gained } = setUp('a', ['b', 'c', 'd']);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(engines);
  const ownEngine = gained[0]!.replica;
  t.not(leases.tokenForOrder(ownEngine), undefined);
  for (const name of ['b', 'c', 'd']) {
    fleet.states.set(name, MemberState.Silent);
    fleet.downFor.set(name, LEASE_MS + 500);
  }
  leases.merge({ replica: 'theirs', holder: 'b', token: 1 });
  const gainedBefore = gained.length;
  leases.claimUnowned(['theirs']);
  t.is(gained.length, gainedBefore);
  t.is(leases.tokenForOrder(ownEngine), undefined);
  timers.advanceSync(3 * LEASE_MS + 100);
  t.not(
    leases.tokenForOrder(ownEngine),
    undefined,
    'a daemon that stays in the minority may send orders again',
  );
});

test('a daemon that recovers from a pause may not send orders', (t) => {
  const { timers, leases, gained, flags } = setUp('a', []);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  t.is(leases.tokenForOrder('x'), gained[0]!.token);
  flags.isRecovering = true;
  t.is(leases.tokenForOrder('x'), undefined);
});

test('a published lease replaces this daemon’s own only if its token is higher', (t) => {
  const { timers, leases, gained, lost } = setUp('a', []);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  leases.merge({ replica: 'x', holder: 'b', token: gained[0]!.token - 1 });
  t.is(leases.leaseOf('x')?.holder, 'a');
  leases.merge({ replica: 'x', holder: 'b', token: gained[0]!.token + 1 });
  t.is(leases.leaseOf('x')?.holder, 'b');
  t.deepEqual(lost, ['x']);
});

test('an engine that refused a token is claimed again only after a backoff, with a higher token', (t) => {
  const { timers, leases, gained, lost } = setUp('a', []);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  const { token } = gained[0]!;
  leases.handleRefusedToken('x', token);
  t.deepEqual(lost, ['x']);
  leases.claimUnowned(['x']);
  t.is(gained.length, 1);
  timers.advanceSync(2 * LEASE_MS + 1);
  leases.claimUnowned(['x']);
  t.true(gained[1]!.token > token);
});

test('a leaving daemon keeps its engines until another daemon claims them, and claims no more', (t) => {
  const { timers, leases, gained, lost } = setUp('a', []);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  leases.stopClaiming();
  t.is(leases.tokenForOrder('x'), gained[0]!.token);
  leases.claimUnowned(['y']);
  t.is(gained.length, 1);
  leases.merge({ replica: 'x', holder: 'b', token: gained[0]!.token + 1 });
  t.is(leases.tokenForOrder('x'), undefined);
  t.deepEqual(lost, ['x']);
});

test('a wall clock that is set back does not lower tokens', (t) => {
  const timers = createManualTimers();
  const claimed: EngineLease[] = [];
  let wall = 5_000_000;
  const leases = new EngineLeases({
    self: 'a',
    fleet: new FakeFleet('a', []),
    timers: { ...timers, wall: () => wall },
    leaseMs: LEASE_MS,
    isFenced: false,
    isRecovering: () => false,
    isUpToDate: () => true,
    isCutOff: () => false,
    hasSettled: () => true,
    onGain: (lease) => claimed.push(lease),
    onLoss: () => undefined,
  });
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  wall -= 2000;
  leases.claimUnowned(['y']);
  t.true(claimed[1]!.token > claimed[0]!.token);
});

test('a daemon that has not received the shared state of the others claims no engine', (t) => {
  const { timers, leases, gained, flags } = setUp();
  flags.isInformed = false;
  leases.claimUnowned(engines);
  timers.advanceSync(1000);
  leases.claimUnowned(engines);
  t.deepEqual(gained, []);
  flags.isInformed = true;
  leases.claimUnowned(engines);
  t.true(gained.length > 0);
});

test('where engines do not check tokens, a daemon without recent state of the fleet sends no orders', (t) => {
  const { timers, leases, flags } = setUp('a', []);
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  t.not(leases.tokenForOrder('x'), undefined);
  flags.isUpToDate = false;
  t.is(leases.tokenForOrder('x'), undefined);
  const fenced = setUp('a', [], true);
  fenced.timers.advanceSync(SETTLED_MS);
  fenced.leases.claimUnowned(['x']);
  fenced.flags.isUpToDate = false;
  t.not(fenced.leases.tokenForOrder('x'), undefined);
});

// Guards against engines that nobody orders anything, as their owner can't reach them and keeps them.
// Guards against a daemon that ends with an error because a cut is found while it shuts down.
test('a daemon that has closed its leases resigns none', async (t) => {
  const { leases, timers, flags, lost } = setUp('a', []);
  await timers.advance(SETTLED_MS);
  leases.claimUnowned(['x']);
  leases.close();
  flags.cutOff.add('a');
  leases.resignUnreachable();
  t.deepEqual(lost, []);
});

test('an owner that can’t reach its engine sends it no orders, and another daemon claims it at once', async (t) => {
  const owner = setUp('a', ['b', 'c']);
  const other = setUp('b', ['a', 'c']);
  await owner.timers.advance(SETTLED_MS);
  await other.timers.advance(SETTLED_MS);
  const replicas = Array.from({ length: 12 }, (_, index) => `e${index}`);
  owner.leases.claimUnowned(replicas);
  const owned = owner.leases.ownLeases();
  t.true(owned.length > 0);
  for (const lease of owned) other.leases.merge(lease);
  owner.flags.cutOff.add('a');
  other.flags.cutOff.add('a');
  owner.leases.resignUnreachable();
  t.deepEqual(owner.leases.ownLeases(), []);
  t.is(owner.leases.tokenForOrder(owned[0]!.replica), undefined);
  t.is(owner.lost.length, owned.length);
  owner.leases.claimUnowned(replicas);
  t.deepEqual(owner.leases.ownLeases(), []);
  other.leases.claimUnowned(replicas);
  const claimed = other.leases
    .ownLeases()
    .filter(({ replica }) => owned.some((lease) => lease.replica === replica));
  t.true(claimed.length > 0);
  for (const lease of claimed)
    t.true(lease.token > owned.find(({ replica }) => replica === lease.replica)!.token);
  for (const lease of claimed) owner.leases.merge(lease);
  t.is(owner.lost.length, owned.length, 'a loss is told once');
  // What nobody has claimed goes back to the daemon that resigned it, and only that.
  owner.flags.cutOff.clear();
  owner.leases.claimUnowned(replicas);
  const regained = owner.leases.ownLeases().map(({ replica }) => replica);
  t.deepEqual(
    regained,
    owned
      .map(({ replica }) => replica)
      .filter((replica) => claimed.every((lease) => lease.replica !== replica)),
  );
});

/** Plays an owner that has just sent an order, and loses its engine in one of two ways. */
function loseAfterOrder(lose: (site: ReturnType<typeof setUp>, lease: EngineLease) => void) {
  const site = setUp('a', []);
  const { timers, leases, gained } = site;
  timers.advanceSync(SETTLED_MS);
  leases.claimUnowned(['x']);
  leases.recordOrder('x');
  timers.advanceSync(500);
  lose(site, gained[0]!);
  return site;
}

// Guards against two owners that take turns at one engine within a lease.
test('an owner that has lost or resigned an engine claims it again only when the lease of its last order is over', (t) => {
  const sites = [
    loseAfterOrder(({ leases, fleet }, { token }) => {
      leases.merge({ replica: 'x', holder: 'b', token: token + 1 });
      fleet.states.set('b', MemberState.Ended);
    }),
    loseAfterOrder(({ leases, flags }) => {
      flags.cutOff.add('a');
      leases.resignUnreachable();
      flags.cutOff.clear();
    }),
  ];
  for (const { timers, leases, gained } of sites) {
    timers.advanceSync(LEASE_MS - 500 - 100);
    leases.claimUnowned(['x']);
    t.is(gained.length, 1);
    t.is(leases.tokenForOrder('x'), undefined);
    timers.advanceSync(1000);
    leases.claimUnowned(['x']);
    t.is(gained.length, 2);
  }
});
