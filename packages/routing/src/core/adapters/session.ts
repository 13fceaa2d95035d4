/**
 * What an owner knows of one start of its engine, and shares among the tasks that load and unload adapters there.
 *
 * When the engine turns out to have started again, the session is over: its tasks end without touching what comes after.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type { NumberedOrders } from './sequenced-orders.js';
import type { Slot, SlotTable } from './slots.js';
import type { EngineReport } from './types.js';

/** What a session needs of its owner. */
export interface SessionOptions {
  readonly replica: ReplicaEntry;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly orders: NumberedOrders;
  readonly slots: SlotTable;
  /** Whether the engine refuses orders with older tokens, so that no other owner can give any. */
  readonly isFenced: boolean;
  /** Adapters for which the engine has room. */
  readonly places: () => number;
  /** Called when what is in place has changed. */
  readonly onHoldings: () => void;
  /** Called when an adapter has come into place. */
  readonly onArrival: (slot: Slot) => void;
  /** Called when a slot may have become free. */
  readonly onRoom: () => void;
}

/** One start of the engine. */
export class EngineSession {
  /** Base models in place. */
  readonly models = new Set<string>();

  private hasEnded = false;

  /** Reports that were proved. */
  private reports = 0;

  private provedAt = 0;

  /** Orders that the engine had accepted when the last report was proved. */
  provedSequence = 0;

  /**
   * Makes a session of which nothing is known yet.
   * @param parts - The engine, its slots and its orders.
   */
  constructor(readonly parts: SessionOptions) {}

  /** Whether the engine has started again, or the owner has given it up. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** Ends the session: its tasks stop at their next step, and no order is given under it any more. */
  end(): void {
    this.hasEnded = true;
    this.parts.orders.close();
  }

  /** Time since the last report was proved, in milliseconds. */
  get sinceProofMs(): number {
    return this.parts.timers.now() - this.provedAt;
  }

  /** How many reports were proved. */
  get proofs(): number {
    return this.reports;
  }

  /**
   * Notes what a report says that was just proved.
   * @param report - The report.
   */
  note(report: EngineReport): void {
    this.reports += 1;
    this.provedAt = this.parts.timers.now();
    this.provedSequence = report.sequence;
    for (const { name } of report.models) this.models.add(name);
  }

  /**
   * Counts a slot as free; the line tells on what grounds, should the engine turn out to hold more than it can.
   * @param key - `model/adapter`.
   * @param reason - Why the engine can't hold it.
   */
  free(key: string, reason: string): void {
    const { slots, log, replica } = this.parts;
    slots.free(key);
    if (!log.hasDetails) return;
    log.detail('slot.freed', `The slot of ${key} is free.`, {
      replica: replica.id,
      adapter: key,
      reason,
      occupied: slots.occupied,
    });
  }
}
