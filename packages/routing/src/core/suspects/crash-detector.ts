/** Tells a replica that has crashed from one that closed or reset a connection. */
import type { TimerService } from '@celeryyoke/core';
import { ListenerState } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';

/** Time in which this daemon sees all connections to a process close that has ended, in milliseconds. */
const CLOSE_SPREAD_MS = 5;
/** Timeout of the connection attempt that decides, in milliseconds; hosts respond within some milliseconds. */
const PROBE_TIMEOUT_MS = 100;
/** Time for which the incarnation of a replica that has crashed is remembered, in milliseconds. */
const RETENTION_MS = 10_000;

/** What a detector uses. */
export interface CrashDetectorOptions {
  readonly timers: TimerService;
  /** Whether any connection to the replica is established. */
  readonly isConnected: (replica: string) => boolean;
  /** Connects to a replica once. */
  readonly probe: (replica: ReplicaEntry, timeoutMs: number) => Promise<ListenerState>;
}

/** Checks replicas whose connections ended during an attempt. */
export class CrashDetector {
  /** Checks in progress, and those that showed a crash. */
  private readonly checks = new Map<string, Promise<boolean>>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Finds out whether a replica has crashed; all callers of one moment share the check. */
  hasCrashed(replica: ReplicaEntry): Promise<boolean> {
    const { id } = replica;
    const running = this.checks.get(id);
    if (running !== undefined) return running;
    const check = this.check(replica);
    this.checks.set(id, check);
    void check.then((hasCrashed) => {
      if (!hasCrashed) this.checks.delete(id);
      else this.options.timers.after(RETENTION_MS, () => this.checks.delete(id));
    });
    return check;
  }

  /** Looks at a replica anew when it is asked for next, as it turned out to go on. */
  forget(replica: string): void {
    this.checks.delete(replica);
  }

  private async check(replica: ReplicaEntry): Promise<boolean> {
    const { timers, isConnected, probe } = this.options;
    await timers.sleep(CLOSE_SPREAD_MS);
    if (isConnected(replica.id)) return false;
    return (await probe(replica, PROBE_TIMEOUT_MS)) === ListenerState.Refused;
  }
}
