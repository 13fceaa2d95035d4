/** Rendezvous hashing: assigns names to daemons by the set of living daemons alone. */
import { hash32 } from '@celeryyoke/core';

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
    const score = hash32(`${member}|${name}`);
    if (score > highestScore) {
      highestScore = score;
      owner = member;
    }
  }
  return owner;
}
