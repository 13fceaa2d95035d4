/**
 * Drains a slot when all slots are in continuous use and a load has waited too long: the least valuable
 * adapter gets no new requests until its running ones have ended. Without this, a rarely used adapter could
 * wait forever.
 */
import type { AdapterKey, LoadWant, PlacementPolicy, SlotTable } from '@celeryyoke/placement';
import { SlotState } from '@celeryyoke/placement';

export interface DrainOptions {
  readonly table: SlotTable;
  readonly policy: PlacementPolicy;
  /** Returns how long a load may wait for a slot before one is drained, in milliseconds. */
  readonly afterMs: () => number;
  /** Recalls the leases on a key, so that their holders start no more requests under them. */
  readonly recall: (key: AdapterKey) => void;
}

/** Selects and drains slots of one engine, at most one at a time. */
export class SlotDrain {
  /** Key whose slot is being drained. */
  private key: AdapterKey | undefined;

  constructor(private readonly options: DrainOptions) {}

  /** Whether new requests for a key are refused because its slot is being drained. */
  isDraining(key: AdapterKey): boolean {
    return this.key === key;
  }

  /** Starts a drain when a load has waited too long; ends it when none waits too long or a slot is free. */
  update(wants: readonly LoadWant[], now: number): void {
    const { table, afterMs, recall } = this.options;
    const starvedBefore = now - afterMs();
    const isStarved = wants.some((want) => want.waiting > 0 && want.oldestAt < starvedBefore);
    const { free, victims } = table.room(now);
    if (!isStarved || free > 0 || (this.key !== undefined && table.state(this.key) === undefined)) {
      this.key = undefined;
      return;
    }
    if (victims.length === 0) this.key ??= this.leastValuableKey(now);
    // Repeated at each call, because an earlier recall may not have reached every holder.
    if (this.key !== undefined) recall(this.key);
  }

  private leastValuableKey(now: number): AdapterKey | undefined {
    const { table, policy } = this.options;
    const slots = table.views().filter((slot) => slot.state === SlotState.Ready && !slot.reserved);
    const values = slots.map((slot) => ({ key: slot.key, value: policy.keepValue(slot, now) }));
    return values.sort((left, right) => left.value - right.value)[0]?.key;
  }
}
