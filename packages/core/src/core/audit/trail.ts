/** Keeps the newest changes in a bounded ring and passes each on to subscribers. */
import type { TimerService } from '../time/index.js';
import type { AuditChange, AuditRecord, AuditTrail } from './types.js';

const DEFAULT_CAPACITY = 4096;

/** Options of the audit trail. */
export interface AuditOptions {
  /** The daemon that reports. */
  readonly daemon: string;
  /** Gives the time of a record. */
  readonly timers: TimerService;
  /** How many records are kept; 4,096 when left out. */
  readonly capacity?: number;
}

class RingTrail implements AuditTrail {
  private readonly records: AuditRecord[] = [];

  private readonly listeners = new Set<(record: AuditRecord) => void>();

  private seq = 0;

  constructor(private readonly options: AuditOptions) {}

  record(change: AuditChange): void {
    const { daemon, timers, capacity = DEFAULT_CAPACITY } = this.options;
    this.seq += 1;
    const record = { seq: this.seq, time: new Date(timers.wall()).toISOString(), daemon, ...change };
    this.records.push(record);
    if (this.records.length > capacity) this.records.shift();
    for (const listener of this.listeners) listener(record);
  }

  read(afterSeq = 0): readonly AuditRecord[] {
    return this.records.filter((record) => record.seq > afterSeq);
  }

  subscribe(listener: (record: AuditRecord) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

/**
 * Makes an empty trail.
 * @param options - Daemon, time and size.
 * @returns The trail.
 */
export function createAuditTrail(options: AuditOptions): AuditTrail {
  return new RingTrail(options);
}
