/** Rendezvous hashing of buckets: every daemon with the same hosts computes the same order. */
import { hash32 } from '@celeryyoke/core';

/** Default of the greatest number of hosts that hold buckets. */
export const DEFAULT_MAX_CUSTODIANS = 16;

/** A host that can hold buckets; the backup should be in another failure domain than the home. */
export interface Candidate {
  readonly name: string;
  readonly domain: string;
}

/** Home and backup of a bucket. */
export interface CandidatePair<T extends Candidate> {
  readonly home: T;
  readonly backup: T;
}

/** Computes the weight of a host for a bucket; the host with the greatest weight is the home. */
export function rendezvousWeight(bucket: number, name: string): number {
  return hash32(name, bucket + 1);
}

/** Whether the host `left` precedes the host `right` for a bucket; equal weights are ordered by name. */
export function outranks(bucket: number, left: string, right: string): boolean {
  const difference = rendezvousWeight(bucket, left) - rendezvousWeight(bucket, right);
  return difference > 0 || (difference === 0 && left < right);
}

/**
 * Computes home and backup: the host with the greatest weight, and the next one, in another failure domain if
 * there is one.
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

/** Hash seed for the choice of custodians; differs from the seeds of buckets, which start at 1. */
const CUSTODIAN_SEED = 0;

/**
 * Chooses the hosts that hold buckets, the same on every daemon with the same list. In a large fleet a few
 * hosts hold all buckets, so that each of them can keep connections to all the others.
 * @param most - Greatest number of hosts to choose.
 * @returns The chosen hosts; all hosts of a small fleet.
 */
export function chooseCustodians<T extends Candidate>(hosts: readonly T[], most: number): readonly T[] {
  if (hosts.length <= most) return hosts;
  const ranked = hosts.map((host) => ({ host, rank: hash32(host.name, CUSTODIAN_SEED) }));
  ranked.sort((left, right) => right.rank - left.rank || (left.host.name < right.host.name ? -1 : 1));
  return ranked.slice(0, most).map(({ host }) => host);
}
