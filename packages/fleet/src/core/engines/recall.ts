/** Recalls slot leases: asks their holders to end them if no request runs under them. */
import type { LeaseRecallResponse, LeaseTimes } from '../leases/index.js';
import { LEASE_RECALL } from '../leases/index.js';
import type { PeerBus } from '../peers/index.js';
import type { LeaseLedger, LedgerEntry } from './ledger.js';

export interface RecallOptions {
  readonly bus: PeerBus;
  readonly engine: string;
  readonly ledger: LeaseLedger;
  readonly times: LeaseTimes;
  readonly now: () => number;
  /** Whether the holder must stop starting requests under the lease even if some still run. */
  readonly drain: boolean;
}

/** Asks the holder of a lease to end it, and records its response in the ledger. */
export async function recallLease(options: RecallOptions, entry: LedgerEntry): Promise<void> {
  const { bus, engine, ledger, times, now, drain } = options;
  const { key, incarnation, holder } = entry;
  const input = { engine, key, incarnation, drain };
  let response: LeaseRecallResponse;
  try {
    response = await bus.call(holder, LEASE_RECALL, input, { timeoutMs: times.callTimeoutMs });
  } catch {
    // The holder may be using the lease, so it stays in the ledger until it expires.
    ledger.noteInUse(entry, entry.running, now());
    return;
  }
  const from = { name: holder, incarnation, domain: '', protocol: 0 };
  if (response.ended) ledger.end(from, { key, ask: response.ask, settled: response.settled }, now());
  else ledger.noteInUse(entry, response.running, now());
}
