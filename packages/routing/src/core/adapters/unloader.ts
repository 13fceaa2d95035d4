/** Frees slots on one engine by evicting adapters. */
import { markConfirmed } from './reconcile-slots.js';
import type { OrderTarget } from './orders.js';
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { adapterOf, SlotState } from './slots.js';
import { OrderKind, OrderOutcome } from './types.js';

/**
 * Time until the other daemons have received the withdrawal of an adapter and the requests that they sent
 * before have been reported here, in milliseconds: a few one-way delays between failure domains.
 */
const WITHDRAWAL_PROPAGATION_MS = 6;
/**
 * Interval between polls of an unload that waits for requests to end, in milliseconds: the last request runs
 * for about a second.
 */
const UNLOAD_POLL_MS = 50;
/** Delay when every adapter is in use or the engine is occupied with another order, in milliseconds. */
const BUSY_RETRY_MS = 15;

/** Evicts adapters, one at a time. */
export class Unloader {
  private isFreeingSlot = false;

  constructor(private readonly session: EngineSession) {}

  /** Evicts the least used adapter; the session is notified when a slot may be available. */
  async freeSlot(): Promise<void> {
    const { orders, slots, timers, onSlotAvailable } = this.session.context;
    if (this.isFreeingSlot) return;
    this.isFreeingSlot = true;
    try {
      const candidate = orders.isBlocked ? undefined : slots.evictionCandidate();
      if (candidate === undefined) await timers.sleep(BUSY_RETRY_MS);
      else await this.unload(candidate);
    } finally {
      this.isFreeingSlot = false;
    }
    onSlotAvailable();
  }

  /**
   * Unloads an adapter that no request uses.
   *
   * An engine that is ordered to unload an adapter in use accepts no other order until the last request on it
   * has ended, which can take seconds. The withdrawal is therefore published first, and requests that other
   * daemons sent before have time to become known.
   */
  private async unload(candidate: Slot): Promise<void> {
    const { session } = this;
    const { slots, orders, timers, isFenced, onResidencyChange } = session.context;
    slots.setState(candidate, SlotState.Unloading);
    onResidencyChange();
    await timers.sleep(WITHDRAWAL_PROPAGATION_MS);
    if (candidate.running > 0) {
      this.cancelUnload(candidate);
      return;
    }
    const isStillValid = (): boolean => candidate.running === 0 && this.isUnloading(candidate);
    const outcome = await orders.submit(OrderKind.Unload, anyVersion(candidate), isStillValid);
    if (session.isEnded) return;
    if (outcome === OrderOutcome.Done) {
      // If the adapter was already gone, the engine has not counted the order, and the next order of another
      // owner would make the sequence numbers match by accident.
      if (!isFenced && !candidate.isConfirmedResident) orders.invalidate();
      await this.releaseSlot(candidate, 'unloaded');
    } else if (outcome === OrderOutcome.Started) void this.waitForRequests(candidate);
    // Without a response the adapter may be gone; it counts as resident until a report or a request shows
    // otherwise.
    else this.cancelUnload(candidate);
  }

  /** Keeps the adapter after all, unless a report verified in the meantime has changed its state. */
  private cancelUnload(slot: Slot): void {
    const { slots, onResidencyChange } = this.session.context;
    if (!this.isUnloading(slot)) return;
    slots.setState(slot, SlotState.Resident);
    onResidencyChange();
  }

  /**
   * Releases the slot once the response is confirmed to belong to this order. The slot would be filled
   * immediately, and if the engine still held the adapter, that would exceed its capacity.
   */
  private async releaseSlot(slot: Slot, reason: string): Promise<void> {
    const { session } = this;
    const report = await session.context.orders.confirmResponses();
    if (report === undefined || session.isEnded || !this.isUnloading(slot)) return;
    session.releaseSlot(slot.key, reason);
    markConfirmed(session, report);
  }

  private logWait(slot: Slot, waitedMs: number): void {
    const { log, replica } = this.session.context;
    log.decide(
      'unload.waited',
      `Engine ${replica.id} accepted no orders until the last request on ${slot.key} had ended.`,
      {
        replica: replica.id,
        adapter: slot.key,
        waitedMs: Math.round(waitedMs),
        sinceLearntMs: Math.round(this.session.sinceVerifiedMs),
      },
    );
  }

  /** Whether the slot is still being unloaded, as far as no report has shown otherwise. */
  private isUnloading(slot: Slot): boolean {
    return slot.state === SlotState.Unloading && this.session.context.slots.get(slot.key) === slot;
  }

  private async waitForRequests(slot: Slot): Promise<void> {
    const { session } = this;
    const { orders, timers, onSlotAvailable } = session.context;
    const startedAt = timers.now();
    while (this.isUnloading(slot)) {
      await timers.sleep(UNLOAD_POLL_MS);
      if (session.isEnded) return;
      const outcome = await orders.poll(OrderKind.Unload, anyVersion(slot));
      if (session.isEnded) return;
      if (outcome !== OrderOutcome.Done) continue;
      this.logWait(slot, timers.now() - startedAt);
      await this.releaseSlot(slot, 'unloaded after its last request had ended');
      onSlotAvailable();
      return;
    }
  }
}

/** Returns the target of an unload order, which applies to any version. */
function anyVersion(slot: Slot): OrderTarget {
  return { ...adapterOf(slot), version: undefined };
}
