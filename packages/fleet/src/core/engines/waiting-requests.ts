/** Lease requests that wait at an engine's owner for an adapter to be loaded. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { LeaseRequest, LeaseResponse } from '../leases/index.js';
import { LeaseOutcome } from '../leases/index.js';
import type { PeerIdentity } from '../peers/index.js';

/**
 * Number of cancelled request ids remembered, so that a message that arrives late does not queue one again.
 */
const MAX_CANCELLED_IDS = 1024;

/** A waiting lease request. */
export interface WaitingRequest {
  /** Unique within the fleet; see `waitingRequestId`. */
  readonly id: string;
  readonly from: PeerIdentity;
  readonly key: string;
  /** Highest number among the holder's messages for this request. */
  ask: number;
  /** Monotonic milliseconds when the latest message arrived. */
  receivedAt: number;
  /** Responds to the latest message; undefined when it has been responded to. */
  resolve: ((response: LeaseResponse) => void) | undefined;
  /** Ends the wait for a grant, or after a response the wait for the next message. */
  timer: TimerHandle | undefined;
}

/**
 * Creates a response that grants no lease.
 * @param engine - Engine to ask instead.
 */
export function refusal(outcome: LeaseOutcome, engine?: string): LeaseResponse {
  return { outcome, leaseMs: 0, waitedMs: 0, engine };
}

/** Returns an id of a request that is unique within the fleet. */
export function waitingRequestId(from: PeerIdentity, requestId: string): string {
  return `${from.name}#${from.incarnation} ${requestId}`;
}

export interface WaitingRequestsOptions {
  readonly timers: TimerService;
  /** How long a request is kept after a `Waiting` response for the holder's next message. */
  readonly graceMs: number;
  /** Called when a request was cancelled or its holder did not ask again within the grace time. */
  readonly onRemoved: (id: string) => void;
}

/**
 * The waiting lease requests of one engine. A holder polls: each message waits for at most `waitMs`, is then
 * responded to with `Waiting`, and the holder sends another message for the same request.
 */
export class WaitingRequests {
  private readonly byId = new Map<string, WaitingRequest>();

  private readonly cancelledIds = new Set<string>();

  constructor(private readonly options: WaitingRequestsOptions) {}

  /** Whether a request was cancelled, possibly before its message arrived. */
  isCancelled(id: string): boolean {
    return this.cancelledIds.has(id);
  }

  /** Waits for the response to a message; a request that already waits keeps its entry. */
  waitForGrant(id: string, from: PeerIdentity, input: LeaseRequest): Promise<LeaseResponse> {
    const { timers } = this.options;
    const wait = this.byId.get(id) ?? this.add(id, from, input);
    wait.resolve?.(refusal(LeaseOutcome.Waiting));
    wait.timer?.cancel();
    wait.ask = Math.max(wait.ask, input.ask);
    wait.receivedAt = timers.now();
    wait.timer = timers.after(input.waitMs, () => this.respondWaiting(id));
    return new Promise((resolve) => {
      wait.resolve = resolve;
    });
  }

  /** Removes a request, which the caller then responds to. */
  remove(id: string): WaitingRequest | undefined {
    const wait = this.byId.get(id);
    if (wait === undefined) return undefined;
    wait.timer?.cancel();
    this.byId.delete(id);
    return wait;
  }

  /** Removes all requests, or those for a key. */
  removeAll(key?: string): WaitingRequest[] {
    const removed = [...this.byId.values()].filter((wait) => key === undefined || wait.key === key);
    for (const wait of removed) this.remove(wait.id);
    return removed;
  }

  /** Cancels a request, including one whose message has not arrived yet. */
  cancel(id: string): void {
    this.cancelledIds.add(id);
    if (this.cancelledIds.size > MAX_CANCELLED_IDS) {
      const [oldest] = this.cancelledIds;
      if (oldest !== undefined) this.cancelledIds.delete(oldest);
    }
    this.remove(id)?.resolve?.(refusal(LeaseOutcome.Cancelled));
    this.options.onRemoved(id);
  }

  private add(id: string, from: PeerIdentity, input: LeaseRequest): WaitingRequest {
    const { key, ask } = input;
    const wait: WaitingRequest = { id, from, key, ask, receivedAt: 0, resolve: undefined, timer: undefined };
    this.byId.set(id, wait);
    return wait;
  }

  /** Responds `Waiting` and keeps the request for the grace time. */
  private respondWaiting(id: string): void {
    const { timers, graceMs, onRemoved } = this.options;
    const wait = this.byId.get(id);
    if (wait === undefined) return;
    wait.resolve?.(refusal(LeaseOutcome.Waiting));
    wait.resolve = undefined;
    wait.timer = timers.after(graceMs, () => {
      this.remove(wait.id);
      onRemoved(wait.id);
    });
  }
}
