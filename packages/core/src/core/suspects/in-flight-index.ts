/** What was in flight at one crash, by what requests share and by the ages of their answers. */
import type { SuspectRequest } from './types.js';

/** Time after the end of an upstream at which a request may have been sent and still reach it, in milliseconds. */
const SENT_MARGIN_MS = 150;

/** Requests in flight at a crash that share one feature. */
interface FeatureRequests {
  /** Times for which their answers had gone on, in milliseconds. */
  readonly ages: number[];
  /** In what they differ. */
  readonly variants: Set<string>;
}

/**
 * Index of the requests that one crash may be due to; a request that was sent later has not reached the upstream. It is
 * made once for all features that are weighed.
 */
export class InFlightIndex {
  /** Longest time for which any answer at the crash had gone on, in milliseconds. */
  readonly oldestMs: number;

  /** Ages of the answers to requests that share anything, in milliseconds. */
  private readonly ages: number[] = [];

  private readonly byFeature = new Map<string, FeatureRequests>();

  /**
   * @param requests - Requests in flight.
   * @param at - Monotonic time of the crash, in milliseconds.
   */
  constructor(requests: Iterable<SuspectRequest>, at: number) {
    let oldestMs = 0;
    for (const request of requests) {
      const ageMs = answeredMs(request, at);
      oldestMs = Math.max(oldestMs, ageMs);
      if ((request.sentAt ?? at) <= at + SENT_MARGIN_MS) this.add(request, ageMs);
    }
    this.oldestMs = oldestMs;
  }

  /** Whether a request with a feature was in flight. */
  has(feature: string): boolean {
    return this.byFeature.has(feature);
  }

  /** Longest time for which an answer with a feature had gone on, in milliseconds; 0 if there was none. */
  longestMs(feature: string): number {
    return Math.max(0, ...(this.byFeature.get(feature)?.ages ?? []));
  }

  /** In what the requests with a feature differ. */
  variants(feature: string): Iterable<string> {
    return this.byFeature.get(feature)?.variants ?? [];
  }

  /** Number of requests that share anything whose answers had gone on for a time in a range, in milliseconds. */
  countSharing(fromMs: number, toMs: number): number {
    return countInRange(this.ages, fromMs, toMs);
  }

  private add({ fingerprint, shared }: SuspectRequest, ageMs: number): void {
    if (shared.length > 0) this.ages.push(ageMs);
    for (const { feature, within } of shared) {
      const known = this.byFeature.get(feature) ?? { ages: [], variants: new Set<string>() };
      this.byFeature.set(feature, known);
      known.ages.push(ageMs);
      known.variants.add(within ?? fingerprint);
    }
  }
}

/** Time for which the answer to a request had gone on at a crash, in milliseconds. */
function answeredMs({ beganAt }: SuspectRequest, at: number): number {
  return beganAt === undefined ? 0 : Math.max(0, at - beganAt);
}

function countInRange(ages: readonly number[], fromMs: number, toMs: number): number {
  let count = 0;
  for (const ms of ages) if (ms >= fromMs && ms <= toMs) count += 1;
  return count;
}
