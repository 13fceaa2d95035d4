/**
 * Decides what the owner of an engine may do at this moment: nothing, load adapters, or also grant leases.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Membership } from '../membership/index.js';
import type { Ownership } from '../ownership/index.js';
import { Authority } from '../ownership/index.js';
import type { EngineOrders } from './orders.js';
import { engineResource } from './orders.js';

/** What an owner may do for its engine; each value includes the ones before it. */
export enum Capability {
  None,
  /** May load adapters into free slots; another daemon may have this authority too. */
  Loading,
  /** May also grant leases on resident adapters; no other daemon may. */
  Granting,
}

export interface CapabilityCheckOptions {
  readonly engine: string;
  readonly ownership: Ownership;
  readonly membership: Membership;
  readonly orders: EngineOrders;
  readonly timers: TimerService;
  /**
   * Monotonic milliseconds until which orders of this engine's previous owner in this process may still
   * arrive.
   */
  readonly notBefore: number;
}

/** Checks the capability of one owner. */
export class CapabilityCheck {
  /** Monotonic milliseconds when the engine last refused an order for its outdated fencing token. */
  private fencedAt = -Infinity;

  constructor(private readonly options: CapabilityCheckOptions) {}

  /** The capability at this moment. */
  current(): Capability {
    const { engine, ownership, orders, timers, notBefore } = this.options;
    if (timers.now() < notBefore || this.isFenced()) return Capability.None;
    if (ownership.mayGrantSlotLeases(engineResource(engine))) return Capability.Granting;
    return orders.isAllowed(Authority.Additive) ? Capability.Loading : Capability.None;
  }

  /** Records that the engine refused an order for its outdated fencing token. */
  noteFenced(): void {
    this.fencedAt = this.options.timers.now();
  }

  /**
   * Whether the view of the host list is not younger than the last refusal; until it is, another daemon may
   * be owner.
   */
  private isFenced(): boolean {
    const { membership, timers } = this.options;
    return timers.now() - membership.ageMs() <= this.fencedAt;
  }
}
