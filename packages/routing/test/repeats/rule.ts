/** The users' rule on repeats, checked from what callers sent and what arrived at the replicas of one service. */

/** Smallest step between two moments, in milliseconds. */
const INSTANT_MS = 0.001;

/** What is allowed in any window. */
export interface RepeatBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats besides, over all daemons. */
  readonly slack: number;
}

/** Arrivals beyond the first of each request in one window. */
export interface RepeatWindow {
  /** Its beginning, in milliseconds. */
  readonly from: number;
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Index of the first time that is not before a moment. */
function firstFrom(times: readonly number[], moment: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (times[middle]! < moment) low = middle + 1;
    else high = middle;
  }
  return low;
}

function countBetween(times: readonly number[], from: number, to: number): number {
  return firstFrom(times, to) - firstFrom(times, from);
}

/** Requests and arrivals of one service, with the times at which they happened. */
export class RepeatRecord {
  private readonly requestTimes: number[] = [];

  private readonly arrivals: { readonly id: string; readonly at: number }[] = [];

  /** A caller sent a request. */
  request(at: number): void {
    this.requestTimes.push(at);
  }

  /** A request arrived at a replica, whatever the replica did with it. */
  arrive(id: string, at: number): void {
    this.arrivals.push({ id, at });
  }

  /** Number of requests of which one arrival is known. */
  arrived(): number {
    return new Set(this.arrivals.map(({ id }) => id)).size;
  }

  /** Times of the arrivals beyond the first of each request, in order. */
  repeats(): number[] {
    const seen = new Set<string>();
    const ordered = [...this.arrivals].sort((left, right) => left.at - right.at);
    return ordered.filter(({ id }) => seen.has(id) || !seen.add(id)).map(({ at }) => at);
  }

  /**
   * Looks at every window that begins or ends with a repeat.
   * @returns The windows, the one with the most repeats beyond what is allowed first.
   */
  windows(bounds: RepeatBounds): RepeatWindow[] {
    const repeats = this.repeats();
    const requests = [...this.requestTimes].sort((left, right) => left - right);
    const starts = repeats.flatMap((at) => [at, at + INSTANT_MS - bounds.windowMs]);
    return starts
      .map((from) => windowFrom(from, repeats, requests, bounds))
      .sort((left, right) => right.repeats - right.allowed - (left.repeats - left.allowed));
  }
}

/** The requests that count are those of the window, of the one before it or of the one half a window before it. */
function windowFrom(
  from: number,
  repeats: readonly number[],
  requestTimes: readonly number[],
  { ratio, windowMs, slack }: RepeatBounds,
): RepeatWindow {
  const counted = [0, windowMs / 2, windowMs].map((earlier) =>
    countBetween(requestTimes, from - earlier, from - earlier + windowMs),
  );
  const requests = Math.max(...counted);
  return {
    from,
    repeats: countBetween(repeats, from, from + windowMs),
    requests,
    allowed: ratio * requests + slack,
  };
}
