/** Rendezvous hashing: assigns names to daemons by the set of living daemons alone. */
import { hash32 } from '@celeryyoke/core';

/** A daemon that names may be assigned to. */
export interface RendezvousMember {
  readonly address: string;
  /** Failure domain; undefined if it is not known. */
  readonly zone: string | undefined;
}

/**
 * Returns the daemon with the highest hash for a name. When a daemon ends, only the names assigned to it
 * move.
 * @param name - Name of what is assigned, such as an engine or a client account.
 * @param members - Addresses of the living daemons.
 * @returns Address of a daemon, or undefined when there are none.
 */
export function rendezvousOwner(name: string, members: readonly string[]): string | undefined {
  let owner: string | undefined;
  let highestScore = -1;
  for (const member of members) {
    const score = scoreOf(name, member);
    if (score > highestScore) {
      highestScore = score;
      owner = member;
    }
  }
  return owner;
}

/**
 * Returns the daemons with the highest hashes for a name, in as many failure domains as there are. When a daemon
 * ends, the others of its names stay assigned to them.
 * @param name - Name of what is assigned.
 * @param members - The living daemons.
 * @param count - Most daemons to return.
 * @returns Addresses, the highest hash of a failure domain first.
 */
export function rendezvousOwners(
  name: string,
  members: readonly RendezvousMember[],
  count: number,
): string[] {
  const ranked = members
    .map(({ address, zone }) => ({ address, zone, score: scoreOf(name, address) }))
    .sort((left, right) => right.score - left.score);
  const first = new Set(firstOfEachZone(ranked));
  const rest = ranked.filter((member) => !first.has(member));
  return [...first, ...rest].slice(0, count).map(({ address }) => address);
}

function scoreOf(name: string, address: string): number {
  return hash32(`${address}|${name}`);
}

function* firstOfEachZone(
  members: readonly RendezvousMember[],
): Generator<RendezvousMember, void, undefined> {
  const zones = new Set<string | undefined>();
  for (const member of members) {
    if (!zones.has(member.zone)) yield member;
    zones.add(member.zone);
  }
}
