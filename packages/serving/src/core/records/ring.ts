/** Keeps the records of the newest requests in a bounded ring. */
import type { RequestLog, RequestRecord } from './types.js';

class RingLog implements RequestLog {
  /** A map keeps the order of insertion, so its first key is the oldest record. */
  private readonly records = new Map<string, RequestRecord>();

  constructor(private readonly capacity: number) {}

  open(record: RequestRecord): void {
    this.records.set(record.id, record);
    if (this.records.size <= this.capacity) return;
    const oldest = this.records.keys().next();
    if (!oldest.done) this.records.delete(oldest.value);
  }

  find(id: string): RequestRecord | undefined {
    return this.records.get(id);
  }

  recent(count: number): readonly RequestRecord[] {
    return [...this.records.values()].slice(-count).reverse();
  }
}

/**
 * Makes an empty ring.
 * @param capacity - Most records that are kept.
 * @returns The ring.
 */
export function createRequestLog(capacity: number): RequestLog {
  return new RingLog(capacity);
}
