/**
 * What each replica has declared about whether it accepts what is sent to it, and when; every exchange with a
 * replica is checked against it in the step that sends it.
 *
 * A replica that leaves never accepts requests again; its next incarnation has another id. A replica that the
 * registry does not list may be back, as entries also expire while the registry is unavailable.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ExchangePurpose } from '../channels/index.js';
import { isAllowed } from './rules.js';
import type { Availability, LeavingReplica, ReplicaDeclaration } from './types.js';
import { AvailabilityState, DeclarationSource } from './types.js';

/** Maximum number of replicas whose declarations are kept; the one that declared first is dropped first. */
const MAX_REPLICAS = 4096;

const ACCEPTING: Availability = { state: AvailabilityState.Accepting, forMs: 0 };

/** What is known of one replica. */
interface Declared {
  /** Monotonic time at which it was first known to leave, in milliseconds. */
  leavingSince: number | undefined;
  /** Monotonic time at which its entry was removed from the registry, in milliseconds; undefined if listed. */
  unlistedSince: number | undefined;
  /** Monotonic time of the latest request to back off, in milliseconds. */
  backoffSince: number;
  /** Monotonic time until which it wants nothing from this daemon, in milliseconds. */
  backoffUntil: number;
}

/** Called when a replica is first known to leave. */
export type LeavingListener = (leaving: LeavingReplica, source: DeclarationSource) => void;

/** Options of {@link ReplicaAvailability}. */
export interface ReplicaAvailabilityOptions {
  /** Time for which a replica that leaves may still get requests that have no other replica, in milliseconds. */
  readonly leavingGraceMs: number;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Table of what is known of replicas, by the id of their incarnation. */
export class ReplicaAvailability {
  private readonly declared = new Map<string, Declared>();

  private readonly leavingListeners: LeavingListener[] = [];

  constructor(private readonly options: ReplicaAvailabilityOptions) {}

  /** Subscribes to replicas that leave; the listener is called once for each. */
  onLeaving(listener: LeavingListener): void {
    this.leavingListeners.push(listener);
  }

  /** Records what the head of a response declares about the replica that sent it. */
  recordDeclaration(replica: string, { isLeaving, retryAfterMs }: ReplicaDeclaration): void {
    if (isLeaving) this.recordLeaving(replica, DeclarationSource.Response);
    if (retryAfterMs > 0) this.recordBackoff(replica, retryAfterMs);
  }

  /**
   * Records that a replica leaves.
   * @param since - Monotonic time of its declaration, in milliseconds.
   * @returns Whether that was not known.
   */
  recordLeaving(replica: string, source: DeclarationSource, since = this.options.timers.now()): boolean {
    const { timers, log } = this.options;
    const declared = this.declarationsOf(replica);
    const { leavingSince } = declared;
    declared.leavingSince = Math.min(leavingSince ?? since, since);
    if (leavingSince !== undefined) return false;
    log.decide('replica.declared', `Replica ${replica} declares that it is leaving.`, {
      replica,
      source,
      declaredAgoMs: Math.round(timers.now() - since),
    });
    for (const listener of this.leavingListeners) listener({ replica, since }, source);
    return true;
  }

  /** Records whether the registry lists a replica. */
  recordListed(replica: string, isListed: boolean): void {
    if (isListed && !this.declared.has(replica)) return;
    const declared = this.declarationsOf(replica);
    declared.unlistedSince = isListed ? undefined : (declared.unlistedSince ?? this.options.timers.now());
  }

  /** Monotonic time since which the registry does not list a replica, in milliseconds; undefined if it may. */
  unlistedSince(replica: string): number | undefined {
    return this.declared.get(replica)?.unlistedSince;
  }

  isLeaving(replica: string): boolean {
    return this.declared.get(replica)?.leavingSince !== undefined;
  }

  /** Replicas that are known to leave. */
  leavingReplicas(): LeavingReplica[] {
    const found: LeavingReplica[] = [];
    for (const [replica, { leavingSince }] of this.declared)
      if (leavingSince !== undefined) found.push({ replica, since: leavingSince });
    return found;
  }

  /** Returns what is known of a replica; where several states hold, the one that lasts longest. */
  availabilityOf(replica: string): Availability {
    const [first = ACCEPTING] = this.statesOf(replica);
    return first;
  }

  /** Returns whether an exchange may be sent to a replica now. */
  accepts(replica: string, purpose: ExchangePurpose): boolean {
    return this.refusal(replica, purpose) === undefined;
  }

  /** Returns why an exchange must not be sent to a replica now; undefined when it may be. */
  refusal(replica: string, purpose: ExchangePurpose): string | undefined {
    for (const availability of this.statesOf(replica))
      if (!isAllowed(availability, purpose, this.options.leavingGraceMs))
        return `Replica ${replica} is ${availability.state}, declared ${Math.round(availability.forMs)} ms ago.`;
    return undefined;
  }

  /** Returns the time until a replica accepts what this daemon sends again, in milliseconds; 0 without a backoff. */
  backoffMs(replica: string): number {
    const { backoffUntil = 0 } = this.declared.get(replica) ?? {};
    return Math.max(0, backoffUntil - this.options.timers.now());
  }

  /** States that hold now, other than accepting. */
  private *statesOf(replica: string): Generator<Availability, void, undefined> {
    const declared = this.declared.get(replica);
    if (declared === undefined) return;
    const { leavingSince, unlistedSince, backoffSince, backoffUntil } = declared;
    const now = this.options.timers.now();
    if (leavingSince !== undefined) yield { state: AvailabilityState.Leaving, forMs: now - leavingSince };
    if (unlistedSince !== undefined) yield { state: AvailabilityState.Unlisted, forMs: now - unlistedSince };
    if (now < backoffUntil) yield { state: AvailabilityState.Backoff, forMs: now - backoffSince };
  }

  private recordBackoff(replica: string, retryAfterMs: number): void {
    const { timers, log } = this.options;
    const declared = this.declarationsOf(replica);
    const now = timers.now();
    declared.backoffSince = now;
    declared.backoffUntil = Math.max(declared.backoffUntil, now + retryAfterMs);
    log.decide('replica.declared', `Replica ${replica} asks for no requests for ${retryAfterMs} ms.`, {
      replica,
      source: DeclarationSource.Response,
      retryAfterMs,
      backoffMs: Math.round(declared.backoffUntil - now),
    });
  }

  private declarationsOf(replica: string): Declared {
    const known = this.declared.get(replica);
    if (known !== undefined) return known;
    const created: Declared = {
      leavingSince: undefined,
      unlistedSince: undefined,
      backoffSince: Number.NEGATIVE_INFINITY,
      backoffUntil: Number.NEGATIVE_INFINITY,
    };
    this.declared.set(replica, created);
    if (this.declared.size > MAX_REPLICAS) {
      const [oldest] = this.declared.keys();
      this.declared.delete(oldest!);
    }
    return created;
  }
}
