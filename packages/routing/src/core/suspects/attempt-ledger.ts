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
  /** Fingerprint of the request, once it has begun; empty for one that shares nothing. */
  readonly request: string;
  /** Monotonic time of the first part of its body, in milliseconds. */
  readonly beganAt: number | undefined;
  /** Time for which it has gone on at least, in milliseconds. */
  readonly livedMs: number;
  readonly isWhole: boolean;
}

/** One attempt at a replica; times are monotonic milliseconds. */
export interface AttemptRecord {
  readonly subject: AttemptSubject;
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

/** Called with an attempt of whose answer a part arrives, not with each part. */
export type AttemptListener = (record: AttemptRecord) => void;

/** Called with an answer that begins, that has gone on for a while, or that is whole. */
export type AnswerListener = (answer: AnswerRun) => void;

/** Receives what becomes of an attempt. */
interface AttemptObserver {
  progressed(attempt: FollowedAttempt): void;
  ended(attempt: FollowedAttempt, how: AttemptEnd): void;
}

/** An attempt that is followed. */
export class FollowedAttempt implements AttemptRecord {
  heardAt: number | undefined;

  endedAt: number | undefined;

  readonly answer: { -readonly [Key in keyof AnswerRun]: AnswerRun[Key] };

  /** Time up to which it is counted for how long the answer has gone on. */
  private countedAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly subject: AttemptSubject,
    readonly sentAt: number,
    private readonly observer: AttemptObserver,
  ) {
    const { route, shared } = subject;
    this.answer = { route, shared, request: '', beganAt: undefined, livedMs: 0, isWhole: false };
  }

  /**
   * Records a part of the body.
   * @param at - Monotonic time of its arrival, in milliseconds.
   */
  recordBody(at: number): void {
    this.heardAt = at;
    if (at - this.countedAt >= PROGRESS_STEP_MS) this.count(at);
  }

  /**
   * Records the end.
   * @param at - Its monotonic time, in milliseconds.
   */
  end(how: AttemptEnd, at: number): void {
    this.endedAt = at;
    this.answer.isWhole = how === AttemptEnd.Answered && this.answer.beganAt !== undefined;
    this.observer.ended(this, how);
  }

  private begin(at: number): void {
    const { answer, subject } = this;
    answer.beganAt = at;
    if (answer.shared.length > 0) answer.request = subject.fingerprints().exact;
  }

  private count(at: number): void {
    const { answer } = this;
    if (answer.beganAt === undefined) this.begin(at);
    else answer.livedMs += Math.min(at - this.countedAt, MAX_COUNTED_GAP_MS);
    this.countedAt = at;
    this.observer.progressed(this);
  }
}

/** Attempts at all replicas. */
export class AttemptLedger implements AttemptObserver {
  private readonly byReplica = new Map<string, Set<FollowedAttempt>>();

  /** Monotonic times of the last parts of answers that are kept no longer, in milliseconds, by replica. */
  private readonly heardAt = new Map<string, number>();

  private readonly bodyListeners: AttemptListener[] = [];

  private readonly progressListeners: AnswerListener[] = [];

  private readonly unbegunListeners: AttemptListener[] = [];

  constructor(private readonly timers: TimerService) {}

  /** Subscribes to attempts of whose answers a part arrives. */
  onBody(listener: AttemptListener): void {
    this.bodyListeners.push(listener);
  }

  /** Subscribes to answers that begin, that have gone on for a while, and that are whole. */
  onProgress(listener: AnswerListener): void {
    this.progressListeners.push(listener);
  }

  /** Subscribes to attempts that end without a whole answer before it has begun, although a replica may have run them. */
  onUnbegun(listener: AttemptListener): void {
    this.unbegunListeners.push(listener);
  }

  /** Follows an attempt from now on. */
  begin(subject: AttemptSubject): FollowedAttempt {
    const attempt = new FollowedAttempt(subject, this.timers.now(), this);
    const attempts = this.byReplica.get(subject.replica) ?? new Set();
    this.byReplica.set(subject.replica, attempts);
    attempts.add(attempt);
    if (attempts.size > MAX_ATTEMPTS) this.drop([...attempts][0]!);
    return attempt;
  }

  /** Replicas with attempts that are kept. */
  replicas(): Iterable<string> {
    return this.byReplica.keys();
  }

  /** Attempts at a replica that go on, or ended a short time ago without a whole answer, and which it has not outlived. */
  unanswered(replica: string): readonly AttemptRecord[] {
    const oldest = this.timers.now() - RETENTION_MS;
    const outlived = (this.lastHeardAt(replica) ?? Number.NEGATIVE_INFINITY) - OUTLIVED_MS;
    const keptFrom = Math.max(oldest, outlived);
    return [...(this.byReplica.get(replica) ?? [])].filter(
      ({ endedAt }) => endedAt === undefined || endedAt >= keptFrom,
    );
  }

  /** Monotonic time of the last part of any answer from a replica, in milliseconds; undefined if there was none. */
  lastHeardAt(replica: string): number | undefined {
    let latest = this.heardAt.get(replica);
    for (const { heardAt } of this.byReplica.get(replica) ?? [])
      if (heardAt !== undefined && heardAt > (latest ?? Number.NEGATIVE_INFINITY)) latest = heardAt;
    return latest;
  }

  /** Drops what is kept no longer. */
  expire(): void {
    const oldest = this.timers.now() - RETENTION_MS;
    for (const [replica, at] of this.heardAt)
      if (at < oldest && !this.byReplica.has(replica)) this.heardAt.delete(replica);
    for (const [replica, attempts] of this.byReplica) {
      const kept = new Set<AttemptRecord>(this.unanswered(replica));
      for (const attempt of attempts) if (!kept.has(attempt)) this.drop(attempt);
    }
  }

  /** Called by an attempt whose answer begins or has gone on for a while. */
  progressed(attempt: FollowedAttempt): void {
    for (const listener of this.bodyListeners) listener(attempt);
    for (const listener of this.progressListeners) listener(attempt.answer);
  }

  /** Called by an attempt that has ended. */
  ended(attempt: FollowedAttempt, how: AttemptEnd): void {
    if (how !== AttemptEnd.Unanswered) this.drop(attempt);
    else if (attempt.answer.beganAt === undefined)
      for (const listener of this.unbegunListeners) listener(attempt);
    if (attempt.answer.isWhole) for (const listener of this.progressListeners) listener(attempt.answer);
  }

  private drop(attempt: FollowedAttempt): void {
    const { subject, heardAt } = attempt;
    const { replica } = subject;
    const attempts = this.byReplica.get(replica);
    attempts?.delete(attempt);
    if (attempts?.size === 0) this.byReplica.delete(replica);
    const known = this.heardAt.get(replica) ?? Number.NEGATIVE_INFINITY;
    if (heardAt !== undefined && heardAt > known) this.heardAt.set(replica, heardAt);
  }
}
