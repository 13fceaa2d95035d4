/**
 * Logs state changes of members in batches, as after a partition or a restart of the fleet every member
 * changes at once.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { MemberRecord, MemberState } from '../cluster/index.js';

/** Time for which changes are collected before they are logged, in milliseconds. */
const BATCH_MS = 500;
/** Maximum number of members that a log line lists; the others are only counted. */
const MAX_LISTED = 20;

/** Logs one line per new state, with the members that have it. */
export class MemberLog {
  /** The latest state of each member that has changed. */
  private readonly changed = new Map<string, MemberState>();

  private flushTimer: TimerHandle | undefined;

  private isStopped = false;

  /**
   * @param alive - Returns the number of live members.
   */
  constructor(
    private readonly log: DecisionLog,
    private readonly timers: TimerService,
    private readonly alive: () => number,
  ) {}

  /** Records a change, given the member's record after it. */
  record({ address, state }: MemberRecord): void {
    if (this.isStopped) return;
    if (this.changed.size === 0) this.flushTimer = this.timers.after(BATCH_MS, () => this.flush());
    this.changed.set(address, state);
  }

  /** Drops changes that are not logged yet; the parts that describe the fleet are gone. */
  stop(): void {
    this.isStopped = true;
    this.flushTimer?.cancel();
  }

  private flush(): void {
    const byState = new Map<MemberState, string[]>();
    for (const [address, state] of this.changed) {
      const addresses = byState.get(state) ?? [];
      byState.set(state, addresses);
      addresses.push(address);
    }
    this.changed.clear();
    for (const [state, addresses] of byState)
      this.log.decide('peer.state', `${addresses.length} peers are ${state}.`, {
        state,
        count: addresses.length,
        peers: addresses.slice(0, MAX_LISTED).join(' '),
        alive: this.alive(),
      });
  }
}
