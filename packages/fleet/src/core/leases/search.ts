/** State of one request's search for an engine. */
import type { LeaseResponse } from './messages.js';
import { LeaseOutcome } from './messages.js';
import type { DispatchRequest } from './types.js';

/** Tracks which engines a request has tried and where it waits. */
export class EngineSearch {
  /** Why each engine was chosen, for `celeryyoke explain`. */
  readonly reasons: string[] = [];

  /** Engines that granted no lease; cleared before they are tried again. */
  readonly unavailable = new Set<string>();

  /** Engine at whose owner the request waits, or to which it was moved. */
  preferredEngine: string | undefined;

  /** Whether the request had to wait for the adapter to be loaded. */
  hasWaitedForLoad = false;

  constructor(
    readonly request: DispatchRequest,
    readonly signal: AbortSignal,
    readonly startedAt: number,
    /** Monotonic milliseconds when the search ends without a lease. */
    readonly giveUpAt: number,
  ) {}

  /** Engines that must not be chosen now. */
  excludedEngines(): ReadonlySet<string> {
    const { excluded } = this.request;
    return this.unavailable.size === 0 ? excluded : new Set([...excluded, ...this.unavailable]);
  }

  /** Applies an owner's response to a lease request. */
  applyResponse(engine: string, response: LeaseResponse): void {
    if (response.waitedMs > 0) this.hasWaitedForLoad = true;
    if (response.outcome === LeaseOutcome.Waiting) {
      this.hasWaitedForLoad = true;
      this.preferredEngine = engine;
    } else if (response.outcome === LeaseOutcome.Moved && response.engine !== undefined) {
      this.hasWaitedForLoad = true;
      this.reasons.push(`${response.engine}: loads it`);
      this.preferredEngine = response.engine;
    } else if (response.outcome !== LeaseOutcome.Granted) {
      this.skip(engine);
    }
  }

  /** Excludes an engine until `unavailable` is cleared. */
  skip(engine: string): void {
    if (this.preferredEngine === engine) this.preferredEngine = undefined;
    this.unavailable.add(engine);
  }
}
