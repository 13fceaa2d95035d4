/** Metrics of the callers' server. */
import type { Metrics } from '@celeryyoke/core';

import type { RequestRecord } from '../records/index.js';

/** What the server counts. */
export interface ServerMetrics {
  /** Notes the end of a request. */
  ended(route: string, record: RequestRecord): void;
  /** Sets how many requests are in progress. */
  inFlight(count: number): void;
  /** Counts a request that was turned away because of overload. */
  shed(): void;
}

/**
 * Makes the server's metrics.
 * @param metrics - Where they are kept.
 * @returns What the server calls.
 */
export function createServerMetrics(metrics: Metrics): ServerMetrics {
  const running = metrics.gauge('celeryyoke_requests_in_flight', 'Requests in progress.');
  const events = metrics.counter('celeryyoke_stream_events_total', 'Data events sent to callers.');
  const attempts = metrics.counter('celeryyoke_request_retries_total', 'Tries beyond the first.');
  const firstByte = metrics.histogram(
    'celeryyoke_first_byte_ms',
    'Time from arrival to the first byte of the body.',
  );
  const shed = metrics.counter('celeryyoke_requests_shed_total', 'Requests turned away because of overload.');
  const queueWait = metrics.histogram('celeryyoke_queue_wait_ms', 'Time that requests waited for a place.');
  const loadWait = metrics.histogram('celeryyoke_load_wait_ms', 'Time that requests waited for a load.');
  return {
    ended(route, record) {
      const labels = { route, code: String(record.code ?? 0) };
      metrics.counter('celeryyoke_requests_total', 'Requests by route and result code.', labels).add();
      events.add(record.events);
      if (record.attempts.length > 1) attempts.add(record.attempts.length - 1);
      if (record.firstByteMs !== undefined) firstByte.record(record.firstByteMs);
      if (record.attempts.length > 0) {
        loadWait.record(record.attempts.reduce((sum, attempt) => sum + attempt.loadWaitMs, 0));
        queueWait.record(record.attempts.reduce((sum, attempt) => sum + attempt.queueWaitMs, 0));
      }
    },
    inFlight(count) {
      running.set(count);
    },
    shed() {
      shed.add();
    },
  };
}
