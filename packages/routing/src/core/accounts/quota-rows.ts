/**
 * Rows of shared state in which the owner of an account publishes the state of its bucket, and the table in
 * which every daemon stores the latest row of each account.
 */

/** State of one bucket. */
export interface QuotaRow {
  readonly account: string;
  /** Address of the daemon that owns the bucket. */
  readonly owner: string;
  /** Increases with each row of the account, whichever daemon publishes it. */
  readonly sequence: number;
  /** Level of the bucket, in units. */
  readonly level: number;
  /** Units charged to this bucket since it was created. */
  readonly charged: number;
  /** Whether each request must be charged at the owner before it is sent. */
  readonly isGuarded: boolean;
}

/** Encoded form of a row between daemons. */
export type QuotaRowFrame = readonly [
  account: string,
  owner: string,
  sequence: number,
  level: number,
  charged: number,
  isGuarded: boolean,
];

/**
 * Time after which a row expires, in milliseconds; owners republish the rows of guarded accounts more often.
 */
const ROW_LIFETIME_MS = 3000;

/** Encodes a row; level and charged units are rounded. */
export function encodeQuotaRow({
  account,
  owner,
  sequence,
  level,
  charged,
  isGuarded,
}: QuotaRow): QuotaRowFrame {
  return [account, owner, sequence, Math.round(level), Math.round(charged), isGuarded];
}

/** Decodes a row; the frame's types are not checked. */
export function decodeQuotaRow(frame: unknown): QuotaRow {
  const [account, owner, sequence, level, charged, isGuarded] = frame as QuotaRowFrame;
  return { account, owner, sequence, level, charged, isGuarded };
}

/** A row and the time at which this daemon received it. */
export interface ReceivedQuotaRow {
  readonly row: QuotaRow;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** The latest row of each account, by sequence. All times are monotonic milliseconds. */
export class QuotaTable {
  private readonly rows = new Map<string, ReceivedQuotaRow>();

  /** Stores a row unless a later one of the account is known; returns whether it was stored. */
  merge(row: QuotaRow, now: number): boolean {
    const known = this.rows.get(row.account);
    if (known !== undefined && known.row.sequence >= row.sequence) return false;
    this.rows.set(row.account, { row, receivedAt: now });
    return true;
  }

  /** Latest row of an account, even if it has expired. */
  get(account: string): ReceivedQuotaRow | undefined {
    return this.rows.get(account);
  }

  /** Whether an account is known to be guarded; false if its latest row has expired. */
  isGuarded(account: string, now: number): boolean {
    const received = this.rows.get(account);
    return received !== undefined && received.row.isGuarded && now - received.receivedAt < ROW_LIFETIME_MS;
  }

  /** Rows that have not expired. */
  currentRows(now: number): QuotaRow[] {
    return [...this.rows.values()]
      .filter(({ receivedAt }) => now - receivedAt < ROW_LIFETIME_MS)
      .map(({ row }) => row);
  }

  /**
   * Removes the rows that were received long ago.
   * @param ageMs - Minimum age of the rows to remove, in milliseconds.
   * @param now - Monotonic milliseconds.
   */
  removeOlderThan(ageMs: number, now: number): void {
    for (const [account, { receivedAt }] of this.rows)
      if (now - receivedAt >= ageMs) this.rows.delete(account);
  }
}
