/**
 * State that an owner keeps about one incarnation of its engine, shared by the tasks that load and unload
 * adapters there.
 *
 * When the engine turns out to have restarted, the session ends, and its tasks stop without affecting the
 * next session.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type { SequencedOrders } from './sequenced-orders.js';
import type { Slot, SlotTable } from './slots.js';
import type { EngineReport } from './types.js';

/** Dependencies and callbacks of a session, shared with its tasks. */
export interface SessionContext {
  readonly replica: ReplicaEntry;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly orders: SequencedOrders;
  readonly slots: SlotTable;
  /**
   * Whether the engine rejects orders with older fencing tokens, so that it accepts orders of no other owner.
   */
  readonly isFenced: boolean;
  /** Returns the number of adapters that the engine can hold. */
  readonly capacity: () => number;
  /** Called when the set of resident adapters has changed. */
  readonly onResidencyChange: () => void;
  /** Called when an adapter has become resident. */
  readonly onLoaded: (slot: Slot) => void;
  /** Called when a slot may have become available. */
  readonly onSlotAvailable: () => void;
}

/** Session of an owner with one incarnation of its engine. */
export class EngineSession {
  /** Names of the resident base models. */
  readonly models = new Set<string>();

  private hasEnded = false;

  /** Number of verified reports. */
  private reportCount = 0;

  private verifiedAt = 0;

  /** Sequence number of the engine in the last verified report. */
  verifiedSequence = 0;

  constructor(readonly context: SessionContext) {}

  /** Whether the engine has restarted or this daemon no longer owns it. */
  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Ends the session: its tasks stop at their next step, and no further order is sent under it. */
  end(): void {
    this.hasEnded = true;
    this.context.orders.close();
  }

  /** Time since the last report was verified, in milliseconds. */
  get sinceVerifiedMs(): number {
    return this.context.timers.now() - this.verifiedAt;
  }

  /** Number of verified reports so far. */
  get verifiedReports(): number {
    return this.reportCount;
  }

  /** Records a report that was just verified. */
  recordReport(report: EngineReport): void {
    this.reportCount += 1;
    this.verifiedAt = this.context.timers.now();
    this.verifiedSequence = report.sequence;
    for (const { name } of report.models) this.models.add(name);
  }

  /**
   * Releases a slot and logs the reason, which helps to explain an engine that turns out to hold more than
   * its capacity.
   * @param key - `model/adapter`.
   * @param reason - Why the engine does not hold the adapter.
   */
  releaseSlot(key: string, reason: string): void {
    const { slots, log, replica } = this.context;
    slots.free(key);
    if (!log.hasDetails) return;
    log.detail('slot.freed', `Released the slot of ${key}.`, {
      replica: replica.id,
      adapter: key,
      reason,
      occupied: slots.occupied,
    });
  }
}
