import type { AuditTrail } from '@celeryyoke/core';
import {
  AuditKind,
  createAuditTrail,
  createManualTimers,
  createSilentLog,
  Suspicion,
} from '@celeryyoke/core';
import test from 'ava';

import type { SuspectRegistry } from '../src/index.js';
import { createMemoryPeerNet, createSuspectRegistry } from '../src/index.js';
import { createManualMembership } from './support/fleet.js';

const NAMES = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7'];
const UPSTREAMS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const CULPRIT = 'culprit';
const log = createSilentLog();

interface Daemon {
  readonly registry: SuspectRegistry;
  readonly audit: AuditTrail;
}

function startFleet(maxCrashes?: number) {
  const timers = createManualTimers();
  const net = createMemoryPeerNet();
  const start = (name: string): Daemon => {
    const audit = createAuditTrail({ daemon: name, timers });
    const bus = net.join({ name });
    const membership = createManualMembership(NAMES);
    const options = { bus, membership, timers, log, audit, maxCrashes, quarantineMs: 60_000 };
    return { registry: createSuspectRegistry(options), audit };
  };
  return { timers, net, start, daemons: NAMES.map(start) };
}

type Fleet = ReturnType<typeof startFleet>;

/** Runs a request on the first upstream that it may go to, as serving does; the culprit crashes it. */
async function run({ daemons }: Fleet, daemon: Daemon, fingerprint: string): Promise<string | undefined> {
  const { registry } = daemon;
  const suspicion = registry.lookUp(fingerprint);
  if (suspicion === Suspicion.Quarantined) return undefined;
  const isSuspect = suspicion === Suspicion.Suspect;
  const excluded = isSuspect ? registry.upstreamsWithSuspects() : new Set<string>();
  const upstream = UPSTREAMS.find((name) => !excluded.has(name))!;
  const pass = isSuspect ? await registry.isolate(fingerprint, upstream) : undefined;
  registry.started(fingerprint, upstream);
  if (fingerprint === CULPRIT) {
    await Promise.all(daemons.map((other) => other.registry.crashed(upstream)));
  }
  pass?.leave();
  return upstream;
}

test('a request sent again and again through all daemons crashes two upstreams at most', async (t) => {
  const fleet = startFleet();
  const { daemons, timers } = fleet;
  const crashes: string[] = [];
  for (const [index, daemon] of daemons.entries()) {
    // Ordinary requests of other daemons run on every upstream.
    for (const upstream of UPSTREAMS)
      daemons[(index + 1) % 7]!.registry.started(`neighbour-${upstream}`, upstream);
    const crashed = await run(fleet, daemon, CULPRIT);
    if (crashed !== undefined) crashes.push(crashed);
    await timers.advance(5000);
  }
  t.is(crashes.length, 2);
  for (const { registry } of daemons) {
    t.is(registry.lookUp(CULPRIT), Suspicion.Quarantined);
    for (const upstream of UPSTREAMS) t.is(registry.lookUp(`neighbour-${upstream}`), Suspicion.Clear);
  }
});

test('without the registry the same request crashes one upstream for each send', async (t) => {
  const fleet = startFleet(Infinity);
  const crashes: unknown[] = [];
  for (const daemon of fleet.daemons) {
    crashes.push(await run(fleet, daemon, CULPRIT));
    await fleet.timers.advance(5000);
  }
  t.is(crashes.filter((crash) => crash !== undefined).length, NAMES.length);
});

test('a neighbour that completes is cleared everywhere, also where the news came late', async (t) => {
  const { daemons, net } = startFleet();
  const [first, second] = daemons;
  first!.registry.started('neighbour', 'e1');
  net.blockDirection('d1', 'd7');
  await first!.registry.crashed('e1');
  t.is(second!.registry.lookUp('neighbour'), Suspicion.Suspect);
  second!.registry.started('neighbour', 'e2');
  t.true(second!.registry.upstreamsWithSuspects().has('e2'));
  second!.registry.ended('neighbour', 'e2', true);
  net.unblockDirection();
  net.exchangeHeartbeats();
  for (const { registry } of daemons) t.is(registry.lookUp('neighbour'), Suspicion.Clear);
});

test('two suspects never have the same upstream, and a lost holder gives it up', async (t) => {
  const { daemons, net } = startFleet();
  const held = await daemons[0]!.registry.isolate('one', 'e1');
  t.truthy(held);
  t.is(await daemons[1]!.registry.isolate('two', 'e1'), undefined);
  t.truthy(await daemons[1]!.registry.isolate('two', 'e2'));
  held!.leave();
  t.truthy(await daemons[2]!.registry.isolate('two', 'e1'));
  for (const from of NAMES) for (const to of NAMES) if (from !== to) net.blockDirection(from, to);
  const alone = await Promise.all(daemons.map(({ registry }) => registry.isolate('three', 'e4')));
  t.is(alone.filter((pass) => pass !== undefined).length, 1, 'only the arbiter itself can be asked');
});

test('a quarantine is audited, reaches a daemon that starts later, and ends', async (t) => {
  const fleet = startFleet();
  const { daemons, timers, net } = fleet;
  await run(fleet, daemons[0]!, CULPRIT);
  await timers.advance(5000);
  await run(fleet, daemons[1]!, CULPRIT);
  const late = fleet.start('d3');
  t.is(late.registry.lookUp(CULPRIT), Suspicion.Clear);
  net.exchangeHeartbeats();
  t.is(late.registry.lookUp(CULPRIT), Suspicion.Quarantined);
  t.is(late.registry.quarantines()[0]?.fingerprint, CULPRIT);
  await timers.advance(61_000);
  net.exchangeHeartbeats();
  for (const { registry, audit } of [late, daemons[0]!]) {
    t.is(registry.lookUp(CULPRIT), Suspicion.Clear);
    t.deepEqual(
      audit.read().map((record) => record.kind),
      [AuditKind.QuarantineSet, AuditKind.QuarantineLifted],
    );
  }
});

test('each side of a partition stops the request, and after it the whole fleet knows', async (t) => {
  const fleet = startFleet();
  const { daemons, net, timers } = fleet;
  for (const from of ['d1', 'd2']) {
    for (const to of NAMES.slice(2)) {
      net.blockDirection(from, to);
      net.blockDirection(to, from);
    }
  }
  daemons[0]!.registry.started(CULPRIT, 'e1');
  await daemons[0]!.registry.crashed('e1');
  await timers.advance(5000);
  daemons[4]!.registry.started(CULPRIT, 'e2');
  await daemons[4]!.registry.crashed('e2');
  net.unblockDirection();
  net.exchangeHeartbeats();
  for (const { registry } of daemons) t.is(registry.lookUp(CULPRIT), Suspicion.Quarantined);
});
