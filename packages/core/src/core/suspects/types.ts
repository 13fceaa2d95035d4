/** Requests under which upstreams crash. */

/** What is known of a request by its fingerprint. */
export enum Suspicion {
  Clear = 'clear',
  /** It was in flight on an upstream that crashed. */
  Suspect = 'suspect',
  /** It was in flight at several crashes, and what else was in flight at the last one is still being reported. */
  Unresolved = 'unresolved',
  /** It crashes upstreams, and is refused for a time. */
  Quarantined = 'quarantined',
}

/** How sure it is that an upstream has ended; the numbers are sent. */
export enum EndCertainty {
  /** It is silent, and may go on. */
  Presumed = 1,
  Confirmed = 2,
}

/** Something that requests share, such as a part of their prompts. */
export interface SharedFeature {
  readonly feature: string;
  /**
   * What else requests with it must differ in to show that it is the cause; when it is left out, they must be different
   * requests.
   */
  readonly within?: string;
}

/** A request that was in flight at a crash. */
export interface SuspectRequest {
  readonly fingerprint: string;
  readonly shared: readonly SharedFeature[];
  /** Monotonic time at which it was sent, in milliseconds; undefined if that is not known. */
  readonly sentAt?: number;
  /** Monotonic time at which its answer began, in milliseconds; undefined if it had not, or that is not known. */
  readonly beganAt?: number;
}

/** Requests that share anything, and those of them that have a certain feature. */
export interface FeatureSample {
  readonly requests: number;
  readonly withFeature: number;
}

/** A range of the ages of answers, and what was in flight in it at the crashes with a feature. */
export interface AgeRange {
  /** Number of ranges of this width, of which the one was chosen in which the feature was at its crashes. */
  readonly choices: number;
  /**
   * Requests whose answers had an age in the range, at each crash with the feature, as far as different requests had it.
   * Crashes that came about together count as one.
   */
  readonly inFlight: readonly FeatureSample[];
}

/** What speaks for a shared feature as the cause of crashes. */
export interface FeatureEvidence {
  readonly feature: string;
  /** Monotonic time of the first crash with it, in milliseconds. */
  readonly since: number;
  /** Longest time for which an answer with the feature had gone on at one of its crashes, in milliseconds. */
  readonly longestMs: number;
  /** Ranges of the ages of answers in which the feature was at all its crashes. */
  readonly ranges: readonly AgeRange[];
  /** All requests in flight at the crashes whose cause is not known, less one with the feature at each crash with it. */
  readonly beside: FeatureSample;
  /** Number of crashes since then that it was not at and whose cause is not known; coincident ones count as one. */
  readonly otherCrashes: number;
}
