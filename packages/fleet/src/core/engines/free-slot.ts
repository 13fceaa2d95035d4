/**
 * Frees a slot on an engine: recalls the leases on an adapter, and unloads it once no request can run on it.
 */
import type { SlotRequest, SlotTable } from '@celeryyoke/placement';
import { OrderKind, OrderOutcome } from '@celeryyoke/platform';
import type { OrderResult } from '@celeryyoke/platform';

import type { LeaseTimes } from '../leases/index.js';
import { Authority } from '../ownership/index.js';
import type { PeerBus } from '../peers/index.js';
import type { LeaseLedger } from './ledger.js';
import type { EngineOrders, SentOrder } from './orders.js';
import { recallLease } from './recall.js';

/** The load permit is returned unused after this many slots could not be freed. */
const MAX_SLOTS_TRIED = 4;

/** Parts and callbacks of the engine's owner that freeing a slot needs. */
export interface FreeSlotOptions {
  readonly engine: string;
  readonly bus: PeerBus;
  readonly table: SlotTable;
  readonly ledger: LeaseLedger;
  readonly orders: EngineOrders;
  readonly times: LeaseTimes;
  readonly now: () => number;
  /**
   * Waits until reports show the effect of an order of unknown outcome; resolves to whether the key is
   * resident.
   */
  readonly awaitOutcome: (key: string, order: SentOrder, limitMs: number) => Promise<boolean>;
  /** Called when the engine refused an order because its fencing token was outdated. */
  readonly onFenced: () => void;
  /** Grants leases to the requests that can use the slot again after a failed unload. */
  readonly grantAll: (granted: readonly SlotRequest[]) => void;
}

/** Sends the unload order, provided that in the same step the slot is proven idle and authority is full. */
function* unload(options: FreeSlotOptions, key: string): Generator<unknown, boolean> {
  const { table, ledger, orders, times, now } = options;
  if (!ledger.isProvenIdle(key) || !orders.isAllowed(Authority.Full)) return false;
  table.unloadStarted(key, now());
  const order = orders.send(OrderKind.Unload, key, times.unloadTimeoutMs, Authority.Full);
  if (order === undefined) {
    table.unloadEnded(key, false, now());
    return false;
  }
  const { outcome } = (yield order.result) as OrderResult;
  let isUnloaded = outcome === OrderOutcome.Done;
  if (outcome === OrderOutcome.Fenced) options.onFenced();
  if (outcome === OrderOutcome.Unknown) {
    isUnloaded = !((yield options.awaitOutcome(key, order, times.unloadTimeoutMs)) as boolean);
  }
  const granted = table.unloadEnded(key, isUnloaded, now());
  if (isUnloaded) ledger.forgetKey(key);
  else ledger.restoreHolds(key, now());
  options.grantAll(granted);
  return isUnloaded;
}

/**
 * Frees a slot for a load, if none is free.
 * @param key - Key that is to be loaded.
 * @returns Whether a slot is free now.
 */
export function* freeSlot(options: FreeSlotOptions, key: string): Generator<unknown, boolean> {
  const { table, ledger, now } = options;
  for (let slotsTried = 0; slotsTried < MAX_SLOTS_TRIED; slotsTried += 1) {
    const plan = table.plan(key, now());
    if (plan === undefined) return false;
    if (plan.victim === undefined) return true;
    yield Promise.all(
      ledger.outstanding(plan.victim).map((entry) => recallLease({ ...options, drain: false }, entry)),
    );
    yield* unload(options, plan.victim);
  }
  return false;
}
