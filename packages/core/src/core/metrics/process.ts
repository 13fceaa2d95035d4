/** What this process costs: processor time, memory and delay of the event loop. */
import { monitorEventLoopDelay } from 'node:perf_hooks';

import type { Metrics } from './types.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const DELAY_RESOLUTION_MS = 20;

function processorSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}

/**
 * Adds processor time and memory of this process to its metrics.
 * @param metrics - The metrics.
 */
export function registerProcessCost(metrics: Metrics): void {
  metrics.sample('process_cpu_seconds_total', 'Processor time used.', processorSeconds, { isCounter: true });
  metrics.sample('process_resident_memory_bytes', 'Resident memory.', () => process.memoryUsage.rss());
}

/**
 * Adds the costs of this process to its metrics, with those that take a measurement.
 * @param metrics - The metrics.
 * @returns Ends the measurement of the event loop.
 */
export function registerProcessMetrics(metrics: Metrics): () => void {
  const delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delay.enable();
  registerProcessCost(metrics);
  metrics.sample('nodejs_heap_used_bytes', 'Heap in use.', () => process.memoryUsage().heapUsed);
  metrics.sample(
    'nodejs_eventloop_delay_p99_ms',
    'Delay of the event loop, 99th percentile since the start.',
    () => delay.percentile(99) / NANOSECONDS_PER_MILLISECOND,
  );
  return () => delay.disable();
}
