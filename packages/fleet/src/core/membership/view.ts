/** Host lists, indexed and with digests for comparison between daemons. */
import type { TimerService } from '@celeryyoke/core';
import { hashText } from '@celeryyoke/core';
import type { HostEntry, HostListView } from '@celeryyoke/platform';
import { HostRole, HostState } from '@celeryyoke/platform';

import type { Moment } from './clocks.js';
import { elapsedSince } from './clocks.js';

function canonicalLine({ name, role, state, domain, address }: HostEntry): string {
  return [name, role, state, domain, address].join('\t');
}

/**
 * Computes the digest of a list, independent of the order of its hosts.
 * @returns Sixteen hexadecimal digits.
 */
export function digestOf(hosts: readonly HostEntry[]): string {
  return hashText(hosts.map(canonicalLine).sort().join('\n'));
}

/** Digest of the names of the live entry hosts, which determine the owners. */
function entryDigestOf(hosts: readonly HostEntry[]): string {
  const live = hosts.filter(({ role, state }) => role === HostRole.Entry && state === HostState.Live);
  return hashText(
    live
      .map(({ name }) => name)
      .sort()
      .join('\n'),
  );
}

/** The hosts of one list, indexed by name and role. */
export class HostTable {
  readonly digest: string;

  /** Digest of the names of the live entry hosts alone. */
  readonly entryDigest: string;

  private readonly byName: ReadonlyMap<string, HostEntry>;

  private readonly byRole: ReadonlyMap<HostRole, readonly HostEntry[]>;

  constructor(
    readonly hosts: readonly HostEntry[],
    readonly version: number | undefined,
    digest = digestOf(hosts),
  ) {
    this.digest = digest;
    this.entryDigest = entryDigestOf(hosts);
    this.byName = new Map(hosts.map((host) => [host.name, host]));
    const byRole = new Map<HostRole, HostEntry[]>();
    for (const role of Object.values(HostRole)) byRole.set(role, []);
    for (const host of hosts) byRole.get(host.role)?.push(host);
    this.byRole = byRole;
  }

  find(name: string): HostEntry | undefined {
    return this.byName.get(name);
  }

  ofRole(role: HostRole): readonly HostEntry[] {
    return this.byRole.get(role) ?? [];
  }

  /** Whether a host is listed and not leaving. */
  isLive(name: string): boolean {
    return this.byName.get(name)?.state === HostState.Live;
  }
}

/** The list in use and when its read was started. */
export class ListView {
  constructor(
    readonly table: HostTable,
    readonly startedAt: Moment,
  ) {}

  /** Current age in milliseconds. */
  ageMs(timers: TimerService): number {
    return elapsedSince(this.startedAt, timers);
  }
}

/** Indexes a list that was read; returns the last table itself when nothing has changed. */
export function toHostTable(reading: HostListView, last: HostTable | undefined): HostTable {
  const { hosts, version } = reading;
  const digest = last?.hosts === hosts ? last.digest : digestOf(hosts);
  if (last !== undefined && last.digest === digest && last.version === version) return last;
  return new HostTable(hosts, version, digest);
}
