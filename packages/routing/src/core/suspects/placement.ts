/**
 * Ranks the replicas for a suspect by hashing, so that all daemons send all copies of it to the same replica, and
 * different suspects to different ones. A crash then takes one replica and shows which request caused it.
 */
import { hash32 } from '@celeryyoke/core';

/** A suspect that needs a replica. */
export interface PlacementInput {
  readonly fingerprint: string;
  /** Suspects that were in flight at several crashes, sorted; other suspects keep away from their replicas. */
  readonly repeated: readonly string[];
  /** Replicas that can be chosen. */
  readonly replicas: readonly string[];
}

/**
 * Ranks replicas for a suspect.
 * @returns The rank of each replica; 0 is the first choice.
 */
export function rankReplicas({ fingerprint, repeated, replicas }: PlacementInput): Map<string, number> {
  const reserved = reserveReplicas(repeated, replicas);
  const own = reserved.get(fingerprint);
  const others = new Set([...reserved].flatMap(([name, replica]) => (name === fingerprint ? [] : replica)));
  const ranked = sortByHash(fingerprint, replicas);
  const order = [
    ...ranked.filter((replica) => replica === own),
    ...ranked.filter((replica) => replica !== own && !others.has(replica)),
    ...ranked.filter((replica) => replica !== own && others.has(replica)),
  ];
  return new Map(order.map((replica, rank) => [replica, rank]));
}

/** Gives each suspect the replica that ranks first for it among those that no suspect before it has. */
function reserveReplicas(suspects: readonly string[], replicas: readonly string[]): Map<string, string> {
  const reserved = new Map<string, string>();
  const free = new Set(replicas);
  for (const suspect of suspects) {
    const replica = sortByHash(suspect, replicas).find((candidate) => free.has(candidate));
    if (replica === undefined) break;
    free.delete(replica);
    reserved.set(suspect, replica);
  }
  return reserved;
}

function sortByHash(fingerprint: string, replicas: readonly string[]): string[] {
  return replicas
    .map((replica) => ({ replica, score: hash32(`${fingerprint}@${replica}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ replica }) => replica);
}
