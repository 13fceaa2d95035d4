/** Requests admission of a prompt from the owner of its engine, and delays the prompt as the owner asks. */
import type { TimerService } from '@celeryyoke/core';

import type { InFlightTable } from '../choice/index.js';
import { maxInFlightFor } from '../choice/index.js';
import type { PromptAdmission } from '../pacing/index.js';
import { AdmissionVerdict } from '../pacing/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { RoutedRequest } from './finder.js';
import type { RequestMetrics } from './metrics.js';
import type { WaitTimes } from './wait-times.js';
import { WaitCause } from './wait-times.js';

/**
 * Share of the time left until the objective for which a prompt may be delayed; the rest covers the steps
 * that follow.
 */
const MAX_DELAY_SHARE = 0.9;
/**
 * Share of its remaining time for which a late request may be delayed: how late the response is makes no
 * difference.
 */
const LATE_DELAY_SHARE = 0.1;
/** Longest delay of a late request, in milliseconds. */
const MAX_LATE_DELAY_MS = 1000;

/** Result of a request for admission. */
export enum PrefillAdmission {
  /** The prompt may be sent; it was not delayed. */
  AtOnce = 'at-once',
  /** The prompt may be sent; it was delayed, so the choice of its engine is some time old. */
  Delayed = 'delayed',
  /** Refused: the adapter is not resident on the engine. */
  NotResident = 'not-resident',
  /** Refused: the engine has no free slot for the request. */
  Full = 'full',
}

const REFUSALS = {
  [AdmissionVerdict.NotResident]: PrefillAdmission.NotResident,
  [AdmissionVerdict.Full]: PrefillAdmission.Full,
} as const;

/** Components of the daemon that a wait uses. */
export interface PrefillWaitDependencies {
  readonly admission: PromptAdmission;
  readonly inFlight: InFlightTable;
  readonly timers: TimerService;
  readonly metrics: RequestMetrics;
}

/** Waits for the admission of one request's prompt, at each engine that the request is sent to. */
export class PrefillWait {
  /** Time for which the prompt was delayed at all engines, in milliseconds. */
  totalDelayMs = 0;

  constructor(
    private readonly parts: PrefillWaitDependencies,
    private readonly request: RoutedRequest,
    private readonly waits: Pick<WaitTimes, 'measure'>,
  ) {}

  /**
   * Waits until the prompt may be sent.
   * @param key - `model/adapter`; undefined where the prompt needs no adapter.
   * @param isLate - Whether the response will miss its objective whatever is done.
   * @param signal - Ends the delay early.
   */
  async waitForAdmission(
    replica: ReplicaEntry,
    key: string | undefined,
    isLate: boolean,
    signal: AbortSignal,
  ): Promise<PrefillAdmission> {
    const { admission, inFlight, timers, metrics } = this.parts;
    const { head, route, rank } = this.request;
    const tokens = head.generation?.promptTokens ?? 0;
    const maxDelayMs = this.maxDelayMs(tokens, isLate);
    if (tokens === 0 || route.maxPauseMs === undefined || maxDelayMs <= 0) return PrefillAdmission.AtOnce;
    const requestedAt = timers.now();
    const prompt = { tokens, maxGapMs: route.maxPauseMs, maxDelayMs };
    const maxInFlight = maxInFlightFor(replica.slots, { rank, isLate, isUnderWay: false });
    const admitted = admission.admit(replica.id, key, maxInFlight, prompt);
    const { verdict, delayMs, counts } = await this.waits.measure(WaitCause.Admission, admitted);
    metrics.recordAdmissionWait(timers.now() - requestedAt);
    // After a refusal the next choice is made with the counts that the owner has just reported.
    if (counts !== undefined) inFlight.setPublishedTotal({ replica: replica.id, ...counts });
    if (verdict !== AdmissionVerdict.Admitted) return REFUSALS[verdict];
    if (delayMs <= 0) return PrefillAdmission.AtOnce;
    this.totalDelayMs += Math.round(delayMs);
    metrics.recordPrefillDelay(delayMs);
    const delayed = timers.sleep(delayMs, signal).catch(() => undefined);
    await this.waits.measure(WaitCause.Delay, delayed);
    return PrefillAdmission.Delayed;
  }

  /** Longest delay of the prompt, in milliseconds, so that its first event still meets the objective. */
  private maxDelayMs(tokens: number, isLate: boolean): number {
    const { route, arrivedAt, deadlineAt, service, hasResponseBegun } = this.request;
    const now = this.parts.timers.now();
    // A stream that has begun must not be delayed.
    if (hasResponseBegun()) return 0;
    if (isLate) return Math.min(MAX_LATE_DELAY_MS, (deadlineAt - now) * LATE_DELAY_SHARE);
    const prefillMs = this.parts.admission.prefillMs(service, tokens);
    return (route.objectiveMs - (now - arrivedAt)) * MAX_DELAY_SHARE - prefillMs;
  }
}
