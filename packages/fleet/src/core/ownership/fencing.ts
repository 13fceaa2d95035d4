/** Generates fencing tokens that exceed any the engine has reported and that differ between owners. */
import { hash32 } from '@celeryyoke/core';

const OWNER_HASH_RANGE = 2 ** 32;

/**
 * Generates the next fencing token. The upper part counts owners. The lower part is a hash of the owner: two
 * daemons that take over from the same token get different ones, so that the engine refuses one of them.
 * @param highestToken - Greatest token that the engine has reported.
 * @param ownerId - Name and incarnation of the owner.
 * @returns The token, a safe integer.
 */
export function nextFencingToken(highestToken: number, ownerId: string): number {
  const ownerCount = Math.floor(highestToken / OWNER_HASH_RANGE) + 1;
  const next = ownerCount * OWNER_HASH_RANGE + hash32(ownerId);
  return Number.isSafeInteger(next) ? next : highestToken + 1;
}
