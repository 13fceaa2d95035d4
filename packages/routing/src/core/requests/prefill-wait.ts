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
   * @param lastCallMs - Time until which the prompt must be sent for the request to be served, in milliseconds.
   * @param signal - Ends the delay early.
   */
  async waitForAdmission(
    replica: ReplicaEntry,
    key: string | undefined,
    lastCallMs: number,
    signal: AbortSignal,
  ): Promise<PrefillAdmission> {
    const { admission, inFlight, timers, metrics } = this.parts;
    const { head, route, rank } = this.request;
    const tokens = head.generation?.promptTokens ?? 0;
    const maxDelayMs = this.maxDelayMs(tokens, lastCallMs);
    if (tokens === 0 || route.maxPauseMs === undefined || maxDelayMs <= 0) return PrefillAdmission.AtOnce;
    const requestedAt = timers.now();
    const prompt = { tokens, maxGapMs: route.maxPauseMs, maxDelayMs };
    const maxInFlight = maxInFlightFor(replica.slots, { rank, isUnderWay: false });
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

  /** Longest delay of the prompt, in milliseconds: its prefill takes time as well. A stream that has begun has none. */
  private maxDelayMs(tokens: number, lastCallMs: number): number {
    const { service, hasResponseBegun } = this.request;
    return hasResponseBegun() ? 0 : lastCallMs - this.parts.admission.prefillMs(service, tokens);
  }
}
