/** Holds the prompt of one request back while reading it would stretch the pauses of the streams on its engine. */
import type { TimerService } from '@celeryyoke/core';

import type { PromptPacing } from '../pacing/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { SoughtRequest } from './finder.js';
import type { RequestMetrics } from './metrics.js';

/** Part of the time that is left of the objective for which a prompt may be held back; the rest covers what comes after. */
const PATIENCE_SHARE = 0.9;
/** Part of its time for which the prompt of a late request may be held back: a later answer is as good. */
const LATE_PATIENCE_SHARE = 0.1;
const LATE_PATIENCE_MS = 1000;

/** What a wait uses of the daemon. */
export interface PromptWaitParts {
  readonly pacing: PromptPacing;
  readonly timers: TimerService;
  readonly metrics: RequestMetrics;
}

/** The waits of one request for the turn of its prompt. */
export class PromptWait {
  /** Time for which the prompt was held back, in milliseconds. */
  heldMs = 0;

  /**
   * Makes one that has not waited.
   * @param parts - The daemon's parts.
   * @param sought - The request.
   */
  constructor(
    private readonly parts: PromptWaitParts,
    private readonly sought: SoughtRequest,
  ) {}

  /**
   * Waits until the prompt may go.
   * @param replica - The engine.
   * @param isLate - Whether its answer will be late whatever is done.
   * @param signal - Ends the wait.
   * @returns Whether it was held back.
   */
  async run(replica: ReplicaEntry, isLate: boolean, signal: AbortSignal): Promise<boolean> {
    const { pacing, timers, metrics } = this.parts;
    const { head, route } = this.sought;
    const tokens = head.generation?.promptTokens ?? 0;
    const patienceMs = this.patienceMs(tokens, isLate);
    if (tokens === 0 || route.maxPauseMs === undefined || patienceMs <= 0) return false;
    const turn = { replica: replica.id, tokens, maxPauseMs: route.maxPauseMs, patienceMs };
    const delayMs = await pacing.delayMs(turn);
    if (delayMs <= 0) return false;
    this.heldMs += Math.round(delayMs);
    metrics.heldBack(delayMs);
    await timers.sleep(delayMs, signal).catch(() => undefined);
    return true;
  }

  /** How long the prompt may be held back: its first event stays on time. */
  private patienceMs(tokens: number, isLate: boolean): number {
    const { route, arrivedAt, deadlineAt, service, isUnderWay } = this.sought;
    const now = this.parts.timers.now();
    // A stream that has begun must not pause.
    if (isUnderWay()) return 0;
    if (isLate) return Math.min(LATE_PATIENCE_MS, (deadlineAt - now) * LATE_PATIENCE_SHARE);
    const readingMs = this.parts.pacing.readingMs(service, tokens);
    return (route.objectiveMs - (now - arrivedAt)) * PATIENCE_SHARE - readingMs;
  }
}
