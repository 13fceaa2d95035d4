/** What one request shows of the replicas that end under requests, and what is known of it. */
import type { Facts, SharedFeature, TimerService } from '@celeryyoke/core';
import { Suspicion } from '@celeryyoke/core';

import type { ClientAccount } from '../accounts/index.js';
import type { Route } from '../catalog/index.js';
import type { Need } from '../choice/index.js';
import type { PathMonitor } from '../paths/index.js';
import type { UpstreamPath } from '../relays/index.js';
import type {
  AttemptLedger,
  FollowedAttempt,
  RequestFingerprints,
  SuspectRegistry,
} from '../suspects/index.js';
import { AttemptEnd, fingerprintsOf, sharedFeatures } from '../suspects/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { AttemptResult, RequestHead } from './types.js';
import { COMPLETE_OUTCOMES, CUT_OUTCOMES, NOT_RUN_OUTCOMES } from './types.js';

/** Pause between two looks at a suspect whose crashes are still being reported, in milliseconds. */
const SUSPICION_POLL_MS = 20;

/** Components of the daemon that the suspicion of a request uses. */
export interface SuspicionDependencies {
  readonly paths: Pick<PathMonitor, 'causeOf'>;
  readonly suspects: Pick<
    SuspectRegistry,
    'suspicionOf' | 'quarantineMs' | 'rankReplicas' | 'attemptCut' | 'attemptCompleted'
  >;
  readonly attempts: Pick<AttemptLedger, 'begin'>;
  readonly timers: TimerService;
}

/** The request that is followed. */
export interface SuspicionSubject {
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  /** The client account; undefined for an anonymous request. */
  readonly account: ClientAccount | undefined;
}

/** Follows the attempts of one request. */
export class RequestSuspicion {
  private knownFingerprints: RequestFingerprints | undefined;

  /** What the request shares with others. */
  private readonly shared: readonly SharedFeature[];

  private attempt: FollowedAttempt | undefined;

  constructor(
    private readonly parts: SuspicionDependencies,
    private readonly subject: SuspicionSubject,
  ) {
    const { head, account } = subject;
    this.shared = sharedFeatures(head.promptParts, account?.name);
  }

  /** What is known of the request now. */
  current(): Suspicion {
    return this.parts.suspects.suspicionOf(this.fingerprints);
  }

  /** Waits until it is known whether the request crashes replicas. */
  async resolve(hasEnded: () => boolean): Promise<Suspicion> {
    let suspicion = this.current();
    while (suspicion === Suspicion.Unresolved && !hasEnded()) {
      await this.parts.timers.sleep(SUSPICION_POLL_MS);
      suspicion = this.current();
    }
    return suspicion;
  }

  /** Ranks the replicas for a suspect; undefined for a request that is none. */
  ranking(): Need['rankForSuspect'] {
    if (this.current() === Suspicion.Clear) return undefined;
    return (replicas) => this.parts.suspects.rankReplicas(this.fingerprints(), replicas);
  }

  /** Time for which the request is still refused, in milliseconds; 0 when it is not in quarantine. */
  quarantineMs(): number {
    return this.parts.suspects.quarantineMs(this.fingerprints());
  }

  /** Begins to follow another attempt. */
  beginAttempt({ id, service }: ReplicaEntry, { peer }: UpstreamPath): void {
    this.attempt = this.parts.attempts.begin({
      replica: id,
      service,
      route: this.subject.route.name,
      shared: this.shared,
      fingerprints: this.fingerprints,
      isRelayed: peer !== undefined,
    });
  }

  /**
   * Notes a part of the answer's body.
   * @param at - Monotonic time of its arrival, in milliseconds.
   */
  recordBody(at: number): void {
    this.attempt?.recordBody(at);
  }

  /**
   * Reports an attempt whose connection ended, or one that shows that the request crashes nothing.
   * @param isMigrated - Whether the stream goes on elsewhere: its run was stopped, which ended the connection.
   */
  async report(
    replica: ReplicaEntry,
    path: UpstreamPath | undefined,
    result: AttemptResult,
    isMigrated: boolean,
  ): Promise<void> {
    const { suspects, paths, timers } = this.parts;
    const { outcome, wasSent, hasReplicaCrashed } = result;
    this.attempt?.end(endOf(result, isMigrated), timers.now());
    const isCut = wasSent && CUT_OUTCOMES.has(outcome) && !isMigrated && !result.wasLeft;
    // A daemon without a path to the replica can't tell whether it has crashed; a peer that relays can.
    const isPathLost = path?.peer === undefined && paths.causeOf(replica.service) !== undefined;
    if (isCut && !isPathLost) await suspects.attemptCut(replica, hasReplicaCrashed);
    if (COMPLETE_OUTCOMES.has(outcome) && this.current() !== Suspicion.Clear)
      suspects.attemptCompleted(this.fingerprints());
  }

  /** What tells in the log whether another request is this one, sent again, or shares parts of its prompt. */
  identity(): Facts {
    const { head, account } = this.subject;
    const { target, promptParts } = head;
    const { exact } = this.fingerprints();
    return { account: account?.name, target, promptParts: promptParts.join(' '), fingerprint: exact };
  }

  /** Fingerprints of the request, computed when they are first needed. */
  readonly fingerprints = (): RequestFingerprints => {
    const { head, body, account } = this.subject;
    const { method, host, target } = head;
    const identity = { account: account?.name, method, host, target, body, shared: this.shared };
    this.knownFingerprints ??= fingerprintsOf(identity);
    return this.knownFingerprints;
  };
}

/** How an attempt ended, as far as that tells of its replica. */
function endOf({ outcome, wasSent }: AttemptResult, isMigrated: boolean): AttemptEnd {
  if (COMPLETE_OUTCOMES.has(outcome)) return AttemptEnd.Answered;
  const isNotRun = !wasSent || isMigrated || NOT_RUN_OUTCOMES.has(outcome);
  return isNotRun ? AttemptEnd.NotRun : AttemptEnd.Unanswered;
}
