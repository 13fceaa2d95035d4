/** The end of a daemon's service: which requests it still passes on, and when those in progress are given up. */

/** What callers are told whose requests are not passed on, or given up, for that. */
export const SHUTTING_DOWN = 'This daemon is shutting down.';

/** Follows the shutdown of a daemon; requests ask it what they may still do. */
export class Shutdown {
  /** Monotonic time at which requests in progress are given up, in milliseconds; infinite before the shutdown. */
  private endsAt = Number.POSITIVE_INFINITY;

  private readonly refusing = new Set<() => void>();

  private readonly ending = new Set<() => void>();

  /**
   * Whether a request may be passed on: it must be over before the daemon gives up what is in progress.
   * @param deadlineAt - Monotonic time at which the request is over at the latest, in milliseconds.
   */
  allowsStart(deadlineAt: number): boolean {
    return deadlineAt <= this.endsAt;
  }

  /**
   * Passes on no more requests that may outlast the daemon.
   * @param endsAt - Monotonic time at which those in progress will be given up, in milliseconds.
   */
  refuse(endsAt: number): void {
    this.endsAt = endsAt;
    notify(this.refusing);
  }

  /** Gives up the requests in progress. */
  end(): void {
    this.endsAt = Number.NEGATIVE_INFINITY;
    notify(this.refusing);
    notify(this.ending);
  }

  /**
   * Calls back when requests that may outlast the daemon are no longer passed on.
   * @returns A function that takes the call back.
   */
  onRefuse(callback: () => void): () => void {
    this.refusing.add(callback);
    return () => this.refusing.delete(callback);
  }

  /**
   * Calls back when the requests in progress are given up.
   * @returns A function that takes the call back.
   */
  onEnd(callback: () => void): () => void {
    this.ending.add(callback);
    return () => this.ending.delete(callback);
  }
}

/** Calls all listeners; they may remove themselves meanwhile. */
function notify(listeners: ReadonlySet<() => void>): void {
  for (const listener of [...listeners]) listener();
}
