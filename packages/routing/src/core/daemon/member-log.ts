/** Logs changes of the members together: after a partition or a restart of all there is one for each of them. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { MemberRecord, MemberState } from '../cluster/index.js';

/** Time for which changes are collected, in milliseconds. */
const BATCH_MS = 500;
/** Members that one line names of each state; the others are counted. */
const MAX_NAMED = 20;

/** Collects changes of members and logs them. */
export class MemberLog {
  /** The latest state of each member that has changed. */
  private readonly changed = new Map<string, MemberState>();

  /**
   * Makes a log without changes.
   * @param log - Where the lines go.
   * @param timers - Time.
   * @param alive - Counts the living members.
   */
  constructor(
    private readonly log: DecisionLog,
    private readonly timers: TimerService,
    private readonly alive: () => number,
  ) {}

  /**
   * Notes a change.
   * @param record - The member's record after it.
   */
  note({ address, state }: MemberRecord): void {
    if (this.changed.size === 0) this.timers.after(BATCH_MS, () => this.flush());
    this.changed.set(address, state);
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
        peers: addresses.slice(0, MAX_NAMED).join(' '),
        alive: this.alive(),
      });
  }
}
