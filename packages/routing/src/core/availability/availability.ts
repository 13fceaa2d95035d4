/**
 * What each replica has declared about whether it accepts requests, and when.
 *
 * A replica that leaves never accepts requests again; its next incarnation has another id. A backoff concerns
 * this daemon only, and ends by itself.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Availability, ReplicaDeclaration } from './types.js';
import { AvailabilityState, DeclarationSource } from './types.js';

/** Maximum number of replicas whose declarations are kept; the one that declared first is dropped first. */
const MAX_REPLICAS = 4096;

/** What one replica has declared. */
interface Declared {
  /** Monotonic time at which it was first known to leave, in milliseconds. */
  leavingSince: number | undefined;
  /** Monotonic time of the latest request to back off, in milliseconds. */
  backoffSince: number;
  /** Monotonic time until which it wants nothing from this daemon, in milliseconds. */
  backoffUntil: number;
}

/** Options of {@link ReplicaAvailability}. */
export interface ReplicaAvailabilityOptions {
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Table of what replicas have declared, by the id of their incarnation. */
export class ReplicaAvailability {
  private readonly declared = new Map<string, Declared>();

  constructor(private readonly options: ReplicaAvailabilityOptions) {}

  /** Records what the head of a response declares about the replica that sent it. */
  recordDeclaration(replica: string, { isLeaving, retryAfterMs }: ReplicaDeclaration): void {
    if (isLeaving) this.recordLeaving(replica, DeclarationSource.Response);
    if (retryAfterMs > 0) this.recordBackoff(replica, retryAfterMs);
  }

  /** Returns what is known of a replica. */
  availabilityOf(replica: string): Availability {
    const declared = this.declared.get(replica);
    const now = this.options.timers.now();
    if (declared?.leavingSince !== undefined)
      return { state: AvailabilityState.Leaving, forMs: now - declared.leavingSince };
    if (declared !== undefined && now < declared.backoffUntil)
      return { state: AvailabilityState.Backoff, forMs: now - declared.backoffSince };
    return { state: AvailabilityState.Accepting, forMs: 0 };
  }

  private recordLeaving(replica: string, source: DeclarationSource): void {
    const { timers, log } = this.options;
    const declared = this.declarationsOf(replica);
    if (declared.leavingSince !== undefined) return;
    declared.leavingSince = timers.now();
    log.decide('replica.declared', `Replica ${replica} declares that it is leaving.`, { replica, source });
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
