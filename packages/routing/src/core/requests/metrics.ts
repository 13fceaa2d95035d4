/** Counters and histograms of the requests' ways. */
import type { Counter, Histogram, Metrics } from '@celeryyoke/core';

import type { RouteKind } from '../catalog/index.js';
import type { AttemptOutcome } from './types.js';

/** The requests' figures. */
export class RequestMetrics {
  private readonly requests = new Map<string, Counter>();

  private readonly sends = new Map<string, Counter>();

  private readonly times = new Map<string, Histogram>();

  private readonly repeats = new Map<boolean, Counter>();

  private readonly repeatWait: Histogram;

  private readonly loadWait: Histogram;

  private readonly promptWait: Histogram;

  private readonly admissionWait: Histogram;

  private readonly streamPause: Histogram;

  /**
   * Registers the figures.
   * @param metrics - Where they are kept.
   */
  constructor(private readonly metrics: Metrics) {
    this.repeatWait = metrics.histogram(
      'router_repeat_wait_ms',
      'Time from the reservation of a repeat to its send.',
    );
    this.loadWait = metrics.histogram('router_adapter_wait_ms', 'Wait of a request for its adapter.');
    this.promptWait = metrics.histogram(
      'router_prompt_wait_ms',
      'Time for which a prompt was held back so that the streams beside it keep their pauses.',
    );
    this.admissionWait = metrics.histogram(
      'router_admission_ms',
      'Time until the owner of an engine answered whether a prompt is admitted.',
    );
    this.streamPause = metrics.histogram(
      'router_stream_pause_ms',
      'Longest pause between events of a stream.',
    );
  }

  /**
   * Notes the end of a request.
   * @param kind - Kind of its route.
   * @param outcome - What the caller got: an answer of a replica, a stream to its end, or one of the system's own.
   * @param ms - Time from its arrival, in milliseconds.
   */
  ended(kind: RouteKind, outcome: string, ms: number): void {
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
    let time = this.times.get(kind);
    if (time === undefined) {
      time = this.metrics.histogram('router_request_ms', 'Time from arrival to the end.', { kind });
      this.times.set(kind, time);
    }
    time.record(ms);
  }

  /**
   * Notes the end of a send.
   * @param end - How it ended.
   */
  sent(end: AttemptOutcome): void {
    let counter = this.sends.get(end);
    if (counter === undefined) {
      counter = this.metrics.counter('router_sends_total', 'Sends to replicas by their end.', { end });
      this.sends.set(end, counter);
    }
    counter.add();
  }

  /**
   * Notes that a repeat was asked of the budget.
   * @param isAllowed - Whether the budget allowed it.
   */
  asked(isAllowed: boolean): void {
    let counter = this.repeats.get(isAllowed);
    if (counter === undefined) {
      const labels = { outcome: isAllowed ? 'reserved' : 'refused' };
      counter = this.metrics.counter('router_repeats_total', 'Repeats asked of the budget.', labels);
      this.repeats.set(isAllowed, counter);
    }
    counter.add();
  }

  /**
   * Notes that a repeat is sent.
   * @param ms - Time since it was reserved, in milliseconds.
   */
  repeated(ms: number): void {
    this.repeatWait.record(ms);
  }

  /**
   * Notes the answer of an engine's owner.
   * @param ms - Time until it came, in milliseconds.
   */
  admitted(ms: number): void {
    this.admissionWait.record(ms);
  }

  /**
   * Notes that a prompt was held back.
   * @param ms - Milliseconds.
   */
  heldBack(ms: number): void {
    this.promptWait.record(ms);
  }

  /**
   * Notes a stream that came to its end.
   * @param ms - Its longest pause, in milliseconds.
   */
  paused(ms: number): void {
    this.streamPause.record(ms);
  }

  /**
   * Notes a wait for an adapter.
   * @param ms - Milliseconds.
   */
  waited(ms: number): void {
    this.loadWait.record(ms);
  }
}
