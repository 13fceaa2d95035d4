/** Weighs what speaks for and against a shared feature of requests as the cause of crashes. */
import type { FeatureEvidence, FeatureSample } from '@celeryyoke/core';

/** Largest probability that a cause is found although all crashes with it are chance. */
const MAX_CHANCE = 0.003;
/** Factor by which each crash with a cause of its own makes a feature less likely to be the cause of the others. */
const OTHER_CAUSE_PENALTY = 5;
/** Factor for weighing two hypotheses on the other crashes and keeping the likelier one. */
const HYPOTHESES = 2;
/** Number of ranges of ages that are weighed, of which the one counts that shows the most. */
const RANGES = 2;
/**
 * Requests with a feature that would tell as much of its share in a range of ages as its share among all requests does:
 * classes of requests differ in the ages of their answers, in where they run and when they come.
 */
const PRIOR_WITH_FEATURE = 3;

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

/** Estimates how frequent a feature is, from what this daemon has run and what all had in flight at the crashes. */
function shareOf({ beside }: FeatureEvidence, { share }: FeatureUse): number {
  return Math.max(share, beside.withFeature / Math.max(1, beside.requests));
}

/**
 * Estimates how likely a feature, or another one that is as frequent, would be at its crashes and in no request that has
 * run since, if it did not cause them.
 * @returns From 0 to 1.
 */
export function chanceOf(evidence: FeatureEvidence, use: FeatureUse): number {
  const { ranges, otherCrashes } = evidence;
  const share = shareOf(evidence, use);
  const [own = 0] = ranges.map(({ inFlight }) => inFlight.length);
  const absent = (1 - use.shareAtLeast) ** use.soundRuns;
  const crashes = combinations(own + otherCrashes, own) * otherCausePenalty(own, otherCrashes);
  const atCrashes = Math.min(
    ...ranges.map(
      ({ choices, inFlight }) =>
        choices * Math.max(oddsAgainst(inFlight, share), presenceByChance(inFlight, share)),
    ),
  );
  // Features that are as frequent number at most the reciprocal of the share.
  return Math.min(1, (crashes * atCrashes * absent * RANGES) / share);
}

/** How likely a feature with a share is in flight at all crashes by chance. */
function presenceByChance(inFlight: readonly FeatureSample[], share: number): number {
  return inFlight.reduce((chance, { requests }) => chance * (1 - (1 - share) ** requests), 1);
}

/**
 * Compares how likely what was in flight at crashes is by chance with how likely it is if the feature caused them, so that
 * one request with it had to be at each. By chance, each request has the feature with a probability that is the same at
 * all these crashes, and of which the share among others tells as much as some requests of the range would.
 */
function oddsAgainst(inFlight: readonly FeatureSample[], share: number): number {
  const requests = inFlight.reduce((sum, one) => sum + one.requests, 0);
  const withFeature = inFlight.reduce((sum, one) => sum + one.withFeature, 0);
  const crashes = inFlight.length;
  return inFlight.reduce((odds, one, index) => {
    const others = PRIOR_WITH_FEATURE / share + requests - crashes + index;
    const othersWithFeature = PRIOR_WITH_FEATURE + withFeature - crashes + index;
    return (odds * (one.requests / one.withFeature) * othersWithFeature) / others;
  }, 1);
}

/** Whether a feature is hardly at its crashes by chance. */
export function isCause(evidence: FeatureEvidence, use: FeatureUse): boolean {
  return chanceOf(evidence, use) <= MAX_CHANCE;
}
