/** The fleet's ledger of keys, as one daemon's callers see it. */
import type { Histogram } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import { v4 as makeToken } from 'uuid';
import { z } from 'zod';

import { KeyKeeper } from './home.js';
import { readKeyTime } from './identity.js';
import { RecordState, RecordStore } from './records.js';
import type { KeyAdmission, KeyLedger, KeyLedgerOptions } from './types.js';
import { KeyOutcome } from './types.js';
import type { AdmitAnswer, AdmitMessage } from './wire.js';
import { ADMIT, KeyVerdict, recordSchema, SETTLE, WRITE } from './wire.js';

const DEFAULT_RETENTION_MS = 900_000;
const DEFAULT_CLOCK_BOUND_MS = 2000;
const DEFAULT_MAX_RECORDS = 100_000;
const DEFAULT_CALL_TIMEOUT_MS = 500;
const PURGE_INTERVAL_MS = 10_000;
const RECORDS_PER_PART = 500;
const MAX_HOPS = 3;
const RETRY_AFTER_SECONDS = 1;

type Refusal = () => CeleryyokeError;

const REFUSALS: Readonly<Record<Exclude<KeyVerdict, KeyVerdict.Admitted>, Refusal>> = {
  [KeyVerdict.NotHome]: () => unproved(),
  [KeyVerdict.Unproved]: () => unproved(),
  [KeyVerdict.Running]: () => new CeleryyokeError('KeyAlreadyRan', { state: 'running' }),
  [KeyVerdict.Done]: () => new CeleryyokeError('KeyAlreadyRan', { state: 'done' }),
  [KeyVerdict.OutcomeUnknown]: () => new CeleryyokeError('KeyOutcomeUnknown'),
  [KeyVerdict.Reused]: () => new CeleryyokeError('KeyReused'),
  [KeyVerdict.Expired]: () => new CeleryyokeError('KeyExpired'),
  [KeyVerdict.FromFuture]: () => new CeleryyokeError('KeyFromFuture'),
  [KeyVerdict.Full]: () => new CeleryyokeError('Overloaded', {}, { retryAfter: RETRY_AFTER_SECONDS }),
};

function unproved(cause?: unknown): CeleryyokeError {
  return new CeleryyokeError('KeyUnproved', {}, { cause, retryAfter: RETRY_AFTER_SECONDS });
}

/** The ledger: it finds the home of each key and asks it. */
class PairLedger implements KeyLedger {
  private readonly store: RecordStore;

  private readonly keeper: KeyKeeper;

  private readonly callTimeoutMs: number;

  private readonly purgeTimer: { cancel(): void };

  private readonly admitTime: Histogram | undefined;

  constructor(private readonly options: KeyLedgerOptions) {
    const { bus, custody, timers } = options;
    const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
    const clockBoundMs = options.clockBoundMs ?? DEFAULT_CLOCK_BOUND_MS;
    this.callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.store = new RecordStore(options.maxRecords ?? DEFAULT_MAX_RECORDS);
    const bounds = { retentionMs, clockBoundMs, callTimeoutMs: this.callTimeoutMs };
    this.keeper = new KeyKeeper(options, bounds, this.store);
    this.admitTime = options.metrics?.histogram(
      'celeryyoke_key_admit_ms',
      'Time to admit an idempotency key.',
    );
    bus.handle(ADMIT, (want) => this.keeper.admit(want));
    bus.handle(SETTLE, (message) => this.keeper.settle(message));
    bus.handle(WRITE, async (message) => this.keeper.write(message));
    custody.setCargo({
      pack: (bucket) => this.pack(bucket),
      unpack: (bucket, part) => this.unpack(bucket, part),
      drop: (bucket) => this.store.drop(bucket),
    });
    this.purgeTimer = timers.repeat(PURGE_INTERVAL_MS, () => {
      this.store.purge(timers.wall() - retentionMs - clockBoundMs);
    });
  }

  async admit(key: string, fingerprint: string, signal: AbortSignal): Promise<KeyAdmission> {
    const createdAt = readKeyTime(key);
    const { timers, custody } = this.options;
    const begun = timers.now();
    const bucket = custody.bucketOf(key);
    const want: AdmitMessage = { bucket, key, fingerprint, createdAt, token: makeToken() };
    const verdict = await this.ask(want, signal);
    this.admitTime?.record(timers.now() - begun);
    if (verdict !== KeyVerdict.Admitted) throw REFUSALS[verdict]();
    return { settle: (outcome) => this.settle(want, outcome) };
  }

  size(): number {
    return this.store.size;
  }

  stop(): void {
    this.purgeTimer.cancel();
  }

  private async ask(want: AdmitMessage, signal: AbortSignal): Promise<KeyVerdict> {
    const { custody } = this.options;
    const asked = new Set<string>();
    let home = custody.likelyHome(want.bucket);
    while (home !== undefined && !asked.has(home) && asked.size < MAX_HOPS) {
      asked.add(home);
      const answer = await this.askHome(home, want, signal);
      if (answer.verdict !== KeyVerdict.NotHome) return answer.verdict;
      home = answer.home;
      if (home !== undefined) custody.recordHomeHint(want.bucket, home);
    }
    return KeyVerdict.NotHome;
  }

  private async askHome(home: string, want: AdmitMessage, signal: AbortSignal): Promise<AdmitAnswer> {
    const { bus } = this.options;
    try {
      return await bus.call(home, ADMIT, want, { timeoutMs: this.callTimeoutMs, signal });
    } catch (err) {
      // The home may have admitted it and its answer be lost; nothing runs here, so the record may be freed.
      void this.settle(want, KeyOutcome.NotRun);
      throw unproved(err);
    }
  }

  private async settle({ bucket, key, token }: AdmitMessage, outcome: KeyOutcome): Promise<void> {
    const { bus, custody } = this.options;
    const home = custody.likelyHome(bucket);
    if (home === undefined) return;
    try {
      await bus.call(home, SETTLE, { bucket, key, token, outcome }, { timeoutMs: this.callTimeoutMs });
    } catch {
      // A report that is lost leaves the key refused, which is safe.
    }
  }

  private pack(bucket: number): readonly unknown[] {
    // A pending record is never admitted once its term has ended, so that nothing is lost by leaving it out.
    const records = this.store.list(bucket).filter((record) => record.state !== RecordState.Pending);
    const parts: unknown[] = [];
    for (let from = 0; from === 0 || from < records.length; from += RECORDS_PER_PART) {
      parts.push(records.slice(from, from + RECORDS_PER_PART));
    }
    return parts;
  }

  private unpack(bucket: number, part: unknown): void {
    for (const record of z.array(recordSchema).parse(part)) this.store.merge(bucket, record);
  }
}

/**
 * Makes the ledger of keys of one daemon.
 * @param options - Bus, custody, time and bounds.
 * @returns The ledger.
 */
export function createKeyLedger(options: KeyLedgerOptions): KeyLedger {
  return new PairLedger(options);
}
