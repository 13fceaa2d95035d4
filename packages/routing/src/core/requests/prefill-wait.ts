/** Has the prompt of one request admitted to its engine, and holds it back as long as the owner asks. */
import type { TimerService } from '@celeryyoke/core';

import type { InFlightTable } from '../choice/index.js';
import { placesFor } from '../choice/index.js';
import type { PromptAdmission } from '../pacing/index.js';
import { Verdict } from '../pacing/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { SoughtRequest } from './finder.js';
import type { RequestMetrics } from './metrics.js';

/** Part of the time that is left of the objective for which a prompt may be held back; the rest covers what comes after. */
const PATIENCE_SHARE = 0.9;
/** Part of its time for which the prompt of a late request may be held back: a later answer is as good. */
const LATE_PATIENCE_SHARE = 0.1;
const LATE_PATIENCE_MS = 1000;

/** Result of a wait. */
export enum PrefillAdmission {
  /** The prompt goes without having waited. */
  AtOnce = 'at-once',
  /** It goes, some time after its engine was chosen. */
  Delayed = 'delayed',
  /** The owner of the engine says that the adapter is not resident. */
  NotResident = 'not-resident',
  /** The owner says that the engine has no place. */
  Full = 'full',
}

const REFUSALS = {
  [Verdict.NotResident]: PrefillAdmission.NotResident,
  [Verdict.Full]: PrefillAdmission.Full,
} as const;

/** What a wait uses of the daemon. */
export interface PrefillWaitParts {
  readonly admission: PromptAdmission;
  readonly inFlight: InFlightTable;
  readonly timers: TimerService;
  readonly metrics: RequestMetrics;
}

/** The waits of one request for the admission of its prompt. */
export class PrefillWait {
  /** Time for which the prompt was held back, in milliseconds. */
  heldMs = 0;

  /**
   * Makes one that has not waited.
   * @param parts - The daemon's parts.
   * @param sought - The request.
   */
  constructor(
    private readonly parts: PrefillWaitParts,
    private readonly sought: SoughtRequest,
  ) {}

  /**
   * Waits until the prompt may go.
   * @param replica - The engine.
   * @param key - `model/adapter`, where the prompt needs an adapter.
   * @param isLate - Whether its answer will be late whatever is done.
   * @param signal - Ends the wait.
   * @returns Whether and how the prompt may go.
   */
  async run(
    replica: ReplicaEntry,
    key: string | undefined,
    isLate: boolean,
    signal: AbortSignal,
  ): Promise<PrefillAdmission> {
    const { admission, inFlight, timers, metrics } = this.parts;
    const { head, route, rank } = this.sought;
    const tokens = head.generation?.promptTokens ?? 0;
    const patienceMs = this.patienceMs(tokens, isLate);
    if (tokens === 0 || route.maxPauseMs === undefined || patienceMs <= 0) return PrefillAdmission.AtOnce;
    const askedAt = timers.now();
    const prompt = { tokens, maxPauseMs: route.maxPauseMs, patienceMs };
    const places = placesFor(replica.slots, { rank, isLate, isUnderWay: false });
    const { verdict, delayMs, counts } = await admission.admit(replica.id, key, places, prompt);
    metrics.admitted(timers.now() - askedAt);
    // The choice that follows a refusal goes by what the owner has just said.
    if (counts !== undefined) inFlight.takeTotal({ replica: replica.id, ...counts });
    if (verdict !== Verdict.Admitted) return REFUSALS[verdict];
    if (delayMs <= 0) return PrefillAdmission.AtOnce;
    this.heldMs += Math.round(delayMs);
    metrics.heldBack(delayMs);
    await timers.sleep(delayMs, signal).catch(() => undefined);
    return PrefillAdmission.Delayed;
  }

  /** How long the prompt may be held back: its first event stays on time. */
  private patienceMs(tokens: number, isLate: boolean): number {
    const { route, arrivedAt, deadlineAt, service, isUnderWay } = this.sought;
    const now = this.parts.timers.now();
    // A stream that has begun must not pause.
    if (isUnderWay()) return 0;
    if (isLate) return Math.min(LATE_PATIENCE_MS, (deadlineAt - now) * LATE_PATIENCE_SHARE);
    const readingMs = this.parts.admission.readingMs(service, tokens);
    return (route.objectiveMs - (now - arrivedAt)) * PATIENCE_SHARE - readingMs;
  }
}
