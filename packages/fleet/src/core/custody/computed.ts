/** Custody computed from this daemon's own host list alone, without agreement between daemons. */
import { hash32 } from '@celeryyoke/core';
import { HostRole } from '@celeryyoke/platform';

import { pairOf } from './rendezvous.js';
import type { Custody, CustodyOptions, CustodyTerm } from './types.js';

const DEFAULT_BUCKETS = 256;

/**
 * Creates custody that follows the host list at once. Tests use it as the unsafe counterpart of
 * `createCustody`: two daemons with different lists can both act.
 */
export function createComputedCustody(options: CustodyOptions): Custody {
  const { bus, membership, timers, buckets = DEFAULT_BUCKETS } = options;
  const knownSince = timers.wall();

  const compute = (bucket: number): CustodyTerm | undefined => {
    const live = membership.hosts(HostRole.Entry).filter((host) => membership.isLive(host.name));
    const pair = pairOf(bucket, live);
    if (pair === undefined) return undefined;
    const home = { name: pair.home.name, generation: 0 };
    const backup = { name: pair.backup.name, generation: 0 };
    return { bucket, epoch: 1, home, backup, knownSince };
  };

  const homeTerm = (bucket: number): CustodyTerm | undefined => {
    const term = compute(bucket);
    return term?.home.name === bus.self.name ? term : undefined;
  };

  return {
    buckets,
    bucketOf: (key) => hash32(key) % buckets,
    heldTerm: (bucket) => {
      const term = compute(bucket);
      return term?.backup.name === bus.self.name ? term : homeTerm(bucket);
    },
    homeTerm,
    likelyHome: (bucket) => compute(bucket)?.home.name,
    recordHomeHint: () => undefined,
    setCargo: () => undefined,
    possibleDaemons: () => new Set(membership.hosts(HostRole.Entry).map((host) => host.name)),
    isStopped: (name, incarnation) => (membership.incarnationOf(name) ?? -Infinity) > incarnation,
    isFormed: () => true,
    status: () => ({ home: 0, backup: 0, handovers: 0, mayAct: true }),
    isSettled: () => true,
    handOverAll: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  };
}
