/** The records of keys that a daemon holds, by bucket, bounded in number. */

/** What is known of a key's run. */
export enum RecordState {
  /** The home waits for its backup; nothing has been admitted. */
  Pending = 'pending',
  /** It was admitted; its run may be going on. */
  Admitted = 'admitted',
  Done = 'done',
  Unknown = 'unknown',
  /** It is proved that nothing ran. */
  Free = 'free',
}

/** One key's record. */
export interface KeyRecord {
  readonly key: string;
  readonly fingerprint: string;
  /** When the key was made, by its caller's clock. */
  readonly createdAt: number;
  /** Names the one admission that it was written for. */
  readonly token: string;
  /** Epoch of the term in which it was written. */
  readonly epoch: number;
  /** Order of the home's writes within the term. */
  readonly serial: number;
  readonly state: RecordState;
}

/**
 * Compares the order of two writes.
 * @param left - One record.
 * @param right - The other.
 * @returns Whether the left one was written after the right one.
 */
export function isLater(left: KeyRecord, right: KeyRecord): boolean {
  return left.epoch > right.epoch || (left.epoch === right.epoch && left.serial > right.serial);
}

/** Records by bucket. */
export class RecordStore {
  private readonly byBucket = new Map<number, Map<string, KeyRecord>>();

  private count = 0;

  constructor(private readonly maxRecords: number) {}

  /** Number of records. */
  get size(): number {
    return this.count;
  }

  /** Whether no further record may be added. */
  get isFull(): boolean {
    return this.count >= this.maxRecords;
  }

  /** Finds a record. */
  get(bucket: number, key: string): KeyRecord | undefined {
    return this.byBucket.get(bucket)?.get(key);
  }

  /** Writes a record, over the one of the same key. */
  set(bucket: number, record: KeyRecord): void {
    let records = this.byBucket.get(bucket);
    if (records === undefined) {
      records = new Map();
      this.byBucket.set(bucket, records);
    }
    if (!records.has(record.key)) this.count += 1;
    records.set(record.key, record);
  }

  /** Writes a record unless a later one is there. */
  merge(bucket: number, record: KeyRecord): void {
    const known = this.get(bucket, record.key);
    if (known === undefined || isLater(record, known)) this.set(bucket, record);
  }

  /** Lists the records of a bucket. */
  list(bucket: number): KeyRecord[] {
    return [...(this.byBucket.get(bucket)?.values() ?? [])];
  }

  /** Forgets a bucket. */
  drop(bucket: number): void {
    this.count -= this.byBucket.get(bucket)?.size ?? 0;
    this.byBucket.delete(bucket);
  }

  /** Forgets the records of keys made before a time. */
  purge(before: number): void {
    for (const [bucket, records] of this.byBucket) {
      for (const record of records.values()) {
        if (record.createdAt >= before) continue;
        records.delete(record.key);
        this.count -= 1;
      }
      if (records.size === 0) this.byBucket.delete(bucket);
    }
  }
}
