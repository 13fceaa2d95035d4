/** A fake host list and in-process daemons for the tests of membership and ownership. */
import type { AuditTrail, ManualTimerService } from '@celeryyoke/core';
import { createAuditTrail, createManualTimers, createSilentLog } from '@celeryyoke/core';
import type { HostEntry, HostListSource, HostListView } from '@celeryyoke/platform';
import { HostRole, HostState } from '@celeryyoke/platform';

import type {
  ManagedMembership,
  ManagedPeerBus,
  MembershipSettings,
  MemoryPeerNet,
} from '../../src/index.js';
import { createMembership } from '../../src/index.js';

/** Creates an entry host in a failure domain of its own. */
export function entry(name: string, state = HostState.Live): HostEntry {
  return { name, role: HostRole.Entry, state, domain: `domain-${name}`, address: `${name}:1` };
}

/** Creates live entry hosts. */
export function entries(...names: readonly string[]): readonly HostEntry[] {
  return names.map((name) => entry(name));
}

/** A host list for one reader, whose content and availability are set by the test. */
export interface FakeList extends HostListSource {
  hosts: readonly HostEntry[];
  version: number | undefined;
  isDown: boolean;
  reads: number;
}

/** Creates a host list without a version. */
export function createFakeList(timers: ManualTimerService, hosts: readonly HostEntry[]): FakeList {
  return {
    hosts,
    version: undefined,
    isDown: false,
    reads: 0,
    async read(): Promise<HostListView> {
      this.reads += 1;
      if (this.isDown) throw new Error('the host list is down');
      return { hosts: this.hosts, readAt: timers.now(), version: this.version };
    },
    close: () => Promise.resolve(),
  };
}

/** Creates a deterministic generator of evenly spread numbers from 0 to 1. */
function createEvenlySpread(): () => number {
  let count = 0;
  return () => {
    count += 1;
    return (count * 0.618_033_988_75) % 1;
  };
}

/** One daemon of a test. */
export interface TestDaemon {
  readonly name: string;
  readonly timers: ManualTimerService;
  readonly audit: AuditTrail;
  readonly list: FakeList;
  readonly bus: ManagedPeerBus;
  readonly membership: ManagedMembership;
}

/** Creates a daemon with its own clocks and starts its membership. */
export function createTestDaemon(
  net: MemoryPeerNet,
  name: string,
  hosts: readonly HostEntry[],
  settings: Partial<MembershipSettings> = {},
  incarnation = 1,
): TestDaemon {
  const timers = createManualTimers();
  const audit = createAuditTrail({ daemon: name, timers });
  const list = createFakeList(timers, hosts);
  const bus = net.join({ name, incarnation });
  const log = createSilentLog();
  const random = createEvenlySpread();
  const membership = createMembership({ source: list, bus, timers, log, audit, settings, random });
  membership.start();
  return { name, timers, audit, list, bus, membership };
}

/** Advances the clocks of several daemons together, with a round of heartbeats before each step. */
export async function advanceAll(
  net: MemoryPeerNet,
  daemons: readonly TestDaemon[],
  ms: number,
  stepMs = 100,
): Promise<void> {
  for (let passed = 0; passed < ms; passed += stepMs) {
    net.exchangeHeartbeats();
    for (const { timers } of daemons) await timers.advance(stepMs);
  }
}
