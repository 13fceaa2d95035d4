/** Daemons with membership and ownership, for tests of take-overs. */
import { createSilentLog } from '@celeryyoke/core';
import type { HostEntry } from '@celeryyoke/platform';

import type { ManagedOwnership, MemoryPeerNet, OwnedResource, OwnershipTimes } from '../../src/index.js';
import { Arbitration, Authority, createOwnership, OwnerTable } from '../../src/index.js';
import type { TestDaemon } from './lists.js';
import { advanceAll, createTestDaemon, entries } from './lists.js';

/** Short times, so that schedules in simulated time stay short. */
export const TEST_TIMES: OwnershipTimes = {
  leaseMs: 1_000,
  hostListLagMs: 600,
  removalTimeoutMs: 800,
  reportPollMs: 100,
  reportLagMs: 100,
  slotLeaseMs: 500,
  driftShare: 0,
  staleLimitMs: 60_000,
  tickMs: 50,
  peerTimeoutMs: 200,
};

const MEMBERSHIP = {
  pollMs: 200,
  tickMs: 20,
  pauseMs: 100,
  suspectMs: 400,
  panicHoldMs: 1_000,
  driftShare: 0,
};

/** A daemon with ownership. */
export interface OwnerDaemon extends TestDaemon {
  readonly ownership: ManagedOwnership;
}

export interface OwnerDaemonOptions {
  readonly resource: string;
  readonly arbitration?: Arbitration;
  readonly checksLeases?: boolean;
  readonly incarnation?: number;
  /** Replaces the single resource that is made from `resource` and `arbitration`. */
  readonly resources?: () => readonly OwnedResource[];
}

/** Creates a daemon and starts its ownership. */
export function createOwnerDaemon(
  net: MemoryPeerNet,
  name: string,
  hosts: readonly HostEntry[],
  options: OwnerDaemonOptions,
): OwnerDaemon {
  const { resource, arbitration = Arbitration.Unfenced, checksLeases = true, incarnation } = options;
  const daemon = createTestDaemon(net, name, hosts, MEMBERSHIP, incarnation);
  const resources = [{ name: resource, arbitration }];
  const { bus, membership, timers, audit } = daemon;
  const log = createSilentLog();
  const ownership = createOwnership({
    bus,
    membership,
    timers,
    log,
    audit,
    resources: options.resources ?? (() => resources),
    times: TEST_TIMES,
    checksLeases,
  });
  ownership.start();
  return { ...daemon, ownership };
}

/** Finds a resource whose owner is the first of these hosts, then the next one as each is removed. */
export function resourceOwnedInOrder(...order: readonly string[]): string {
  for (let index = 0; ; index += 1) {
    const resource = `engine-${index}`;
    const left = [...order];
    while (left.length > 1 && new OwnerTable(left).ownerOf(resource) === left[0]) left.shift();
    if (left.length === 1) return resource;
  }
}

/** Starts daemons and advances time until the owner has full authority. */
export async function startOwners(
  net: MemoryPeerNet,
  names: readonly string[],
  options: OwnerDaemonOptions,
): Promise<OwnerDaemon[]> {
  const daemons = names.map((name) => createOwnerDaemon(net, name, entries(...names), options));
  await advanceAll(net, daemons, 5_000, 50);
  return daemons;
}

/** Advances time until a condition holds. Returns the simulated milliseconds, or Infinity after 30 s. */
export async function simulatedMsUntil(
  net: MemoryPeerNet,
  daemons: readonly OwnerDaemon[],
  isTrue: () => boolean,
): Promise<number> {
  for (let passed = 0; passed < 30_000; passed += 10) {
    if (isTrue()) return passed;
    await advanceAll(net, daemons, 10, 10);
  }
  return Infinity;
}

export function daemonsWithFullAuthority(
  daemons: readonly OwnerDaemon[],
  resource: string,
): readonly string[] {
  return daemons
    .filter(({ ownership }) => ownership.authority(resource) === Authority.Full)
    .map(({ name }) => name);
}
