/**
 * Software versions of the replicas of each service: those that are listed, and former ones. A former one counts for good:
 * nothing bounds how long ago a stream began that its caller resumes.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type { ServedVersion } from './types.js';

/** Largest number of versions of a service that are remembered after their replicas; the first to go is dropped. */
const MAX_FORMER_VERSIONS = 32;
/** Stands for the version of replicas whose version is not known; entries have no empty one. */
export const UNKNOWN_VERSION = '';
/** Stands for every service, where that of a former replica is not known. */
export const ANY_SERVICE = '';

/** Replicas of one service and version. */
interface VersionUse {
  /** Ids of the listed ones. */
  readonly replicas: Set<string>;
  /** Monotonic time at which this daemon first saw the version, in milliseconds. */
  readonly seenAt: number;
  /** Monotonic time at which the last replica was removed, in milliseconds. */
  removedAt: number;
}

/** What is known of the versions of one service. */
export interface KnownVersions {
  readonly count: number;
  /** The first of them; undefined if there is none or it is not known. */
  readonly first: string | undefined;
  /** Whether there are replicas whose version is not known. */
  readonly hasUnknown: boolean;
  /** Time since the latest of them appeared, in milliseconds. */
  readonly newestMs: number;
}

/** The versions of all services. */
export class VersionTable {
  private readonly services = new Map<string, Map<string, VersionUse>>();

  constructor(private readonly timers: Pick<TimerService, 'now'>) {}

  /**
   * Records a replica that appeared, changed or was removed.
   * @param entry - Undefined if it was removed.
   * @param before - Undefined if it is new.
   * @param isLongListed - Whether it may have been listed long before this daemon sees it.
   */
  update(
    id: string,
    entry: ReplicaEntry | undefined,
    before: ReplicaEntry | undefined,
    isLongListed: boolean,
  ): void {
    if (before !== undefined && (entry === undefined || entry.softwareVersion !== before.softwareVersion))
      this.remove(id, before, entry !== undefined);
    if (entry === undefined) return;
    const uses = this.usesOf(entry.service);
    const version = entry.softwareVersion ?? UNKNOWN_VERSION;
    const seenAt = isLongListed ? Number.NEGATIVE_INFINITY : this.timers.now();
    const use = uses.get(version) ?? { replicas: new Set(), seenAt, removedAt: seenAt };
    uses.set(version, use);
    use.replicas.add(id);
  }

  /**
   * Returns the versions of a service that count.
   * @param since - Monotonic time before which the last replica of a version was gone if it does not count, in
   *   milliseconds.
   */
  versionsOf(service: string, since = Number.NEGATIVE_INFINITY): KnownVersions {
    const uses = [...this.usesOf(service), ...this.usesOf(ANY_SERVICE)].filter(
      ([, { replicas, removedAt }]) => replicas.size > 0 || removedAt >= since,
    );
    const versions = uses.map(([version]) => version);
    const newestAt = Math.max(...uses.map(([, { seenAt }]) => seenAt));
    return {
      count: versions.length,
      first: versions[0] || undefined,
      hasUnknown: versions.includes(UNKNOWN_VERSION),
      newestMs: this.timers.now() - newestAt,
    };
  }

  /** Returns for how long a version has been known, in milliseconds; 0 if it is not. */
  knownForMs(service: string, softwareVersion: string): number {
    const use = this.usesOf(service).get(softwareVersion);
    return use === undefined ? 0 : this.timers.now() - use.seenAt;
  }

  /** Versions of all services, without those of listed replicas that are not known yet. */
  *servedVersions(): Generator<ServedVersion, void, undefined> {
    for (const service of this.services.keys())
      for (const [softwareVersion, { replicas, removedAt }] of this.usesOf(service))
        if (replicas.size === 0) yield { service, softwareVersion, removedAt };
        else if (softwareVersion !== UNKNOWN_VERSION)
          yield { service, softwareVersion, removedAt: undefined };
  }

  /** Merges a version that a peer or the store knows; one that this daemon does not list may have left since. */
  merge({ service, softwareVersion, removedAt }: ServedVersion): void {
    const now = this.timers.now();
    const uses = this.usesOf(service);
    const known = uses.get(softwareVersion);
    if (known !== undefined) known.removedAt = Math.max(known.removedAt, removedAt ?? now);
    else {
      // One that the peer lists may also be too new for this daemon's view.
      const seenAt = removedAt === undefined ? now : Number.NEGATIVE_INFINITY;
      uses.set(softwareVersion, { replicas: new Set(), seenAt, removedAt: removedAt ?? now });
    }
    limitFormer(uses);
  }

  /**
   * @param isListed - Whether the replica is still listed: then its version has changed or has become known.
   */
  private remove(id: string, { service, softwareVersion }: ReplicaEntry, isListed: boolean): void {
    const uses = this.usesOf(service);
    const version = softwareVersion ?? UNKNOWN_VERSION;
    const use = uses.get(version);
    use?.replicas.delete(id);
    if (use === undefined || use.replicas.size > 0) return;
    use.removedAt = this.timers.now();
    if (isListed && softwareVersion === undefined) uses.delete(version);
    limitFormer(uses);
  }

  private usesOf(service: string): Map<string, VersionUse> {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created = new Map<string, VersionUse>();
    this.services.set(service, created);
    return created;
  }
}

function limitFormer(uses: Map<string, VersionUse>): void {
  const former = [...uses].filter(([, { replicas }]) => replicas.size === 0);
  if (former.length <= MAX_FORMER_VERSIONS) return;
  const [oldest] = former.sort(([, left], [, right]) => left.removedAt - right.removedAt);
  uses.delete(oldest![0]);
}
