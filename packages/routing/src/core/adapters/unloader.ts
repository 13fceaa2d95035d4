/** Makes room on one engine: which adapter goes, and how. */
import { noteSeen } from './reconcile-slots.js';
import type { OrderedRef } from './orders.js';
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { refOf, SlotState } from './slots.js';
import { OrderKind, OrderOutcome } from './types.js';

/** Time from telling the others that an adapter goes until what they had sent before is known, in milliseconds: a few ways between failure domains. */
const WITHDRAWAL_MS = 6;
/** Pause between two looks at an adapter on its way out, in milliseconds: its last request runs for a second or so. */
const DROP_POLL_MS = 50;
/** Pause when every adapter is in use, or the engine is at another order, in milliseconds. */
const BUSY_MS = 15;

/** Unloads adapters, one at a time. */
export class Unloads {
  private isMakingRoom = false;

  /**
   * Makes one for an engine.
   * @param session - The engine's slots and orders.
   */
  constructor(private readonly session: EngineSession) {}

  /** Unloads the adapter that is missed least; the session hears when there may be room. */
  async makeRoom(): Promise<void> {
    const { orders, slots, timers, onRoom } = this.session.parts;
    if (this.isMakingRoom) return;
    this.isMakingRoom = true;
    try {
      const victim = orders.isBlocked ? undefined : slots.victim();
      if (victim === undefined) await timers.sleep(BUSY_MS);
      else await this.unload(victim);
    } finally {
      this.isMakingRoom = false;
    }
    onRoom();
  }

  /**
   * Unloads an adapter that nobody uses.
   *
   * An engine that is told to unload one in use takes no other order until the last request on it has ended, which
   * may be seconds. So the others are told first, and what they have sent by then comes to be known.
   */
  private async unload(victim: Slot): Promise<void> {
    const { session } = this;
    const { slots, orders, timers, isFenced, onHoldings } = session.parts;
    slots.mark(victim, SlotState.Dropping);
    onHoldings();
    await timers.sleep(WITHDRAWAL_MS);
    if (victim.running > 0) {
      this.takeBack(victim);
      return;
    }
    const isStillRight = (): boolean => victim.running === 0 && this.isDropping(victim);
    const outcome = await orders.begin(OrderKind.Unload, anyVersion(victim), isStillRight);
    if (session.isOver) return;
    if (outcome === OrderOutcome.Done) {
      // Was it gone before, the engine has not counted the order; another owner's next one would make up for that.
      if (!isFenced && !victim.isSeen) orders.doubt();
      await this.free(victim, 'unloaded');
    } else if (outcome === OrderOutcome.Started) void this.waitForRuns(victim);
    // Without an answer it may be gone; it counts as in place until a report or a request shows that it is not.
    else this.takeBack(victim);
  }

  /** The adapter stays after all, unless a report that was proved meanwhile has said what became of it. */
  private takeBack(slot: Slot): void {
    const { slots, onHoldings } = this.session.parts;
    if (!this.isDropping(slot)) return;
    slots.mark(slot, SlotState.Held);
    onHoldings();
  }

  /**
   * Counts the slot as free once the answer is known to be the one to this order: it would be filled at once, and where
   * the engine still holds the adapter, it would be ordered beyond its room.
   */
  private async free(slot: Slot, reason: string): Promise<void> {
    const { session } = this;
    const report = await session.parts.orders.confirm();
    if (report === undefined || session.isOver || !this.isDropping(slot)) return;
    session.free(slot.key, reason);
    noteSeen(session, report);
  }

  private noteWaited(slot: Slot, waitedMs: number): void {
    const { log, replica } = this.session.parts;
    log.decide('unload.waited', `Engine ${replica.id} took no orders until ${slot.key} was out of use.`, {
      replica: replica.id,
      adapter: slot.key,
      waitedMs: Math.round(waitedMs),
      sinceLearntMs: Math.round(this.session.sinceProofMs),
    });
  }

  /** Whether it is still on its way out, as far as no report has said otherwise. */
  private isDropping(slot: Slot): boolean {
    return slot.state === SlotState.Dropping && this.session.parts.slots.get(slot.key) === slot;
  }

  private async waitForRuns(slot: Slot): Promise<void> {
    const { session } = this;
    const { orders, timers, onRoom } = session.parts;
    const startedAt = timers.now();
    while (this.isDropping(slot)) {
      await timers.sleep(DROP_POLL_MS);
      if (session.isOver) return;
      const outcome = await orders.look(OrderKind.Unload, anyVersion(slot));
      if (session.isOver) return;
      if (outcome !== OrderOutcome.Done) continue;
      this.noteWaited(slot, timers.now() - startedAt);
      await this.free(slot, 'unloaded when its last request had ended');
      onRoom();
      return;
    }
  }
}

/** An adapter is unloaded whatever its version. */
function anyVersion(slot: Slot): OrderedRef {
  return { ...refOf(slot), version: undefined };
}
