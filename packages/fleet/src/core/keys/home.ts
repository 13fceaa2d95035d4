/** The home's and the backup's side of the ledger: one writes, the other holds a copy before anything runs. */
import type { CustodyTerm } from '../custody/index.js';
import { isSameTerm } from '../custody/index.js';
import type { KeyRecord, RecordStore } from './records.js';
import { isLater, RecordState } from './records.js';
import type { KeyLedgerOptions } from './types.js';
import { KeyOutcome } from './types.js';
import type { AdmitAnswer, AdmitMessage, SettleMessage, WriteMessage } from './wire.js';
import { KeyVerdict, WRITE } from './wire.js';

const VERDICT_OF_STATE: Readonly<Record<RecordState, KeyVerdict>> = {
  [RecordState.Pending]: KeyVerdict.Unproved,
  [RecordState.Admitted]: KeyVerdict.Running,
  [RecordState.Done]: KeyVerdict.Done,
  [RecordState.Unknown]: KeyVerdict.OutcomeUnknown,
  [RecordState.Free]: KeyVerdict.Unproved,
};

const STATE_OF_OUTCOME: Readonly<Record<KeyOutcome, RecordState>> = {
  [KeyOutcome.NotRun]: RecordState.Free,
  [KeyOutcome.Done]: RecordState.Done,
  [KeyOutcome.Unknown]: RecordState.Unknown,
};

/** Bounds by which a home judges keys. */
export interface KeyBounds {
  readonly retentionMs: number;
  readonly clockBoundMs: number;
  readonly callTimeoutMs: number;
}

function judgeKnown(known: KeyRecord, want: AdmitMessage): KeyVerdict | undefined {
  if (known.fingerprint !== want.fingerprint) return KeyVerdict.Reused;
  if (known.state === RecordState.Free && known.token !== want.token) return undefined;
  if (known.state === RecordState.Admitted && known.token === want.token) return KeyVerdict.Admitted;
  return VERDICT_OF_STATE[known.state];
}

/** Serves the keys of the buckets that this daemon keeps. */
export class KeyKeeper {
  private serial = 0;

  constructor(
    private readonly options: KeyLedgerOptions,
    private readonly bounds: KeyBounds,
    private readonly store: RecordStore,
  ) {}

  /** Admits a key, as its home. */
  async admit(want: AdmitMessage): Promise<AdmitAnswer> {
    const { bucket } = want;
    const { custody } = this.options;
    const term = custody.homeTerm(bucket);
    if (term === undefined) return { verdict: KeyVerdict.NotHome, home: custody.likelyHome(bucket) };
    const refusal = this.judge(term, want);
    if (refusal !== undefined) return { verdict: refusal };
    this.serial += 1;
    const { key, fingerprint, createdAt, token } = want;
    const { epoch } = term;
    const pending: KeyRecord = {
      key,
      fingerprint,
      createdAt,
      token,
      epoch,
      serial: this.serial,
      state: RecordState.Pending,
    };
    this.store.set(bucket, pending);
    const admitted = { ...pending, state: RecordState.Admitted };
    const isCopied = await this.copy(term, admitted);
    // The term may have been handed over, or the right to act on it lost, while the backup answered.
    if (!isCopied || !isSameTerm(custody.homeTerm(bucket), term)) {
      this.replace(bucket, pending, RecordState.Free);
      return { verdict: KeyVerdict.Unproved };
    }
    if (!this.replace(bucket, pending, RecordState.Admitted)) return { verdict: KeyVerdict.Unproved };
    return { verdict: KeyVerdict.Admitted };
  }

  /** Takes in how a run ended, as the key's home. */
  async settle({ bucket, key, token, outcome }: SettleMessage): Promise<boolean> {
    const term = this.options.custody.homeTerm(bucket);
    if (term === undefined) return false;
    const known = this.store.get(bucket, key);
    if (known === undefined || known.token !== token || known.state === RecordState.Pending) return true;
    const settled = { ...known, state: STATE_OF_OUTCOME[outcome] };
    this.store.set(bucket, settled);
    await this.copy(term, settled);
    return true;
  }

  /** Holds a copy of the home's record, as its backup. */
  write({ term, record }: WriteMessage): boolean {
    const { bucket } = term;
    const { custody } = this.options;
    if (!isSameTerm(custody.heldTerm(bucket), term)) return false;
    const known = this.store.get(bucket, record.key);
    if (known === undefined && this.store.isFull) return false;
    if (known !== undefined && isLater(known, record)) return false;
    // A duplicate of the first write that comes late must not undo how the run was settled.
    const isEcho = known !== undefined && !isLater(record, known) && record.state === RecordState.Admitted;
    if (!isEcho) this.store.set(bucket, record);
    return true;
  }

  private judge(term: CustodyTerm, want: AdmitMessage): KeyVerdict | undefined {
    const { retentionMs, clockBoundMs } = this.bounds;
    const now = this.options.timers.wall();
    if (want.createdAt < now - retentionMs) return KeyVerdict.Expired;
    if (want.createdAt > now + clockBoundMs) return KeyVerdict.FromFuture;
    const known = this.store.get(want.bucket, want.key);
    if (known !== undefined) return judgeKnown(known, want);
    if (want.createdAt - clockBoundMs <= term.knownSince) return KeyVerdict.OutcomeUnknown;
    return this.store.isFull ? KeyVerdict.Full : undefined;
  }

  private replace(bucket: number, record: KeyRecord, state: RecordState): boolean {
    if (this.store.get(bucket, record.key) !== record) return false;
    this.store.set(bucket, { ...record, state });
    return true;
  }

  private async copy(term: CustodyTerm, record: KeyRecord): Promise<boolean> {
    const { bus } = this.options;
    const { callTimeoutMs: timeoutMs } = this.bounds;
    try {
      return await bus.call(term.backup.name, WRITE, { term, record }, { timeoutMs });
    } catch {
      return false;
    }
  }
}
