/** What an engine sends, checked before anything acts on it. */
import { z } from 'zod';

import type { CacheEvent, EngineReport } from './types.js';

const count = z.number().int().nonnegative();

const reportSchema = z.object({
  incarnation: z.string().min(1),
  ageMs: z.number().nonnegative(),
  running: count,
  waiting: count,
  slots: z.array(z.object({ key: z.string(), state: z.enum(['loading', 'ready']), running: count })),
  fencing: count,
  role: z.string(),
  batchFill: z.number().min(0).max(1),
}) satisfies z.ZodType<EngineReport>;

const cacheEventsSchema = z.object({
  events: z.array(z.object({ seq: count, kind: z.enum(['stored', 'removed']), prefix: z.string() })),
});

/**
 * Reads a report.
 * @param text - JSON text.
 * @returns The report.
 */
export function parseReport(text: string): EngineReport {
  return reportSchema.parse(JSON.parse(text));
}

/**
 * Reads cache events.
 * @param text - JSON text.
 * @returns The events, in the order of their numbers.
 */
export function parseCacheEvents(text: string): readonly CacheEvent[] {
  const { events } = cacheEventsSchema.parse(JSON.parse(text));
  return events.sort((left, right) => left.seq - right.seq);
}
