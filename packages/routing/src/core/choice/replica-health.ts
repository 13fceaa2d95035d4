/**
 * Failure rates, response times and ejections of replicas, as this daemon's own requests show them. Rates and
 * times decay, so that a replica that has recovered is tried again.
 */
import type { TimerService } from '@celeryyoke/core';

/** Time constant of the exponential decay. */
const DECAY_MS = 4000;
/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.15;
/**
 * Time without a byte from a replica with outstanding requests after which it is ejected: an engine with
 * streams sends every 10 ms, and a plain service takes some hundred milliseconds at most.
 */
const SILENCE_TIMEOUT_MS = 700;
/**
 * Duration of the first ejection of a replica that can't be reached, in milliseconds. Each further one takes
 * twice as long, up to the maximum.
 */
const MIN_EJECTION_MS = 400;
const MAX_EJECTION_MS = 3000;
/** Time after the end of a replica in which its entry is removed, in milliseconds. */
const ENTRY_REMOVAL_MS = 3000;

interface HealthRecord {
  failureRate: number;
  firstByteMs: number;
  at: number;
  ejectedUntil: number;
  ejectionMs: number;
}

/** Outstanding requests on one replica, and since when it has sent nothing. */
interface OutstandingRequests {
  count: number;
  /** Monotonic time of the last byte, or of the first request after none was outstanding, in milliseconds. */
  since: number;
}

/** Health of all replicas; one that is not known counts as healthy. */
export class ReplicaHealth {
  private readonly records = new Map<string, HealthRecord>();

  /** Monotonic times up to which replicas that have ended are ejected, in milliseconds. */
  private readonly endedUntil = new Map<string, number>();

  private readonly outstanding = new Map<string, OutstandingRequests>();

  constructor(private readonly timers: TimerService) {}

  /**
   * Records the outcome of an attempt.
   * @param firstByteMs - Time to the first byte; undefined when it should not count.
   */
  recordOutcome(replica: string, isGood: boolean, firstByteMs: number | undefined): void {
    const record = this.decayedRecord(replica);
    record.failureRate += SAMPLE_WEIGHT * ((isGood ? 0 : 1) - record.failureRate);
    if (firstByteMs !== undefined) record.firstByteMs += SAMPLE_WEIGHT * (firstByteMs - record.firstByteMs);
    if (isGood) record.ejectionMs = 0;
  }

  /** Records that a replica could not be reached, and ejects it. */
  recordUnreachable(replica: string): void {
    const record = this.decayedRecord(replica);
    record.ejectionMs = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, record.ejectionMs * 2));
    record.ejectedUntil = this.timers.now() + record.ejectionMs;
    this.recordOutcome(replica, false, undefined);
  }

  /**
   * Records that a replica has ended, as this daemon or a peer has found, and ejects it until its entry is removed.
   * @param at - Monotonic time of its end, in milliseconds.
   */
  recordEnd(replica: string, at: number): void {
    const now = this.timers.now();
    for (const [ended, until] of this.endedUntil) if (until <= now) this.endedUntil.delete(ended);
    const until = Math.min(at, now) + ENTRY_REMOVAL_MS;
    if (until > now) this.endedUntil.set(replica, Math.max(until, this.endedUntil.get(replica) ?? 0));
  }

  /** Records that a replica that was found ended runs on. */
  recordReturn(replica: string): void {
    this.endedUntil.delete(replica);
  }

  /** Records that a request was sent. */
  recordSent(replica: string): void {
    const requests = this.outstanding.get(replica) ?? { count: 0, since: 0 };
    this.outstanding.set(replica, requests);
    if (requests.count === 0) requests.since = this.timers.now();
    requests.count += 1;
  }

  /** Records that the replica sent bytes. */
  recordBytes(replica: string): void {
    const requests = this.outstanding.get(replica);
    if (requests !== undefined) requests.since = this.timers.now();
  }

  /** Records that a request that was sent has ended. */
  recordEnded(replica: string): void {
    const requests = this.outstanding.get(replica);
    if (requests === undefined) return;
    requests.count -= 1;
    if (requests.count === 0) this.outstanding.delete(replica);
  }

  /** Replicas with outstanding requests. */
  waitingReplicas(): Iterable<string> {
    return this.outstanding.keys();
  }

  /** Returns for how long a replica with outstanding requests has sent nothing, in milliseconds; 0 without any. */
  silenceMs(replica: string): number {
    const requests = this.outstanding.get(replica);
    return requests === undefined ? 0 : this.timers.now() - requests.since;
  }

  /**
   * Returns whether a replica is ejected: it has ended, could not be reached, or sends nothing although it has
   * requests.
   */
  isEjected(replica: string): boolean {
    const now = this.timers.now();
    if (this.silenceMs(replica) > SILENCE_TIMEOUT_MS) return true;
    const ejectedUntil = this.records.get(replica)?.ejectedUntil ?? 0;
    return Math.max(ejectedUntil, this.endedUntil.get(replica) ?? 0) > now;
  }

  /**
   * Returns the moving average of failures.
   * @returns From 0 to 1.
   */
  failureRate(replica: string): number {
    return this.records.has(replica) ? this.decayedRecord(replica).failureRate : 0;
  }

  /**
   * Returns the moving average of the time to the first byte.
   * @returns Milliseconds; 0 when unknown.
   */
  firstByteMs(replica: string): number {
    return this.records.has(replica) ? this.decayedRecord(replica).firstByteMs : 0;
  }

  /** Removes a replica that no longer exists. */
  remove(replica: string): void {
    this.records.delete(replica);
  }

  private decayedRecord(replica: string): HealthRecord {
    const now = this.timers.now();
    let record = this.records.get(replica);
    if (record === undefined) {
      record = { failureRate: 0, firstByteMs: 0, at: now, ejectedUntil: 0, ejectionMs: 0 };
      this.records.set(replica, record);
    }
    const decay = Math.exp((record.at - now) / DECAY_MS);
    record.failureRate *= decay;
    record.firstByteMs *= decay;
    record.at = now;
    return record;
  }
}
