/**
 * Serves one request: chooses a replica, loads the adapter on it, sends the request, and decides what to do
 * on a failure.
 *
 * A request that may have run is retried only where its route allows that; one that certainly did not run may
 * go to another replica in any case. Each retry is reserved in the retry budget.
 */
import type { TimerHandle } from '@celeryyoke/core';
import { Suspicion } from '@celeryyoke/core';
import type { ServerResponse } from 'node:http';

import type { AccountMetrics, AccountQuotas, ClientAccount } from '../accounts/index.js';
import type { Availability, ReplicaAvailability } from '../availability/index.js';
import { AvailabilityState } from '../availability/index.js';
import type { LateArrival, LateArrivals, RetryBudget, RetryPermit } from '../budget/index.js';
import type { BufferBudget } from '../buffers/index.js';
import type { Route } from '../catalog/index.js';
import { RouteKind } from '../catalog/index.js';
import { ExchangePurpose } from '../channels/index.js';
import type { Choice, InFlightTable, ReplicaHealth } from '../choice/index.js';
import { requestAdapterKey } from '../choice/index.js';
import type { ReplicaLimits, SlotPermit, SlotPermits } from '../limits/index.js';
import { WITHOUT_SLOT } from '../limits/index.js';
import type { PromptAdmission } from '../pacing/index.js';
import type { PathMonitor } from '../paths/index.js';
import type { UpstreamPath, UpstreamSender } from '../relays/index.js';
import { PathKind } from '../relays/index.js';
import type { IncarnationProofs } from '../origins/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { RefusalKind } from './local-reply.js';
import { isPromise, LocalReply, sendLocalReply, sendRefusal } from './local-reply.js';
import type { EngineStream, StreamMigrator, MigratedStream } from './migration.js';
import type { CallerConnection } from './caller-connection.js';
import type { FinderDependencies, RoutedRequest } from './finder.js';
import { ReplicaFinder } from './finder.js';
import { writeResponseHead } from './headers.js';
import { PrefillAdmission, PrefillWait } from './prefill-wait.js';
import { StreamRelay } from './relay.js';
import type { SuspicionDependencies } from './request-suspicion.js';
import { RequestSuspicion } from './request-suspicion.js';
import type { StreamBindingDependencies } from './stream-binding.js';
import { StreamBinding } from './stream-binding.js';
import type { AdmittedAttempt } from './admitted-attempt.js';
import { discardAdmission, endAdmission } from './admitted-attempt.js';
import { Attempt } from './attempt.js';
import { AttemptWatch, KeepReason } from './attempt-watch.js';
import type { RunRecord } from './run-record.js';
import { NotRunProof } from './run-record.js';
import type { Shutdown } from './shutdown.js';
import { SHUTTING_DOWN } from './shutdown.js';
import { WaitCause, WaitTimes } from './wait-times.js';
import type { WorkTimes } from './work-times.js';

import type { ReplicaResponse, RequestDialect, RequestHead, AttemptResult } from './types.js';
import { AttemptOutcome, ContinuationWay, CUT_OUTCOMES, requestTimeoutMs } from './types.js';

/** Shortest time after which a refused caller may retry, in milliseconds. */
const RETRY_AFTER_MS = 250;
/**
 * Shortest such time for a generation: an engine gets a new owner and reports its adapters in about that
 * time.
 */
const GENERATION_RETRY_AFTER_MS = 600;
/** Time by which a request may outlast its caller's deadline at most, as far as that is known, in milliseconds. */
const MAX_OUTLAST_MS = 250;
/** Callers give up a request that may be repeated and is not read within this time, in milliseconds, or this share of theirs. */
const MAX_UNREAD_MS = 1000;
const MAX_UNREAD_SHARE = 1 / 3;
/** Largest number of attempts of one request that are refused without having run. */
const MAX_REFUSALS = 4;
/** Largest number of attempts of one request whose replicas accept no connection. */
const MAX_UNSENT = 32;
const MIN_FAILURE_STATUS = 500;
const FIRST_STATUS_AFTER_SUCCESS = 300;
/** Outcome of a stream that was relayed to its end. */
const STREAMED = 'streamed';
const RUN_STOPPED = 'the run was stopped to be migrated';
const PATH_BROKEN = 'The path to the replica is broken.';
/** Outcome of a request whose caller closed the connection first. */
const CALLER_LEFT = 'left';

/** Outcomes that say nothing about the health of the replica. */
const WITHOUT_VERDICT: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Cancelled,
  AttemptOutcome.Misdirected,
  AttemptOutcome.Withheld,
]);

/** Components of the daemon that an execution uses. */
export interface ExecutionDependencies
  extends FinderDependencies, StreamBindingDependencies, Omit<SuspicionDependencies, 'paths'> {
  readonly dialect: RequestDialect;
  readonly sender: Pick<UpstreamSender, 'choosePath' | 'send'>;
  readonly incarnations: Pick<IncarnationProofs, 'prove'>;
  readonly paths: Pick<
    PathMonitor,
    'causeOf' | 'onCut' | 'onReview' | 'proofOf' | 'respondingReplicas' | 'recordBytes' | 'recordEnded'
  >;
  readonly inFlight: InFlightTable;
  readonly health: ReplicaHealth;
  readonly workTimes: WorkTimes;
  readonly migrator: StreamMigrator;
  readonly admission: PromptAdmission;
  readonly limits: Pick<ReplicaLimits, 'admit' | 'updateFromResponse'>;
  readonly slotPermits: Pick<SlotPermits, 'acquire' | 'updateFromResponse'>;
  readonly availability: Pick<ReplicaAvailability, 'availabilityOf'>;
  /** Records that an adapter is not resident on an engine. */
  readonly markAbsent: (replica: string, key: string) => void;
  /** Limits the memory of all bodies that are held. */
  readonly buffers: BufferBudget;
  /** Which requests are still passed on while this daemon shuts down. */
  readonly shutdown: Shutdown;
  readonly quotas: AccountQuotas;
  readonly accountMetrics: AccountMetrics;
  /** This daemon's share of the fleet-wide allowances, from 0 to 1. */
  readonly fleetShare: () => number;
  /** Retry budget of a service. */
  readonly budget: (service: string) => RetryBudget;
  readonly lateArrivals: Pick<LateArrivals, 'recordHeard' | 'track'>;
}

/** A request that was accepted and is to be served. */
export interface RequestExecutionOptions {
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  /** Whether the configuration declares accounts. */
  readonly hasAccounts: boolean;
  /** The client account; undefined for an anonymous request. */
  readonly account: ClientAccount | undefined;
  readonly res: ServerResponse;
  /** Records the attempts of the request. */
  readonly runs: RunRecord;
  readonly caller: Pick<CallerConnection, 'onLeave'>;
  /** Monotonic time at which it was read, in milliseconds. */
  readonly arrivedAt: number;
  /** Longest time for which it can have been waiting to be read, in milliseconds. */
  readonly unreadMs: number;
}

/** Serves one request, in as many attempts as it takes and its route and the retry budget allow. */
export class RequestExecution {
  private readonly finder: ReplicaFinder;

  private readonly prefillWait: PrefillWait;

  private readonly waits: WaitTimes;

  private readonly deadlineAt: number;

  private readonly rank: number;

  private readonly relay: StreamRelay | undefined;

  /** Undefined for a request that is no stream. */
  private readonly binding: StreamBinding | undefined;

  private attempt: Attempt | undefined;

  private attemptCount = 0;

  /** Replicas that may have received the request, whether or not they ran it. */
  private readonly sentTo = new Set<string>();

  /** Number of attempts in which the request may have run. */
  private possibleRuns = 0;

  /** Number of attempts that were refused without having run. */
  private refusals = 0;

  /** Number of attempts that were not sent, as their replicas accepted no connection. */
  private unsent = 0;

  /** Aborts waits when the request ends. */
  private readonly endController = new AbortController();

  /** Where the stream continues after a migration. */
  private migrated: MigratedStream | undefined;

  /** Time from the arrival to the last attempt, in milliseconds. */
  private sentAfterMs = 0;

  /** Time from the choice of the replica to the last attempt, in milliseconds; undefined for a migrated stream. */
  private chosenAgoMs: number | undefined;

  /** Path of the last attempt. */
  private path: UpstreamPath | undefined;

  /** What was known of the replica when the last attempt was sent. */
  private availability: Availability = { state: AvailabilityState.Accepting, forMs: 0 };

  /** Permit for the next attempt; undefined when that is no retry. */
  private retryPermit: RetryPermit | undefined;

  /** The attempt before the next one, if it may still arrive. */
  private lateArrival: LateArrival | undefined;

  /** Monotonic time at which the permit was reserved, in milliseconds. */
  private retryReservedAt = 0;

  /**
   * Time from the reservation of the last attempt until it was sent, in milliseconds; undefined when it was
   * no retry.
   */
  private reservedAgoMs: number | undefined;

  /** What the next attempt is, if it is prepared. */
  private next: AdmittedAttempt | undefined;

  private hasEnded = false;

  /** What the caller received, for the metrics. */
  private outcome: string = CALLER_LEFT;

  private readonly suspicion: RequestSuspicion;

  /** Last failure response of a replica, sent to the caller unless a retry succeeds. */
  private bufferedResponse: ReplicaResponse | undefined;

  constructor(
    private readonly parts: ExecutionDependencies,
    private readonly options: RequestExecutionOptions,
  ) {
    const { head, route, res, arrivedAt, account } = options;
    this.suspicion = new RequestSuspicion(parts, options);
    this.waits = new WaitTimes(parts.timers, arrivedAt);
    this.rank = account?.rank ?? route.rank;
    const timeoutMs = requestTimeoutMs(head, route);
    this.deadlineAt = arrivedAt + timeoutMs - this.lostMs(timeoutMs);
    if (route.kind === RouteKind.Streaming) {
      // Where streams can't be resumed, the id concerns the upstream alone.
      const resumeFromId = route.isResumable ? head.lastEventId : undefined;
      this.relay = new StreamRelay(res, resumeFromId, parts.timers, parts.buffers);
      this.binding = new StreamBinding(parts, {
        ...options,
        fingerprint: () => this.suspicion.fingerprints().exact,
        lastCallMs: () => (this.hasEnded ? 0 : this.finder.lastCallMs()),
      });
    }
    const request: RoutedRequest = {
      ...options,
      rank: this.rank,
      deadlineAt: this.deadlineAt,
      hasEnded: () => this.hasEnded,
      hasResponseBegun: () => this.relay?.hasBegun ?? false,
      softwareVersion: () => this.binding?.softwareVersion,
      beginsResumable: () => route.isResumable && this.binding?.isBound === false,
      suspectRanking: () => this.suspicion.ranking(),
    };
    this.finder = new ReplicaFinder(parts, request, this.waits);
    this.prefillWait = new PrefillWait(parts, request, this.waits);
  }

  /** Serves the request; when it resolves, the response to the caller has ended. */
  async run(): Promise<void> {
    const { res, caller, service } = this.options;
    this.parts.budget(service).countRequest();
    const onClose = (): void => this.end('caller closed the connection');
    res.once('close', onClose);
    const stopListening = caller.onLeave(onClose);
    const timer = this.startDeadlineTimer();
    const stopFollowing = this.followShutdown();
    try {
      await this.waits.measure(WaitCause.Version, this.binding?.resume());
      await this.attemptUntilDone();
    } finally {
      this.binding?.end(this.outcome === STREAMED);
      this.retryPermit?.release();
      this.bufferedResponse?.release();
      this.relay?.release();
      if (this.next !== undefined) discardAdmission(this.next);
      timer.cancel();
      stopFollowing();
      res.off('close', onClose);
      stopListening();
      this.parts.metrics.recordRequest(
        this.options.route.kind,
        this.outcome,
        this.parts.timers.now() - this.options.arrivedAt,
      );
    }
  }

  private startDeadlineTimer(): TimerHandle {
    const { timers } = this.parts;
    return timers.after(Math.max(0, this.deadlineAt - timers.now()), () => {
      if (this.options.runs.mayHaveRun) this.finishLocally(LocalReply.TimedOut, 'The time is over.');
      else this.refuse(LocalReply.NotRun, 'No replica could take it in time.', RETRY_AFTER_MS);
      this.end('deadline exceeded');
    });
  }

  /** Ends the request when the daemon does, and while it waits as soon as it may not be passed on any more. */
  private followShutdown(): () => void {
    const { shutdown } = this.parts;
    const stops = [
      shutdown.onRefuse(() => {
        if (this.attempt === undefined && !this.mayAttempt) this.endWithDaemon();
      }),
      shutdown.onEnd(() => this.endWithDaemon()),
    ];
    return () => {
      for (const stop of stops) stop();
    };
  }

  /** Whether another attempt may begin: a request that may outlast the daemon is not begun, but goes on. */
  private get mayAttempt(): boolean {
    return this.relay?.hasBegun || this.parts.shutdown.allowsStart(this.deadlineAt);
  }

  /** Ends the request, as the daemon shuts down; others can serve it if it has not run. */
  private endWithDaemon(): void {
    if (this.hasEnded) return;
    if (this.bufferedResponse !== undefined) this.sendResponse(this.bufferedResponse);
    else this.refuse(LocalReply.NotRun, SHUTTING_DOWN, 0);
    this.end('the daemon shuts down');
  }

  /** Ends the request and cancels the attempt in progress. */
  private end(reason: string): void {
    this.hasEnded = true;
    this.endController.abort();
    this.attempt?.cancel(reason);
  }

  /** Makes attempts until the request has ended or no other attempt is allowed. */
  private async attemptUntilDone(): Promise<void> {
    while (!this.hasEnded && !this.binding?.isStuck && this.mayAttempt) {
      const { migrated } = this;
      const prepared = this.takeNext();
      const isNew = migrated === undefined && prepared === undefined;
      if (isNew && (await this.isQuarantined())) break;
      const choice = prepared?.choice ?? migrated?.choice ?? (await this.finder.find());
      if (choice === undefined || this.hasEnded) break;
      const admitted = prepared ?? (await this.admit(choice, migrated?.continuation));
      const result = admitted && (await this.sendAdmitted(admitted));
      if (result === undefined) continue;
      await this.suspicion.report(choice.replica, this.path, result, this.migrated !== undefined);
      if (!this.handleResult(choice, result)) break;
      await this.binding?.settle();
    }
    if (!this.hasEnded && !this.mayAttempt) this.endWithDaemon();
    if (!this.hasEnded) this.finishUnserved();
  }

  /** Waits until it is known whether the request crashes replicas. */
  private async isQuarantined(): Promise<boolean> {
    const resolved = this.suspicion.resolve(() => this.hasEnded);
    return (await this.waits.measure(WaitCause.Suspicion, resolved)) === Suspicion.Quarantined;
  }

  /** Takes the attempt that was prepared for the one before, unless the stream was migrated meanwhile. */
  private takeNext(): AdmittedAttempt | undefined {
    const { next } = this;
    this.next = undefined;
    if (next === undefined) return undefined;
    this.retryPermit = next.retryPermit;
    if (this.migrated === undefined) return next;
    // The migrated stream is sent in its place, with its permit.
    endAdmission(next);
    return undefined;
  }

  /**
   * Waits for the admission of the prompt and for the replica's limits.
   * @returns Undefined when the request has ended or the replica can't take it any more.
   */
  private async admit(
    choice: Choice,
    continuation: string | undefined,
  ): Promise<AdmittedAttempt | undefined> {
    const { inFlight } = this.parts;
    const { replica } = choice;
    const suspicion = this.suspicion.current();
    // The request counts as in flight from now on, so that its adapter is not evicted.
    const handle = inFlight.begin(replica.id, this.adapterKey());
    let permit: SlotPermit | undefined;
    try {
      if (await this.isPromptAdmitted(replica, continuation))
        permit = await this.waits.measure(
          WaitCause.Permit,
          this.acquirePermit(replica, continuation !== undefined),
        );
    } finally {
      if (permit === undefined) handle.requestEnded();
    }
    return permit && { choice, continuation, handle, permit, suspicion };
  }

  /** Waits for the admission of the prompt; false when the request has ended or the replica can't take it any more. */
  private async isPromptAdmitted(replica: ReplicaEntry, continuation: string | undefined): Promise<boolean> {
    const { chooser, markAbsent } = this.parts;
    const key = this.adapterKey();
    const admission = await this.prefillWait.waitForAdmission(
      replica,
      key,
      this.finder.lastCallMs(),
      this.endController.signal,
    );
    if (this.hasEnded || admission === PrefillAdmission.Full) return false;
    if (admission === PrefillAdmission.NotResident) {
      markAbsent(replica.id, key!);
      return false;
    }
    // A migrated stream can't continue on another replica, as the state of its run was copied to this one.
    return continuation !== undefined || chooser.acceptsRequests(replica, this.binding?.softwareVersion);
  }

  /** Sends the request; undefined when it has ended, or what its choice was based on has changed. */
  private async sendAdmitted(admitted: AdmittedAttempt): Promise<AttemptResult | undefined> {
    let wasRejected = false;
    try {
      // The choice does not hold if a replica has crashed under another copy of the request since.
      const isStale = this.suspicion.current() !== admitted.suspicion;
      if (this.hasEnded || (isStale && admitted.continuation === undefined)) return undefined;
      const result = await this.sendAttempt(admitted);
      wasRejected = result.outcome === AttemptOutcome.NotRun && result.wasSent;
      return result;
    } finally {
      endAdmission(admitted, wasRejected);
    }
  }

  /**
   * Acquires what the limits that a replica declares ask for.
   * @returns Undefined when it can't take the request now.
   */
  private async acquirePermit(
    replica: ReplicaEntry,
    isContinuation: boolean,
  ): Promise<SlotPermit | undefined> {
    const { limits, slotPermits } = this.parts;
    const slot = await slotPermits.acquire(replica);
    if (slot === undefined && !isContinuation) return undefined;
    const isAdmitted = await limits.admit(replica.id);
    // A migrated stream goes on without, as only this replica has its state.
    if (isAdmitted || isContinuation) return slot ?? WITHOUT_SLOT;
    slot?.release(false);
    return undefined;
  }

  private async sendAttempt({ choice, continuation, handle }: AdmittedAttempt): Promise<AttemptResult> {
    const { replica, residentVersion } = choice;
    const { dialect, sender, timers, health, limits, slotPermits } = this.parts;
    const { head, body, hasAccounts, account } = this.options;
    const timeoutMs = Math.max(1, Math.floor(this.deadlineAt - timers.now()));
    const headers = dialect.upstreamHeaders(head, {
      waitMs: timeoutMs,
      instance: replica.name,
      version: residentVersion === undefined || residentVersion === 0 ? undefined : residentVersion,
      rank: head.generation === undefined ? undefined : this.rank,
      hasAccounts,
      account: account?.name,
      lastEventId: this.relay?.lastEventId ?? head.lastEventId,
      continuation,
    });
    const purpose = continuation === undefined ? ExchangePurpose.Request : ExchangePurpose.Continuation;
    // A late response to an earlier attempt names the same request; on a new connection none can arrive.
    const needsNewConnection = this.sentTo.has(replica.id);
    const call = {
      purpose,
      method: head.method,
      path: head.target,
      headers,
      body,
      needsNewConnection,
      requestId: head.id,
    };
    const path = sender.choosePath(replica, this.isRetryable, this.attemptCount === 0);
    this.path = path;
    this.attemptCount += 1;
    const sentAt = timers.now();
    this.sentAfterMs = Math.round(sentAt - this.options.arrivedAt);
    this.chosenAgoMs = continuation === undefined ? Math.round(sentAt - this.finder.chosenAt) : undefined;
    this.availability = this.parts.availability.availabilityOf(replica.id);
    if (this.relay?.lastEventId !== undefined) this.logContinuation(replica, continuation !== undefined);
    const retryPermit = this.consumeRetryPermit(sentAt);
    const exchange = { replica, rank: this.rank, startedAt: sentAt };
    health.recordSent(replica.id);
    this.suspicion.beginAttempt(replica, path);
    const isRelayed = path.peer !== undefined;
    const versionToProve = this.binding?.versionToProve(replica, isRelayed && this.isRetryable);
    this.attempt = new Attempt({
      send: (sink) =>
        sender.send(path, replica, { id: head.id, call, timeoutMs, softwareVersion: versionToProve }, sink),
      dialect,
      timers,
      buffers: this.parts.buffers,
      requestId: head.id,
      relay: this.relay,
      onSent: () => retryPermit?.send(),
      onStreamBegin: () => {
        const proof = versionToProve === undefined ? this.proveIncarnation(replica) : undefined;
        this.binding?.begin(replica, proof);
      },
      onStreamData: (at) => {
        handle.responseStarted();
        this.suspicion.recordBody(at);
      },
      onDataReceived: () => {
        retryPermit?.settle();
        health.recordBytes(replica.id);
        this.parts.lateArrivals.recordHeard(replica.id);
        if (path.peer === undefined) this.parts.paths.recordBytes(exchange);
      },
      // Nothing is awaited from a replica that is held back.
      onHeldBack: (isHeldBack) =>
        isHeldBack ? health.recordEnded(replica.id) : health.recordSent(replica.id),
      onMetadata: ({ limitPerSecond, rejectionsPerSecond }) => {
        limits.updateFromResponse(replica.id, limitPerSecond, sentAt);
        slotPermits.updateFromResponse(replica.id, rejectionsPerSecond, sentAt);
      },
    });
    const { attempt } = this;
    this.options.runs.begin(() => attempt.mayHaveArrived);
    const stopWatching = this.watchPath(attempt, path, replica);
    const result = await this.waits.measure(WaitCause.Attempt, this.awaitResult(attempt, replica));
    this.options.runs.end(result.proof);
    stopWatching();
    this.attempt = undefined;
    if (result.wasSent) {
      this.sentTo.add(replica.id);
      this.trackArrival(replica, sentAt, result);
      retryPermit?.cover(this.lateArrival);
      retryPermit?.settle();
    } else retryPermit?.release();
    health.recordEnded(replica.id);
    this.parts.paths.recordEnded(exchange);
    this.parts.metrics.recordAttempt(result.outcome);
    if (this.attemptCount === 1) this.recordWork(result, timers.now() - sentAt);
    if (result.firstByteMs !== undefined && head.generation !== undefined)
      this.parts.admission.recordFirstEvent(replica, {
        tokens: head.generation.promptTokens,
        ms: result.firstByteMs,
      });
    const isVerdict = (path.kind === PathKind.Direct || result.wasSent) && !result.wasLeft;
    if (isVerdict) recordHealth(replica, result, health);
    return result;
  }

  /** Tracks an attempt that has ended without a byte from its replica, which may read it later. */
  private trackArrival(replica: ReplicaEntry, sentAt: number, { firstByteMs }: AttemptResult): void {
    const isUnheard = firstByteMs === undefined;
    this.lateArrival = isUnheard ? this.parts.lateArrivals.track(replica, sentAt) : undefined;
  }

  /** Records how long the whole response to the first attempt has taken. */
  private recordWork({ outcome, response, firstByteMs }: AttemptResult, totalMs: number): void {
    const { head, route } = this.options;
    const isWhole = outcome === AttemptOutcome.Relayed || outcome === AttemptOutcome.Responded;
    const isSuccess = isWhole && (response === undefined || response.status < FIRST_STATUS_AFTER_SUCCESS);
    if (!isSuccess || firstByteMs === undefined || head.lastEventId !== undefined) return;
    this.parts.workTimes.record(route.name, { firstByteMs, totalMs });
  }

  /**
   * Has it proved, where the stream may go on elsewhere, which incarnation of the replica has responded.
   * @returns Undefined if that is known.
   */
  private proveIncarnation(replica: ReplicaEntry): Promise<boolean> | undefined {
    const connectedAt = this.attempt?.connectedAt;
    if (connectedAt === undefined || !this.isRetryable) return undefined;
    return this.parts.incarnations.prove(replica, connectedAt);
  }

  /** Watches the connection of an attempt; what it returns ends that. */
  private watchPath(attempt: Attempt, { kind }: UpstreamPath, replica: ReplicaEntry): () => void {
    if (kind === PathKind.Relayed || kind === PathKind.Blocked) return () => undefined;
    const { paths, timers, log } = this.parts;
    const stopCuts = paths.onCut((service) => {
      if (service === replica.service) attempt.cancelUnsent(PATH_BROKEN);
    });
    if (!this.isRetryable) return stopCuts;
    const watch = new AttemptWatch({
      attempt,
      replica,
      request: this.options.head.id,
      rank: this.rank,
      paths,
      prepareNext: (among) => this.prepareNext(among),
      onLeave: (next) => {
        this.next = next;
      },
      discard: discardAdmission,
      timers,
      log,
    });
    return () => {
      stopCuts();
      watch.end();
    };
  }

  /**
   * Prepares another attempt while one is in progress.
   * @param among - Replicas that it may go to.
   */
  private async prepareNext(among: ReadonlySet<string>): Promise<AdmittedAttempt | KeepReason> {
    if (this.possibleRuns + 1 >= this.options.route.maxAttempts) return KeepReason.NoAttemptLeft;
    const retryPermit = this.reservePermit();
    if (retryPermit === undefined) return KeepReason.NoPermit;
    let admitted: AdmittedAttempt | undefined;
    try {
      // A stream whose version is not known can't go on anywhere else.
      const choice = this.binding?.isStuck ? undefined : await this.finder.find(among);
      if (choice !== undefined) admitted = await this.admit(choice, undefined);
    } finally {
      if (admitted === undefined) retryPermit.release();
    }
    return admitted === undefined ? KeepReason.NoReplica : { ...admitted, retryPermit };
  }

  /** Consumes the permit for the attempt that begins; undefined when that is no retry. */
  private consumeRetryPermit(sentAt: number): RetryPermit | undefined {
    const { retryPermit } = this;
    this.retryPermit = undefined;
    // It is the extra arrival if the retry comes first.
    retryPermit?.cover(this.lateArrival);
    this.reservedAgoMs = retryPermit === undefined ? undefined : Math.round(sentAt - this.retryReservedAt);
    if (this.reservedAgoMs !== undefined) this.parts.metrics.recordRetryDelay(this.reservedAgoMs);
    return retryPermit;
  }

  /**
   * Waits for the end of an attempt; a stream is migrated meanwhile if its engine is about to be shut down.
   */
  private async awaitResult(attempt: Attempt, replica: ReplicaEntry): Promise<AttemptResult> {
    const { migrator } = this.parts;
    const { head, service } = this.options;
    const { generation } = head;
    this.migrated = undefined;
    if (generation === undefined || this.relay === undefined) return attempt.result;
    const stream: EngineStream = { request: head.id, service, rank: this.rank, generation, replica };
    const migration = migrator.register(stream);
    const result = await attempt.result;
    const isUnframed = result.outcome === AttemptOutcome.Relayed && !result.isFramed;
    const mayBeCut = isUnframed || result.outcome === AttemptOutcome.BrokenStream;
    this.migrated = await migrator.complete(migration, mayBeCut);
    // The connection of a run that is stopped ends like that of one that is complete.
    const wasStopped = isUnframed && migration.hasStoppedRun;
    return wasStopped ? { ...result, outcome: AttemptOutcome.BrokenStream, reason: RUN_STOPPED } : result;
  }

  /** Logs an attempt that goes on with a stream of which the caller has events. */
  private logContinuation({ id, softwareVersion }: ReplicaEntry, isMigrated: boolean): void {
    const { head, route } = this.options;
    this.parts.log.decide('stream.continued', `The stream goes on at ${id}.`, {
      request: head.id,
      route: route.name,
      ...this.suspicion.identity(),
      firstAttempt: head.firstAttempt,
      lastEventId: this.relay?.lastEventId,
      way: this.continuationWay(isMigrated),
      replica: id,
      softwareVersion,
      viewAgeMs: this.parts.viewAgeMs(),
    });
  }

  private continuationWay(isMigrated: boolean): ContinuationWay {
    if (isMigrated) return ContinuationWay.Migration;
    return this.relay?.hasBegun ? ContinuationWay.Retry : ContinuationWay.TakeUp;
  }

  /** Logs an attempt: failures always, successes only when details are logged. */
  private logAttempt(
    replica: ReplicaEntry,
    { outcome, response, reason, wasSent, firstByteMs, silentMs, identity }: AttemptResult,
  ): void {
    const { log, budget, fleetShare, inFlight, timers, viewAgeMs } = this.parts;
    const { head, route, service } = this.options;
    const { availability } = this;
    const isAccepting = availability.state === AvailabilityState.Accepting;
    const isSuccess =
      outcome === AttemptOutcome.Relayed || (response !== undefined && response.status < MIN_FAILURE_STATUS);
    if (isSuccess && isAccepting && !log.hasDetails) return;
    const write = isSuccess && isAccepting ? log.detail : log.decide;
    write('request.send', `The attempt at ${replica.id} ended: ${outcome}.`, {
      request: head.id,
      route: route.name,
      replica: replica.id,
      softwareVersion: replica.softwareVersion,
      outcome,
      status: response?.status,
      responseIdentity: identity,
      reason,
      wasSent,
      ...(CUT_OUTCOMES.has(outcome) ? this.suspicion.identity() : undefined),
      send: this.attemptCount,
      sentAfterMs: this.sentAfterMs,
      unreadMs: Math.round(this.options.unreadMs),
      chosenAgoMs: this.chosenAgoMs,
      replicaState: availability.state,
      via: this.path?.peer,
      isBlocked: this.path?.kind === PathKind.Blocked ? true : undefined,
      declaredAgoMs: isAccepting ? undefined : Math.round(availability.forMs),
      loadMs: this.finder.loadMs,
      heldBackMs: this.prefillWait.totalDelayMs,
      ...this.waits.summary(),
      longestPauseMs: this.relay === undefined ? undefined : Math.round(this.relay.longestGapMs),
      firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      silentMs: Math.round(silentMs),
      mayArriveLater: this.lateArrival?.isOpen,
      lastedMs: Math.round(timers.now() - this.options.arrivedAt) - this.sentAfterMs,
      running: inFlight.countsOf(replica.id).running,
      reservedAgoMs: this.reservedAgoMs,
      budgetLeft: Math.floor(budget(service).available()),
      fleetShare: fleetShare(),
      viewAgeMs: viewAgeMs(),
    });
  }

  /**
   * Logs the result of an attempt and decides whether it ends the request.
   * @returns Whether another attempt is to be made.
   */
  private handleResult({ replica }: Choice, result: AttemptResult): boolean {
    if (result.outcome !== AttemptOutcome.Withheld) this.finder.tried.add(replica.id);
    this.logAttempt(replica, result);
    if (this.hasEnded) return false;
    return dispatchResult(this, replica, result);
  }

  /**
   * The response was buffered whole: it goes to the caller, unless it is a failure and a retry is allowed.
   */
  onResponse(response: ReplicaResponse): boolean {
    this.possibleRuns += 1;
    const { kind, maxAttempts } = this.options.route;
    const isFailure = response.status >= MIN_FAILURE_STATUS;
    const canRetry = kind === RouteKind.Safe && this.possibleRuns < maxAttempts && this.remainingMs() > 0;
    if (isFailure && canRetry && this.reserveRetry()) {
      this.bufferedResponse?.release();
      this.bufferedResponse = response;
      return true;
    }
    this.sendResponse(response);
    return false;
  }

  /** The stream was relayed until its end. */
  onRelayed(): boolean {
    this.relay!.end();
    this.parts.metrics.recordStreamGap(this.relay!.longestGapMs);
    this.outcome = STREAMED;
    this.hasEnded = true;
    return false;
  }

  /**
   * The replica did not run the request: another one is tried, unless an earlier attempt may have run and the
   * route allows no retry.
   * @param wasSent - Whether the replica was sent anything.
   */
  onNotRun({ id }: ReplicaEntry, wasSent: boolean): boolean {
    const isOwnPath = this.path?.peer === undefined && this.path?.kind !== PathKind.Blocked;
    // Replicas that have ended stay listed for a while, and seem idle: several of them may be chosen first.
    if (!wasSent && isOwnPath) {
      this.finder.recordUnreached(id);
      this.unsent += 1;
    } else this.refusals += 1;
    if (this.possibleRuns > 0 && !this.isRetryable) return false;
    return this.refusals < MAX_REFUSALS && this.unsent < MAX_UNSENT && this.tryReserveRetry();
  }

  /** The replica takes no requests any more, and was sent nothing: another one is tried like after a refusal. */
  onWithheld(): boolean {
    if (this.possibleRuns > 0 && !this.isRetryable) return false;
    return this.tryReserveRetry();
  }

  /**
   * The replica is gone or lacks the adapter: marks the adapter as absent there, which the next choice takes
   * into account.
   */
  onMisdirected(replica: ReplicaEntry): boolean {
    const key = this.adapterKey();
    if (key !== undefined) {
      this.parts.markAbsent(replica.id, key);
      this.finder.recordAdapterMissing(replica.id);
    }
    return this.onNotRun(replica, true);
  }

  /** The request may have run: it is retried only where its route allows that. */
  onOutcomeUnknown(): boolean {
    this.possibleRuns += 1;
    return this.isRetryable && this.possibleRuns < this.options.route.maxAttempts && this.tryReserveRetry();
  }

  /**
   * A stream broke: it continues where it was migrated to, or after its last event if the route allows that.
   */
  onBrokenStream(): boolean {
    const { isResumable, maxAttempts } = this.options.route;
    if (!this.relay!.isContinuable) return false;
    if (this.migrated !== undefined) {
      // The same run continues, which is allowed on every route.
      this.possibleRuns = Math.max(1, this.possibleRuns);
      return this.tryReserveRetry();
    }
    this.possibleRuns += 1;
    return isResumable && this.possibleRuns < maxAttempts && this.tryReserveRetry();
  }

  /**
   * Returns how much of its time the request counts as having lost before it was read, in milliseconds: no more than its
   * caller waits for that, or than leaves the time to serve it, as it may have been read at once.
   */
  private lostMs(timeoutMs: number): number {
    const { route, unreadMs } = this.options;
    const maxLostMs = this.isRetryable
      ? Math.min(MAX_UNREAD_MS, timeoutMs * MAX_UNREAD_SHARE)
      : timeoutMs - this.parts.workTimes.shortest(route.name).totalMs;
    return Math.max(0, Math.min(unreadMs - MAX_OUTLAST_MS, maxLostMs));
  }

  /** Whether the route allows retries of a request that may have run. */
  private get isRetryable(): boolean {
    const { kind, isResumable } = this.options.route;
    return kind === RouteKind.Safe || (kind === RouteKind.Streaming && isResumable);
  }

  /** Reserves the next attempt, unless the deadline has passed. */
  private tryReserveRetry(): boolean {
    return this.remainingMs() > 0 && this.reserveRetry();
  }

  /**
   * Reserves the next attempt in the retry budget. It is no retry while no earlier attempt can have arrived.
   */
  private reserveRetry(): boolean {
    if (this.sentTo.size === 0 || this.next !== undefined) return true;
    this.retryPermit = this.reservePermit();
    return this.retryPermit !== undefined;
  }

  private reservePermit(): RetryPermit | undefined {
    const { budget, metrics, timers } = this.parts;
    const permit = budget(this.options.service).reserve();
    metrics.recordRetryDecision(permit !== undefined);
    this.retryReservedAt = timers.now();
    return permit;
  }

  private remainingMs(): number {
    return this.deadlineAt - this.parts.timers.now();
  }

  /** `model/adapter` of a generation; undefined where it needs no adapter. */
  private adapterKey(): string | undefined {
    const { generation } = this.options.head;
    return requestAdapterKey({ model: generation?.model, adapter: generation?.adapter });
  }

  /** Ends the request when no further attempt is allowed. */
  private finishUnserved(): void {
    if (this.bufferedResponse !== undefined) this.sendResponse(this.bufferedResponse);
    else if (this.options.runs.mayHaveRun)
      this.finishLocally(LocalReply.OutcomeUnknown, 'It may have run, and no answer came.');
    else if (this.suspicion.current() === Suspicion.Quarantined) {
      this.refuse(
        LocalReply.Quarantined,
        'It, or another one that shares something with it, has crashed several replicas.',
        this.suspicion.quarantineMs(),
      );
    } else if (this.binding?.isStuck || !this.finder.hasVersion()) {
      const reason = 'No replica has the software version that began the stream, or it is not known.';
      this.refuse(LocalReply.StreamNotResumable, reason, GENERATION_RETRY_AFTER_MS);
    } else {
      this.refuse(LocalReply.NotRun, 'No replica can take it in time.', this.retryAfterMs());
    }
  }

  /**
   * Returns the time after which a caller that no replica could take may be served, in milliseconds. Backoffs are known;
   * what is only expected may end sooner, so the caller is asked to return while it still has the time to be served.
   */
  private retryAfterMs(): number {
    const { finder, options } = this;
    const shortestMs = options.head.generation === undefined ? RETRY_AFTER_MS : GENERATION_RETRY_AFTER_MS;
    const expectedMs = Number.isFinite(finder.expectedMs) ? finder.expectedMs : 0;
    return Math.max(shortestMs, finder.backoffMs(), Math.min(expectedMs, finder.lastCallMs()));
  }

  /**
   * Sends a replica's buffered response to the caller. A status that promises that the request has not run is passed on
   * only where the request may be repeated, as the replica does not prove what it promises.
   */
  private sendResponse(response: ReplicaResponse): void {
    const { res } = this.options;
    const { status, headers, body, release } = response;
    if (this.bufferedResponse === response) this.bufferedResponse = undefined;
    if (isPromise(status) && !this.isRetryable) {
      release();
      this.finishLocally(
        LocalReply.OutcomeUnknown,
        `The replica responded ${status} and did not deny the run.`,
      );
      return;
    }
    this.hasEnded = true;
    this.outcome = `answered ${Math.floor(status / 100)}xx`;
    if (res.headersSent || res.destroyed) {
      release();
      // The caller has a part of a stream, which this response does not continue.
      if (this.relay?.hasBegun) this.relay.abort();
      return;
    }
    res.once('close', release);
    writeResponseHead(res, status, headers, body.length);
    res.end(body);
  }

  /** Refuses the request; if there is no proof that it has not run, its outcome is unknown. */
  private refuse(kind: RefusalKind, reason: string, retryAfterMs: number): void {
    const proof = NotRunProof.of(this.options.runs);
    if (proof === undefined) {
      this.finishLocally(LocalReply.OutcomeUnknown, `It may have run. ${reason}`);
      return;
    }
    this.recordEnd(kind, reason, proof);
    if (this.relay?.hasBegun) this.relay.abort();
    else sendRefusal(this.options.res, kind, proof, reason, { retryAfterMs });
  }

  /**
   * Ends the request with a local reply, or with the buffered failure response of a replica if there is one.
   */
  private finishLocally(kind: Exclude<LocalReply, RefusalKind>, reason: string): void {
    this.recordEnd(kind, reason, undefined);
    if (this.relay?.hasBegun) this.relay.abort();
    else if (this.bufferedResponse !== undefined) this.sendResponse(this.bufferedResponse);
    else sendLocalReply(this.options.res, kind, reason);
  }

  private recordEnd(kind: LocalReply, reason: string, proof: NotRunProof | undefined): void {
    this.hasEnded = true;
    this.outcome = kind;
    const { head, route } = this.options;
    this.parts.log.decide('request.ended', `The request ended with a local reply: ${kind}. ${reason}`, {
      request: head.id,
      route: route.name,
      routeKind: route.kind,
      outcome: kind,
      sends: this.attemptCount,
      runs: this.possibleRuns,
      refusals: this.refusals,
      denials: proof?.denied,
      unsent: proof?.unsent,
      afterMs: Math.round(this.parts.timers.now() - this.options.arrivedAt),
      limitMs: Math.round(this.deadlineAt - this.options.arrivedAt),
      unreadMs: Math.round(this.options.unreadMs),
      loadMs: this.finder.loadMs,
      expectedMs: Math.round(this.finder.expectedMs),
      ...this.waits.summary(),
      viewAgeMs: this.parts.viewAgeMs(),
    });
  }
}

/** Records the result of an attempt in the health of its replica. */
function recordHealth(replica: ReplicaEntry, result: AttemptResult, health: ReplicaHealth): void {
  const { outcome, response, wasSent, firstByteMs } = result;
  if (WITHOUT_VERDICT.has(outcome)) return;
  if (outcome === AttemptOutcome.NotRun && !wasSent) health.recordUnreachable(replica.id);
  else {
    const isFailure = response !== undefined && response.status >= MIN_FAILURE_STATUS;
    const isSuccess =
      outcome === AttemptOutcome.Relayed || (outcome === AttemptOutcome.Responded && !isFailure);
    health.recordOutcome(replica.id, isSuccess, isSuccess ? firstByteMs : undefined);
  }
}

/** Handlers by the outcome of an attempt; each returns whether another attempt is to be made. */
const RESULT_HANDLERS: Readonly<
  Record<
    AttemptOutcome,
    (execution: RequestExecution, replica: ReplicaEntry, result: AttemptResult) => boolean
  >
> = {
  [AttemptOutcome.Responded]: (execution, _replica, { response }) => execution.onResponse(response!),
  [AttemptOutcome.Relayed]: (execution) => execution.onRelayed(),
  [AttemptOutcome.NotRun]: (execution, replica, { wasSent }) => execution.onNotRun(replica, wasSent),
  [AttemptOutcome.Withheld]: (execution) => execution.onWithheld(),
  [AttemptOutcome.Misdirected]: (execution, replica) => execution.onMisdirected(replica),
  [AttemptOutcome.Unknown]: (execution) => execution.onOutcomeUnknown(),
  [AttemptOutcome.BrokenStream]: (execution) => execution.onBrokenStream(),
  [AttemptOutcome.Cancelled]: () => false,
};

function dispatchResult(execution: RequestExecution, replica: ReplicaEntry, result: AttemptResult): boolean {
  return RESULT_HANDLERS[result.outcome](execution, replica, result);
}
