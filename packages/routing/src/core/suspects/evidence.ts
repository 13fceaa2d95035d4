/** Weighs what speaks for and against a shared feature of requests as the cause of crashes. */
import type { AgeRange, FeatureEvidence } from '@celeryyoke/core';

/** Largest probability that a cause is found although all crashes with it are chance. */
const MAX_CHANCE = 0.003;
/** Factor by which each crash with a cause of its own makes a feature less likely to be the cause of the others. */
const OTHER_CAUSE_PENALTY = 5;
/** Factor for weighing two hypotheses on the other crashes and keeping the likelier one. */
const HYPOTHESES = 2;
/** How often a feature is seen, and what has run without a crash since its first one. */
export interface FeatureUse {
  /** Largest likely share of the requests that have the feature, above 0 and at most 1. */
  readonly share: number;
  /** Smallest likely share of the requests that have the feature, from 0 to below 1. */
  readonly shareAtLeast: number;
  /**
   * Answers since the first crash with the feature that went on for longer than those that had it, and that began while it
   * was not refused and so long ago that one with it would have gone on for longer, too.
   */
  readonly soundRuns: number;
}

/** Number of ways to choose some of several things. */
function combinations(all: number, chosen: number): number {
  let result = 1;
  for (let index = 1; index <= chosen; index += 1) result *= (all - chosen + index) / index;
  return result;
}

/**
 * Returns by how much crashes that a feature was not at make it less likely to be the cause of its own: either each of
 * them has a cause of its own, or all have one, and each share of the crashes that may be due to it is as likely.
 */
function otherCausePenalty(own: number, others: number): number {
  return Math.min(OTHER_CAUSE_PENALTY ** others, HYPOTHESES * (own + others + 1));
}

/** Estimates how likely a feature is in flight at all its crashes by chance, in one range of ages of several. */
function chanceInRange({ choices, inFlight }: AgeRange, share: number): number {
  return inFlight.reduce((chance, { requests }) => chance * (1 - (1 - share) ** requests), choices);
}

/**
 * Estimates how likely a feature, or another one that is as frequent, would be at its crashes and in no request that has
 * run since, if it did not cause them.
 * @returns From 0 to 1.
 */
export function chanceOf(evidence: FeatureEvidence, use: FeatureUse): number {
  const { ranges, otherCrashes } = evidence;
  const { share } = use;
  const [own = 0] = ranges.map(({ inFlight }) => inFlight.length);
  const absent = (1 - use.shareAtLeast) ** use.soundRuns;
  const crashes = combinations(own + otherCrashes, own) * otherCausePenalty(own, otherCrashes);
  const atCrashes = Math.min(...ranges.map((range) => chanceInRange(range, share)));
  // Features that are as frequent number at most the reciprocal of the share.
  return Math.min(1, (crashes * atCrashes * absent) / share);
}

/** Whether a feature is hardly at its crashes by chance. */
export function isCause(evidence: FeatureEvidence, use: FeatureUse): boolean {
  return chanceOf(evidence, use) <= MAX_CHANCE;
}
