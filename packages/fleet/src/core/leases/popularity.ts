/**
 * Exchanges adapter popularity between daemons: each daemon reports the requests of its own callers to its
 * peers in the heartbeat, so that every daemon's placement policy counts the requests of all daemons that it
 * can reach. Only a daemon's own requests are reported, so none is counted twice. The size of a section is
 * bounded, whatever the number of adapters.
 */
import type { TimerService } from '@celeryyoke/core';
import type { PlacementPolicy } from '@celeryyoke/placement';
import { z } from 'zod';

import type { PeerBus } from '../peers/index.js';

/** Bound on the adapters in one section; the least requested ones are left out. */
const MAX_ADAPTERS = 64;
/** Bound on the requests for one adapter in a section; a section with more is rejected. */
const MAX_COUNT = 10_000;
/** Minimum number of recent requests that are kept for peers that have not received them yet. */
const MAX_PENDING_REQUESTS = 4096;

const popularitySection = z
  .array(z.object({ key: z.string(), count: z.number().int().min(1).max(MAX_COUNT) }))
  .max(MAX_ADAPTERS);

type AdapterCount = z.infer<typeof popularitySection>[number];

export interface PopularityExchangeOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly policy: PlacementPolicy;
}

/** Counts the requests of this daemon's callers, and exchanges the counts with the peers. */
export class PopularityExchange {
  /** Adapter keys of the most recent requests, oldest first. */
  private recent: string[] = [];

  /** Sequence number of the oldest request in `recent`. */
  private firstNumber = 0;

  /** For each peer, the sequence number of the first request that was not reported to it. */
  private readonly nextNumberFor = new Map<string, number>();

  constructor(private readonly options: PopularityExchangeOptions) {
    options.bus.addHeartbeatSection({
      name: 'popularity',
      collect: (peer) => this.collect(peer),
      merge: (_from, data) => this.absorb(data),
    });
  }

  /** Counts a request of one of this daemon's callers. */
  observe(key: string): void {
    const { policy, timers } = this.options;
    policy.observe(key, timers.now());
    this.recent.push(key);
    if (this.recent.length < 2 * MAX_PENDING_REQUESTS) return;
    this.recent = this.recent.slice(MAX_PENDING_REQUESTS);
    this.firstNumber += MAX_PENDING_REQUESTS;
  }

  private collect(peer: string): readonly AdapterCount[] | undefined {
    const nextNumber = this.firstNumber + this.recent.length;
    const fromNumber = Math.max(this.firstNumber, this.nextNumberFor.get(peer) ?? nextNumber);
    this.nextNumberFor.set(peer, nextNumber);
    if (fromNumber === nextNumber) return undefined;
    const counts = new Map<string, number>();
    for (const key of this.recent.slice(fromNumber - this.firstNumber))
      counts.set(key, (counts.get(key) ?? 0) + 1);
    const entries = [...counts].map(([key, count]) => ({ key, count }));
    return entries.sort((left, right) => right.count - left.count).slice(0, MAX_ADAPTERS);
  }

  private absorb(data: unknown): void {
    const { policy, timers } = this.options;
    const now = timers.now();
    for (const { key, count } of popularitySection.parse(data)) {
      for (let index = 0; index < count; index += 1) policy.observe(key, now);
    }
  }
}
