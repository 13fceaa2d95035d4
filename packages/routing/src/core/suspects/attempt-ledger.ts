/**
 * Keeps the attempts at each replica, and those that ended a short time ago without a whole answer: what has ended a
 * replica is among them, however its end is found and whoever has given up by then.
 */
import type { SharedFeature, TimerService } from '@celeryyoke/core';

import type { RequestFingerprints } from './fingerprint.js';

/** Time for which an attempt without a whole answer is kept, in milliseconds; an entry is removed some seconds late. */
const RETENTION_MS = 12_000;
/** Time for which a replica must go on after an attempt has ended to show that it survives it, in milliseconds. */
const OUTLIVED_MS = 1000;
/** Largest number of attempts that are kept for one replica. */
const MAX_ATTEMPTS = 512;
/**
 * Longest time between two parts of an answer that counts as time in which it went on, in milliseconds: in a longer one
 * this process may have been paused, and the replica may have ended long before.
 */
const MAX_COUNTED_GAP_MS = 250;
/** Progress of an answer of which listeners are told, in milliseconds. */
const PROGRESS_STEP_MS = 100;

/** What an attempt is about. */
export interface AttemptSubject {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Service of the replica. */
  readonly service: string;
  /** Name of the request's route. */
  readonly route: string;
  /** What the request shares with others. */
  readonly shared: readonly SharedFeature[];
  /** Computes the fingerprints of the request. */
  readonly fingerprints: () => RequestFingerprints;
  /** Whether a peer carries it out, so that silence may be the peer's. */
  readonly isRelayed: boolean;
}

/** The answer to an attempt; it outlives the attempt, so it does not hold the request. */
export interface AnswerRun {
  /** Name of the request's route. */
  readonly route: string;
  /** What the request shares with others. */
  readonly shared: readonly SharedFeature[];
  /** Monotonic time of the first part of its body, in milliseconds. */
  readonly beganAt: number | undefined;
  /** Time for which it has gone on at least, in milliseconds. */
  readonly livedMs: number;
  readonly isWhole: boolean;
}

/** One attempt at a replica; times are monotonic milliseconds. */
export interface AttemptRecord extends AttemptSubject {
  readonly sentAt: number;
  /** Time of the last part of the answer's body; a head may come from another start at the same address. */
  readonly heardAt: number | undefined;
  /** Time of its end. */
  readonly endedAt: number | undefined;
  readonly answer: AnswerRun;
}

/** How an attempt ended, as far as that tells of its replica. */
export enum AttemptEnd {
  /** The replica has answered to the end, so that it has survived the request. */
  Answered = 'answered',
  /** The replica did not run the request, or handed it on. */
  NotRun = 'notRun',
  /** Cut off, cancelled or left before its answer was whole. */
  Unanswered = 'unanswered',
}

type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key] };

interface MutableRecord extends Mutable<Omit<AttemptRecord, 'answer'>> {
  readonly answer: Mutable<AnswerRun>;
}

/** Called with an attempt of whose answer a part arrives. */
export type AttemptListener = (record: AttemptRecord) => void;

/** Called with an answer that begins, that has gone on for a while, or that is whole. */
export type AnswerListener = (answer: AnswerRun) => void;

/** An attempt that is followed. */
export interface FollowedAttempt {
  /** Records a part of the body. */
  recordBody(): void;
  end(how: AttemptEnd): void;
}

/** Attempts at all replicas. */
export class AttemptLedger {
  private readonly byReplica = new Map<string, Set<MutableRecord>>();

  /** Monotonic times of the last parts of answers from replicas, in milliseconds. */
  private readonly heardAt = new Map<string, number>();

  private readonly bodyListeners: AttemptListener[] = [];

  private readonly progressListeners: AnswerListener[] = [];

  constructor(private readonly timers: TimerService) {}

  /** Subscribes to attempts of whose answers a part arrives. */
  onBody(listener: AttemptListener): void {
    this.bodyListeners.push(listener);
  }

  /** Subscribes to answers that begin, that have gone on for a while, and that are whole. */
  onProgress(listener: AnswerListener): void {
    this.progressListeners.push(listener);
  }

  /** Follows an attempt from now on. */
  begin(subject: AttemptSubject): FollowedAttempt {
    const { route, shared } = subject;
    const record: MutableRecord = {
      ...subject,
      sentAt: this.timers.now(),
      heardAt: undefined,
      endedAt: undefined,
      answer: { route, shared, beganAt: undefined, livedMs: 0, isWhole: false },
    };
    this.add(record);
    return {
      recordBody: () => this.recordBody(record),
      end: (how) => this.end(record, how),
    };
  }

  /** Replicas with attempts that are kept. */
  replicas(): Iterable<string> {
    return this.byReplica.keys();
  }

  /** Attempts at a replica that go on, or ended a short time ago without a whole answer, and which it has not outlived. */
  unanswered(replica: string): readonly AttemptRecord[] {
    const oldest = this.timers.now() - RETENTION_MS;
    const outlived = (this.heardAt.get(replica) ?? Number.NEGATIVE_INFINITY) - OUTLIVED_MS;
    const keptFrom = Math.max(oldest, outlived);
    return [...(this.byReplica.get(replica) ?? [])].filter(
      ({ endedAt }) => endedAt === undefined || endedAt >= keptFrom,
    );
  }

  /** Monotonic time of the last part of any answer from a replica, in milliseconds; undefined if there was none. */
  lastHeardAt(replica: string): number | undefined {
    return this.heardAt.get(replica);
  }

  /** Drops what is kept no longer. */
  expire(): void {
    const oldest = this.timers.now() - RETENTION_MS;
    for (const [replica, at] of this.heardAt)
      if (at < oldest && !this.byReplica.has(replica)) this.heardAt.delete(replica);
    for (const [replica, records] of this.byReplica) {
      const kept = new Set(this.unanswered(replica));
      for (const record of records) if (!kept.has(record)) records.delete(record);
      if (records.size === 0) this.byReplica.delete(replica);
    }
  }

  private add(record: MutableRecord): void {
    const records = this.byReplica.get(record.replica) ?? new Set();
    this.byReplica.set(record.replica, records);
    records.add(record);
    if (records.size <= MAX_ATTEMPTS) return;
    const [oldest] = records;
    records.delete(oldest!);
  }

  private recordBody(record: MutableRecord): void {
    const { answer } = record;
    const now = this.timers.now();
    const isFirst = answer.beganAt === undefined;
    const before = answer.livedMs;
    answer.beganAt ??= now;
    answer.livedMs += Math.min(now - (record.heardAt ?? now), MAX_COUNTED_GAP_MS);
    Object.assign(record, { heardAt: now });
    this.heardAt.set(record.replica, now);
    for (const listener of this.bodyListeners) listener(record);
    const step = (ms: number): number => Math.floor(ms / PROGRESS_STEP_MS);
    if (isFirst || step(answer.livedMs) > step(before)) this.tellProgress(record);
  }

  private end(record: MutableRecord, how: AttemptEnd): void {
    const { answer } = record;
    Object.assign(record, { endedAt: this.timers.now() });
    answer.isWhole = how === AttemptEnd.Answered && answer.beganAt !== undefined;
    if (how === AttemptEnd.Unanswered) return;
    const records = this.byReplica.get(record.replica);
    records?.delete(record);
    if (records?.size === 0) this.byReplica.delete(record.replica);
    if (answer.isWhole) this.tellProgress(record);
  }

  private tellProgress({ answer }: AttemptRecord): void {
    for (const listener of this.progressListeners) listener(answer);
  }
}
