/** Checks the users' limit on retries against the requests and the arrivals at replicas of one service. */

/** Smallest step between two times, in milliseconds. */
const MIN_STEP_MS = 0.001;

/** Retries that are allowed in any window. */
export interface RetryBounds {
  /** Retries for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries, summed over all daemons. */
  readonly slack: number;
}

/** Retries in one window: arrivals other than the first one of each request. */
export interface RetryWindow {
  /** Start of the window, in milliseconds. */
  readonly from: number;
  readonly retries: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Index of the first of some sorted times that is not before another one. */
function firstFrom(times: readonly number[], from: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (times[middle]! < from) low = middle + 1;
    else high = middle;
  }
  return low;
}

function countBetween(times: readonly number[], from: number, to: number): number {
  return firstFrom(times, to) - firstFrom(times, from);
}

/** Records the times of requests and arrivals of one service, and counts the retries among them. */
export class RetryRecord {
  private readonly requestTimes: number[] = [];

  private readonly arrivals: { readonly id: string; readonly at: number }[] = [];

  /** Records that a caller sent a request. */
  recordRequest(at: number): void {
    this.requestTimes.push(at);
  }

  /** Records that a request arrived at a replica, whether or not the replica ran it. */
  recordArrival(id: string, at: number): void {
    this.arrivals.push({ id, at });
  }

  /** Number of requests that have arrived at least once. */
  arrivedCount(): number {
    return new Set(this.arrivals.map(({ id }) => id)).size;
  }

  /** Times of the arrivals other than the first one of each request, in order. */
  retryTimes(): number[] {
    const seen = new Set<string>();
    const ordered = [...this.arrivals].sort((left, right) => left.at - right.at);
    return ordered.filter(({ id }) => seen.has(id) || !seen.add(id)).map(({ at }) => at);
  }

  /**
   * Evaluates every window that begins or ends with a retry.
   * @returns The windows, beginning with the one that exceeds its allowance most or comes closest to it.
   */
  windows(bounds: RetryBounds): RetryWindow[] {
    const retryTimes = this.retryTimes();
    const requests = [...this.requestTimes].sort((left, right) => left - right);
    const starts = retryTimes.flatMap((at) => [at, at + MIN_STEP_MS - bounds.windowMs]);
    return starts
      .map((from) => windowFrom(from, retryTimes, requests, bounds))
      .sort((left, right) => right.retries - right.allowed - (left.retries - left.allowed));
  }
}

/**
 * Evaluates a window by the requests of the window itself, the one before or the one in between, whichever
 * are most.
 */
function windowFrom(
  from: number,
  retryTimes: readonly number[],
  requestTimes: readonly number[],
  { ratio, windowMs, slack }: RetryBounds,
): RetryWindow {
  const counted = [0, windowMs / 2, windowMs].map((offsetMs) =>
    countBetween(requestTimes, from - offsetMs, from - offsetMs + windowMs),
  );
  const requests = Math.max(...counted);
  return {
    from,
    retries: countBetween(retryTimes, from, from + windowMs),
    requests,
    allowed: ratio * requests + slack,
  };
}
