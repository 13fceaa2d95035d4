/**
 * One request's way: choose a replica, have the adapter there, send, and decide what a failure allows.
 *
 * A request that may have run is sent again only where its route allows that; one that is proved not to have run may
 * go to another replica in any case. Every repeat is reserved in the budget.
 */
import type { TimerHandle } from '@celeryyoke/core';
import type { ServerResponse } from 'node:http';

import type { AccountMetrics, AccountQuotas, ClientAccount } from '../accounts/index.js';
import type { RepeatBudget, RetryPermit } from '../budget/index.js';
import type { Route } from '../catalog/index.js';
import { RouteKind } from '../catalog/index.js';
import type { ChannelPool } from '../channels/index.js';
import type { Choice, InFlightTable, RunningNote, ReplicaHealth } from '../choice/index.js';
import { useKey } from '../choice/index.js';
import type { ReplicaLimits } from '../limits/index.js';
import type { PromptAdmission } from '../pacing/index.js';
import type { ReplicaEntry } from '../view/index.js';
import { LocalReply, sendLocalReply } from './local-reply.js';
import type { EngineStream, StreamMigrations, Moved } from './migration.js';
import type { FinderParts, SoughtRequest } from './finder.js';
import { ReplicaFinder } from './finder.js';
import { beginAnswer } from './headers.js';
import { PrefillAdmission, PrefillWait } from './prefill-wait.js';
import { StreamRelay } from './relay.js';
import { Attempt } from './attempt.js';

import type { HeldAnswer, RequestDialect, RequestHead, AttemptResult } from './types.js';
import { AttemptOutcome, waitMsOf } from './types.js';

/** When a refused caller may come back, in milliseconds. */
const RETRY_AFTER_MS = 250;
/** The same for a generation: an engine gets its next owner and shows what it holds in about that time. */
const GENERATION_RETRY_AFTER_MS = 600;
/** Part of its time after which a refused generation comes back at last: callers wait a third at most. */
const RETRY_AFTER_SHARE = 0.3;
/** Most sends of one request that were refused without having run. */
const MAX_REFUSALS = 4;
const FIRST_FAILURE_STATUS = 500;
/** Outcome of a request whose caller left before an answer. */
const LEFT = 'left';

/** Outcomes after which it is certain that the replica did not run the request. */
const PROVED_NOT_RUN: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.NotRun,
  AttemptOutcome.Misdirected,
]);

/** What an execution uses of the daemon. */
export interface RequestExecutionParts extends FinderParts {
  readonly dialect: RequestDialect;
  readonly pool: ChannelPool;
  readonly inFlight: InFlightTable;
  readonly health: ReplicaHealth;
  readonly migrations: StreamMigrations;
  readonly admission: PromptAdmission;
  readonly limits: ReplicaLimits;
  /** Notes that an engine does not hold an adapter. */
  readonly notHeld: (replica: string, key: string) => void;
  /** Age of what is known of the platform, in milliseconds. */
  readonly viewAgeMs: () => number;
  readonly quotas: AccountQuotas;
  readonly accountMetrics: AccountMetrics;
  /** This daemon's part of what the whole fleet is allowed, from 0 to 1. */
  readonly fleetShare: () => number;
  /** The budget of a service. */
  readonly budget: (service: string) => RepeatBudget;
}

/** A request that begins its way. */
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
  /** Monotonic time of its arrival. */
  readonly arrivedAt: number;
}

/** One request's way. */
export class RequestExecution {
  private readonly finder: ReplicaFinder;

  private readonly prefillWait: PrefillWait;

  private readonly deadlineAt: number;

  private readonly rank: number;

  private readonly relay: StreamRelay | undefined;

  private send: Attempt | undefined;

  private sends = 0;

  /** Whether any replica may have run it. */
  mayHaveRun = false;

  /** Whether any replica may have got it, whatever it did with it. */
  private mayHaveArrived = false;

  /** Sends after which the request may have run. */
  private runs = 0;

  private refusals = 0;

  /** Ends a wait when the request is over. */
  private readonly overSignal = new AbortController();

  /** Where a stream goes on that was moved off its engine. */
  private moved: Moved | undefined;

  private sentAfter = 0;

  /** Leave for the next send; undefined for a first one. */
  private permit: RetryPermit | undefined;

  /** Monotonic time at which that was reserved, in milliseconds. */
  private reservedAt = 0;

  /** Time from the reservation to the last send, in milliseconds; undefined when that was a first one. */
  private reservedAgoMs: number | undefined;

  private isOver = false;

  /** What the caller got, for the figures. */
  private outcome: string = LEFT;

  /** The last whole answer that a repeat might better. */
  private held: HeldAnswer | undefined;

  /**
   * Makes an execution.
   * @param parts - The daemon's parts.
   * @param options - The request.
   */
  constructor(
    private readonly parts: RequestExecutionParts,
    private readonly options: RequestExecutionOptions,
  ) {
    const { head, route, res, arrivedAt, account } = options;
    this.rank = account?.rank ?? route.rank;
    this.deadlineAt = arrivedAt + waitMsOf(head, route);
    if (route.kind === RouteKind.Streaming)
      this.relay = new StreamRelay(res, head.lastEventId, parts.timers.now);
    const sought: SoughtRequest = {
      ...options,
      rank: this.rank,
      deadlineAt: this.deadlineAt,
      isOver: () => this.isOver,
      isUnderWay: () => this.relay?.hasBegun ?? false,
    };
    this.finder = new ReplicaFinder(parts, sought);
    this.prefillWait = new PrefillWait(parts, sought);
  }

  /** Goes the whole way; the caller has its answer when it ends. */
  async run(): Promise<void> {
    const { res, service } = this.options;
    this.parts.budget(service).countRequest();
    const onClose = (): void => this.leave('The caller left.');
    res.once('close', onClose);
    const timer = this.startTimer();
    try {
      await this.goOn();
    } finally {
      this.permit?.release();
      timer.cancel();
      res.off('close', onClose);
      this.parts.metrics.ended(
        this.options.route.kind,
        this.outcome,
        this.parts.timers.now() - this.options.arrivedAt,
      );
    }
  }

  private startTimer(): TimerHandle {
    const { timers } = this.parts;
    return timers.after(Math.max(0, this.deadlineAt - timers.now()), () => {
      if (this.runs > 0 || this.send !== undefined) this.finish(LocalReply.TimedOut, 'The time is over.');
      else this.finish(LocalReply.NotRun, 'No replica could take it in time.', RETRY_AFTER_MS);
      this.leave('The time is over.');
    });
  }

  private leave(reason: string): void {
    this.isOver = true;
    this.overSignal.abort();
    this.send?.cancel(reason);
  }

  private async goOn(): Promise<void> {
    while (!this.isOver) {
      const { moved } = this;
      const choice = moved?.choice ?? (await this.finder.find());
      if (choice === undefined || this.isOver) break;
      const result = await this.sendInTurn(choice, moved?.continuation);
      if (result !== undefined && !this.mayGoOn(choice, result)) break;
    }
    if (!this.isOver) this.giveUp();
  }

  /** Has the prompt admitted and sends it; undefined when the request is over or its replica can't take it any more. */
  private async sendInTurn(
    choice: Choice,
    continuation: string | undefined,
  ): Promise<AttemptResult | undefined> {
    const { inFlight, chooser, notHeld } = this.parts;
    const { replica } = choice;
    const key = this.useKey();
    // It counts from now on, so that its adapter stays.
    const note = inFlight.begin(replica.id, key);
    try {
      const { isLate } = this.finder;
      const admission = await this.prefillWait.run(replica, key, isLate, this.overSignal.signal);
      if (this.isOver) return undefined;
      if (admission === PrefillAdmission.NotResident) {
        notHeld(replica.id, key!);
        return undefined;
      }
      if (admission === PrefillAdmission.Full) return undefined;
      if (admission === PrefillAdmission.Delayed && !chooser.takesWork(replica)) return undefined;
      // A stream whose memory has been moved can go on nowhere else.
      const isAdmitted = await this.parts.limits.admit(replica.id);
      if (this.isOver || (!isAdmitted && continuation === undefined)) return undefined;
      return await this.sendTo(choice, continuation, note);
    } finally {
      note.ended();
    }
  }

  private async sendTo(
    { replica, heldVersion }: Choice,
    continuation: string | undefined,
    note: RunningNote,
  ): Promise<AttemptResult> {
    const { dialect, pool, timers, health, limits } = this.parts;
    const { head, body, hasAccounts, account } = this.options;
    const headers = dialect.upstreamHeaders(head, {
      waitMs: Math.max(1, Math.floor(this.deadlineAt - timers.now())),
      instance: replica.name,
      version: heldVersion === undefined || heldVersion === 0 ? undefined : heldVersion,
      rank: head.generation === undefined ? undefined : this.rank,
      hasAccounts,
      account: account?.name,
      lastEventId: this.relay?.lastId,
      continuation,
    });
    const call = { method: head.method, path: head.target, headers, body };
    this.sends += 1;
    const sentAt = timers.now();
    this.sentAfter = Math.round(sentAt - this.options.arrivedAt);
    const permit = this.takePermit(sentAt);
    health.sent(replica.id);
    this.send = new Attempt({
      pool,
      dialect,
      timers,
      replica,
      call,
      requestId: head.id,
      relay: this.relay,
      onAnswer: note.answered,
      onHeard: () => {
        permit?.settle();
        health.heard(replica.id);
      },
      onLimit: (limitPerSecond) => limits.noteAnswer(replica.id, limitPerSecond, sentAt),
    });
    const result = await this.resultOf(this.send, replica);
    this.send = undefined;
    if (result.wasSent) {
      this.mayHaveArrived = true;
      permit?.settle();
    } else permit?.release();
    if (!PROVED_NOT_RUN.has(result.end) && result.wasSent) this.mayHaveRun = true;
    health.ended(replica.id);
    this.parts.metrics.sent(result.end);
    if (result.firstByteMs !== undefined && head.generation !== undefined)
      this.parts.admission.noteFirstEvent(replica, {
        tokens: head.generation.promptTokens,
        ms: result.firstByteMs,
      });
    judge(replica, result, health);
    return result;
  }

  /** Takes the permit of a repeat for the send that begins. */
  private takePermit(sentAt: number): RetryPermit | undefined {
    const { permit } = this;
    this.permit = undefined;
    this.reservedAgoMs = permit === undefined ? undefined : Math.round(sentAt - this.reservedAt);
    if (this.reservedAgoMs !== undefined) this.parts.metrics.repeated(this.reservedAgoMs);
    return permit;
  }

  /** Waits for a send; a stream is moved meanwhile if its engine is taken away. */
  private async resultOf(send: Attempt, replica: ReplicaEntry): Promise<AttemptResult> {
    const { migrations } = this.parts;
    const { head, service } = this.options;
    const { generation } = head;
    this.moved = undefined;
    if (generation === undefined || this.relay === undefined) return send.result;
    const stream: EngineStream = { request: head.id, service, rank: this.rank, generation, replica };
    const migration = migrations.enter(stream);
    const result = await send.result;
    this.moved = await migrations.leave(migration, result.end === AttemptOutcome.BrokenStream);
    return result;
  }

  /** One line for each send that did not simply succeed; the others are told as details. */
  private tellSend(
    replica: ReplicaEntry,
    { end, answer, reason, wasSent, firstByteMs }: AttemptResult,
  ): void {
    const { log, budget, fleetShare, inFlight, timers, viewAgeMs } = this.parts;
    const { head, route, service } = this.options;
    const isOrdinary =
      end === AttemptOutcome.Relayed || (answer !== undefined && answer.status < FIRST_FAILURE_STATUS);
    if (isOrdinary && !log.hasDetails) return;
    const write = isOrdinary ? log.detail : log.decide;
    write('request.send', `The send to ${replica.id} ended: ${end}.`, {
      request: head.id,
      route: route.name,
      replica: replica.id,
      outcome: end,
      status: answer?.status,
      reason,
      wasSent,
      send: this.sends,
      sentAfterMs: this.sentAfter,
      loadMs: this.finder.loadMs,
      heldBackMs: this.prefillWait.heldMs,
      longestPauseMs: this.relay === undefined ? undefined : Math.round(this.relay.longestPauseMs),
      firstByteMs: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      lastedMs: Math.round(timers.now() - this.options.arrivedAt) - this.sentAfter,
      running: inFlight.counts(replica.id).running,
      reservedAgoMs: this.reservedAgoMs,
      budgetLeft: Math.floor(budget(service).available()),
      fleetShare: fleetShare(),
      viewAgeMs: viewAgeMs(),
    });
  }

  /** Decides what follows from the end of a send; when nothing does, the caller has been answered. */
  private mayGoOn({ replica }: Choice, result: AttemptResult): boolean {
    this.finder.tried.add(replica.id);
    this.tellSend(replica, result);
    if (this.isOver) return false;
    return decide(this, replica, result);
  }

  /** The replica's whole answer: passed on, unless it is a failure that another replica may better. */
  onAnswered(answer: HeldAnswer): boolean {
    this.runs += 1;
    const { kind, maxAttempts } = this.options.route;
    const isFailure = answer.status >= FIRST_FAILURE_STATUS;
    const canRepeat = kind === RouteKind.Safe && this.runs < maxAttempts && this.timeLeft() > 0;
    if (isFailure && canRepeat && this.reserve()) {
      this.held = answer;
      return true;
    }
    this.deliver(answer);
    return false;
  }

  /** The stream was passed on to its end. */
  onRelayed(): boolean {
    this.relay!.end();
    this.parts.metrics.paused(this.relay!.longestPauseMs);
    this.outcome = 'streamed';
    this.isOver = true;
    return false;
  }

  /** Not run: another replica may take it, unless an earlier send has run that may not be repeated. */
  onNotRun(): boolean {
    this.refusals += 1;
    if (this.runs > 0 && !this.isRepeatable) return false;
    return this.refusals < MAX_REFUSALS && this.mayRepeat();
  }

  /** The replica is gone or lacks the adapter: what was believed of it is corrected, and the choice made again. */
  onMisdirected(replica: ReplicaEntry): boolean {
    const key = this.useKey();
    if (key !== undefined) {
      this.parts.notHeld(replica.id, key);
      this.finder.doubt(replica.id);
    }
    return this.onNotRun();
  }

  /** It may have run: only a safe request goes on. */
  onUnknown(): boolean {
    this.runs += 1;
    return this.isRepeatable && this.runs < this.options.route.maxAttempts && this.mayRepeat();
  }

  /** A stream broke: it goes on where it was moved, or behind the last event where the route allows it. */
  onBrokenStream(): boolean {
    const { isResumable, maxAttempts } = this.options.route;
    if (this.moved !== undefined) {
      // It is the same run that goes on, on any route.
      this.runs = Math.max(1, this.runs);
      return this.mayRepeat();
    }
    this.runs += 1;
    return isResumable && this.runs < maxAttempts && this.mayRepeat();
  }

  private get isRepeatable(): boolean {
    const { kind, isResumable } = this.options.route;
    return kind === RouteKind.Safe || (kind === RouteKind.Streaming && isResumable);
  }

  private mayRepeat(): boolean {
    return this.timeLeft() > 0 && this.reserve();
  }

  /** Reserves the next send in the budget; one that can only be the first to arrive is no repeat. */
  private reserve(): boolean {
    if (!this.mayHaveArrived) return true;
    const { budget, metrics, timers } = this.parts;
    this.permit = budget(this.options.service).reserve();
    metrics.asked(this.permit !== undefined);
    this.reservedAt = timers.now();
    return this.permit !== undefined;
  }

  private timeLeft(): number {
    return this.deadlineAt - this.parts.timers.now();
  }

  private useKey(): string | undefined {
    const { generation } = this.options.head;
    return useKey({ model: generation?.model, adapter: generation?.adapter });
  }

  private giveUp(): void {
    if (this.held !== undefined) this.deliver(this.held);
    else if (this.runs > 0) this.finish(LocalReply.OutcomeUnknown, 'It may have run, and no answer came.');
    else {
      const isGeneration = this.options.head.generation !== undefined;
      // Once more is all that callers try: late is late, and a crowd is gone in some seconds.
      const laterMs = Math.max(GENERATION_RETRY_AFTER_MS, this.timeLeft() * RETRY_AFTER_SHARE);
      const retryAfterMs = isGeneration ? laterMs : RETRY_AFTER_MS;
      this.finish(LocalReply.NotRun, 'No replica can take it now.', retryAfterMs);
    }
  }

  private deliver({ status, headers, body }: HeldAnswer): void {
    const { res } = this.options;
    this.isOver = true;
    this.outcome = `answered ${Math.floor(status / 100)}xx`;
    if (res.headersSent || res.destroyed) return;
    beginAnswer(res, status, headers, body.length);
    res.end(body);
  }

  private finish(kind: LocalReply, reason: string, retryAfterMs?: number): void {
    this.isOver = true;
    this.outcome = kind;
    const { head, route } = this.options;
    this.parts.log.decide('request.ended', `The caller gets: ${kind}. ${reason}`, {
      request: head.id,
      route: route.name,
      routeKind: route.kind,
      outcome: kind,
      sends: this.sends,
      runs: this.runs,
      refusals: this.refusals,
      afterMs: Math.round(this.parts.timers.now() - this.options.arrivedAt),
      limitMs: Math.round(this.deadlineAt - this.options.arrivedAt),
      loadMs: this.finder.loadMs,
      viewAgeMs: this.parts.viewAgeMs(),
    });
    if (this.relay?.hasBegun) this.relay.breakOff();
    else if (this.held !== undefined) this.deliver(this.held);
    else sendLocalReply(this.options.res, kind, reason, { retryAfterMs });
  }
}

/** Notes how a replica has done. */
function judge(replica: ReplicaEntry, result: AttemptResult, health: ReplicaHealth): void {
  const { end, answer, wasSent, firstByteMs } = result;
  if (end === AttemptOutcome.Cancelled || end === AttemptOutcome.Misdirected) return;
  if (end === AttemptOutcome.NotRun && !wasSent) health.unreachable(replica.id);
  else {
    const isFailure = answer !== undefined && answer.status >= FIRST_FAILURE_STATUS;
    const isGood = end === AttemptOutcome.Relayed || (end === AttemptOutcome.Answered && !isFailure);
    health.note(replica.id, isGood, isGood ? firstByteMs : undefined);
  }
}

/** What each end of a send leads to; true when the execution goes on. */
const DECISIONS: Readonly<
  Record<
    AttemptOutcome,
    (execution: RequestExecution, replica: ReplicaEntry, result: AttemptResult) => boolean
  >
> = {
  [AttemptOutcome.Answered]: (execution, _replica, { answer }) => execution.onAnswered(answer!),
  [AttemptOutcome.Relayed]: (execution) => execution.onRelayed(),
  [AttemptOutcome.NotRun]: (execution) => execution.onNotRun(),
  [AttemptOutcome.Misdirected]: (execution, replica) => execution.onMisdirected(replica),
  [AttemptOutcome.Unknown]: (execution) => execution.onUnknown(),
  [AttemptOutcome.BrokenStream]: (execution) => execution.onBrokenStream(),
  [AttemptOutcome.Cancelled]: () => false,
};

function decide(execution: RequestExecution, replica: ReplicaEntry, result: AttemptResult): boolean {
  return DECISIONS[result.end](execution, replica, result);
}
