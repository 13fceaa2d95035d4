/** Counters and histograms of requests and of the attempts that serve them. */
import type { Counter, Histogram, Metrics } from '@celeryyoke/core';

import type { RouteKind } from '../catalog/index.js';
import type { AttemptOutcome } from './types.js';

/**
 * Registers and updates the metrics of requests. Counters with labels are registered when they are first
 * used.
 */
export class RequestMetrics {
  private readonly requests = new Map<string, Counter>();

  private readonly attempts = new Map<string, Counter>();

  private readonly durations = new Map<string, Histogram>();

  private readonly retryDecisions = new Map<boolean, Counter>();

  private readonly retryDelay: Histogram;

  private readonly loadWait: Histogram;

  private readonly prefillDelay: Histogram;

  private readonly admissionWait: Histogram;

  private readonly streamGap: Histogram;

  constructor(private readonly metrics: Metrics) {
    this.retryDelay = metrics.histogram(
      'router_repeat_wait_ms',
      'Time from the reservation of a repeat to its send.',
    );
    this.loadWait = metrics.histogram('router_adapter_wait_ms', 'Wait of a request for its adapter.');
    this.prefillDelay = metrics.histogram(
      'router_prompt_wait_ms',
      'Time for which a prompt was held back so that the streams beside it keep their pauses.',
    );
    this.admissionWait = metrics.histogram(
      'router_admission_ms',
      'Time until the owner of an engine answered whether a prompt is admitted.',
    );
    this.streamGap = metrics.histogram('router_stream_pause_ms', 'Longest pause between events of a stream.');
  }

  /**
   * Counts a request that has ended.
   * @param kind - Kind of its route.
   * @param outcome - What the caller received: the response of a replica, a whole stream, or a local reply.
   * @param ms - Time since the arrival, in milliseconds.
   */
  recordRequest(kind: RouteKind, outcome: string, ms: number): void {
    const key = `${kind} ${outcome}`;
    let counter = this.requests.get(key);
    if (counter === undefined) {
      counter = this.metrics.counter('router_requests_total', 'Requests by kind and outcome.', {
        kind,
        outcome,
      });
      this.requests.set(key, counter);
    }
    counter.add();
    let duration = this.durations.get(kind);
    if (duration === undefined) {
      duration = this.metrics.histogram('router_request_ms', 'Time from arrival to the end.', { kind });
      this.durations.set(kind, duration);
    }
    duration.record(ms);
  }

  /** Counts an attempt that has ended. */
  recordAttempt(outcome: AttemptOutcome): void {
    let counter = this.attempts.get(outcome);
    if (counter === undefined) {
      counter = this.metrics.counter('router_sends_total', 'Sends to replicas by their end.', {
        end: outcome,
      });
      this.attempts.set(outcome, counter);
    }
    counter.add();
  }

  /**
   * Counts a retry that was requested from the budget.
   * @param isAllowed - Whether the budget allowed it.
   */
  recordRetryDecision(isAllowed: boolean): void {
    let counter = this.retryDecisions.get(isAllowed);
    if (counter === undefined) {
      const labels = { outcome: isAllowed ? 'reserved' : 'refused' };
      counter = this.metrics.counter('router_repeats_total', 'Repeats asked of the budget.', labels);
      this.retryDecisions.set(isAllowed, counter);
    }
    counter.add();
  }

  /** Records the time from the reservation of a retry until it was sent, in milliseconds. */
  recordRetryDelay(ms: number): void {
    this.retryDelay.record(ms);
  }

  /** Records the time until the owner of an engine responded to a request for admission, in milliseconds. */
  recordAdmissionWait(ms: number): void {
    this.admissionWait.record(ms);
  }

  /** Records the time for which a prompt was held back, in milliseconds. */
  recordPrefillDelay(ms: number): void {
    this.prefillDelay.record(ms);
  }

  /** Records the longest gap between events of a stream that has ended, in milliseconds. */
  recordStreamGap(ms: number): void {
    this.streamGap.record(ms);
  }

  /** Records the wait of a request for its adapter, in milliseconds. */
  recordLoadWait(ms: number): void {
    this.loadWait.record(ms);
  }
}
