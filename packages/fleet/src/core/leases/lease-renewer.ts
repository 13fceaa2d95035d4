/**
 * Renews the leases that this daemon holds, with one message to each owner at each interval, and serves
 * recalls.
 */
import type { Counter, TimerHandle, TimerService } from '@celeryyoke/core';

import { engineResource } from '../engines/orders.js';
import type { Ownership } from '../ownership/index.js';
import type { PeerBus } from '../peers/index.js';
import type { LocalLeases } from './local-leases.js';
import type { EngineRenewal } from './messages.js';
import { LEASE_RECALL, LEASE_RENEW } from './messages.js';
import type { LeaseTimes } from './types.js';

export interface LeaseRenewerOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly ownership: Ownership;
  readonly leases: LocalLeases;
  readonly times: LeaseTimes;
  /** Counts the renewal messages. */
  readonly messages: Counter;
}

/** Time for which notifications about idle leases are collected before they are sent, in milliseconds. */
const BATCH_DELAY_MS = 20;

/**
 * Response to the recall of a lease that another incarnation of this daemon held: the lease ended with that
 * process, but requests that the process sent may still run on the engine.
 */
const ENDED_WITH_PROCESS = { ended: true, ask: Number.MAX_SAFE_INTEGER, settled: false, running: 0 };

/** Renews the leases of this daemon and responds to recalls. */
export class LeaseRenewer {
  private ticker: TimerHandle | undefined;

  private batchTimer: TimerHandle | undefined;

  /** Engines whose owners are sent a renewal before the next interval. */
  private readonly urgentEngines = new Set<string>();

  constructor(private readonly options: LeaseRenewerOptions) {}

  start(): void {
    const { bus, timers, leases, times } = this.options;
    bus.handle(LEASE_RECALL, async ({ engine, key, incarnation, drain }) =>
      incarnation === bus.self.incarnation ? leases.recall(engine, key, drain) : ENDED_WITH_PROCESS,
    );
    this.ticker = timers.repeat(times.renewMs, () => this.renew(leases.engineNames()));
  }

  stop(): void {
    this.ticker?.cancel();
    this.batchTimer?.cancel();
  }

  /**
   * Sends a renewal to an engine's owner soon, because a slot may have become available to another adapter.
   */
  renewSoon(engine: string): void {
    this.urgentEngines.add(engine);
    this.batchTimer ??= this.options.timers.after(BATCH_DELAY_MS, () => {
      this.batchTimer = undefined;
      const engines = [...this.urgentEngines];
      this.urgentEngines.clear();
      this.renew(engines);
    });
  }

  /** Sends one message to each owner, with the renewals of all its engines in the list. */
  private renew(engineNames: readonly string[]): void {
    const { timers, ownership, leases, times } = this.options;
    const idleBefore = timers.now() - times.lingerMs;
    const byOwner = new Map<string, EngineRenewal[]>();
    for (const engine of engineNames) {
      const owner = ownership.ownerOf(engineResource(engine));
      const renewal = leases.buildRenewal(engine, idleBefore);
      if (owner === undefined || renewal === undefined) continue;
      byOwner.set(owner, [...(byOwner.get(owner) ?? []), renewal]);
    }
    for (const [owner, engines] of byOwner) void this.send(owner, engines);
  }

  private async send(owner: string, engines: readonly EngineRenewal[]): Promise<void> {
    const { bus, timers, leases, times, messages } = this.options;
    const sentAt = timers.now();
    messages.add();
    try {
      const response = await bus.call(
        owner,
        LEASE_RENEW,
        { engines: [...engines] },
        { timeoutMs: times.callTimeoutMs },
      );
      for (const { engine, accepted, leaseMs, refused } of response.engines) {
        const sentRenewal = engines.find((renewal) => renewal.engine === engine);
        const validUntil = sentAt + leaseMs * (1 - times.clockDrift);
        if (accepted && sentRenewal !== undefined) leases.applyRenewal(sentRenewal, refused, validUntil);
      }
    } catch {
      // Leases that can't be renewed expire: no more requests start under them, and running ones continue.
    }
  }
}
