/** Rendezvous ranks: every daemon with the same hosts computes the same order. */
import { hash32 } from '@celeryyoke/core';

/** Most hosts that keep buckets when the options state no other number. */
export const DEFAULT_KEEPERS = 16;

/** A host that can keep records. */
export interface Candidate {
  readonly name: string;
  readonly domain: string;
}

/** The pair that a list of hosts gives. */
export interface CandidatePair<T extends Candidate> {
  readonly home: T;
  readonly backup: T;
}

/**
 * Computes a host's rank for a bucket.
 * @param bucket - The bucket.
 * @param name - The host.
 * @returns Its weight; the greatest is the home.
 */
export function rankOf(bucket: number, name: string): number {
  return hash32(name, bucket + 1);
}

/**
 * Compares two hosts for a bucket.
 * @param bucket - The bucket.
 * @param left - One host's name.
 * @param right - The other's.
 * @returns Whether the left one goes before the right one.
 */
export function outranks(bucket: number, left: string, right: string): boolean {
  const difference = rankOf(bucket, left) - rankOf(bucket, right);
  return difference > 0 || (difference === 0 && left < right);
}

/**
 * Computes home and backup: the two first by rank, in different failure domains where there are two.
 * @param bucket - The bucket.
 * @param candidates - The hosts.
 * @returns The pair, or undefined when there are fewer than two hosts.
 */
export function pairOf<T extends Candidate>(
  bucket: number,
  candidates: readonly T[],
): CandidatePair<T> | undefined {
  let home: T | undefined;
  for (const candidate of candidates) {
    if (home === undefined || outranks(bucket, candidate.name, home.name)) home = candidate;
  }
  if (home === undefined) return undefined;
  let backup: T | undefined;
  for (const candidate of candidates) {
    if (candidate.name === home.name) continue;
    if (backup === undefined || isBetterBackup(bucket, home, candidate, backup)) backup = candidate;
  }
  return backup === undefined ? undefined : { home, backup };
}

function isBetterBackup(bucket: number, home: Candidate, left: Candidate, right: Candidate): boolean {
  const leftApart = left.domain !== home.domain;
  const rightApart = right.domain !== home.domain;
  if (leftApart !== rightApart) return leftApart;
  return outranks(bucket, left.name, right.name);
}

/** Keeps the choice of keepers apart from the ranks of buckets, whose seeds begin at 1. */
const KEEPER_SEED = 0;

/**
 * Chooses the hosts that keep buckets, the same on every daemon with the same list. In a large fleet a few hosts keep
 * all buckets, so that each of them can hold links to all the others.
 * @param hosts - The hosts.
 * @param most - Most keepers.
 * @returns The keepers; all hosts of a small fleet.
 */
export function chooseKeepers<T extends Candidate>(hosts: readonly T[], most: number): readonly T[] {
  if (hosts.length <= most) return hosts;
  const ranked = hosts.map((host) => ({ host, rank: hash32(host.name, KEEPER_SEED) }));
  ranked.sort((left, right) => right.rank - left.rank || (left.host.name < right.host.name ? -1 : 1));
  return ranked.slice(0, most).map(({ host }) => host);
}
