/**
 * Proves which incarnation of a replica is at the other end of the connections to it.
 *
 * A replica may start again under its id and at its address before its entry says so. A report that the listed incarnation
 * makes after a connection was established proves it for that connection: one process listens at an address at a time, and
 * a connection ends with its process.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';

/** Largest number of reports that are asked for as long as none comes. */
const MAX_REPORTS = 5;

/** What a proof uses. */
export interface IncarnationProofsOptions {
  /** Whether the listed incarnation of a replica still runs; undefined if there is no word of it. */
  readonly isRunning: (replica: ReplicaEntry) => Promise<boolean | undefined>;
  readonly timers: Pick<TimerService, 'now'>;
}

/** A proof that is being made. */
interface PendingProof {
  /** Monotonic time from which on the report is asked for, in milliseconds. */
  readonly startedAt: number;
  readonly result: Promise<boolean>;
}

/** Proofs of all replicas; those of one moment share a report. */
export class IncarnationProofs {
  /** Monotonic time of the latest proof, in milliseconds, by incarnation. */
  private readonly provedAt = new Map<string, number>();

  private readonly pending = new Map<string, PendingProof>();

  private isStopped = false;

  constructor(private readonly options: IncarnationProofsOptions) {}

  /** Asks for no further report; what is not proved by now is not proved any more. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Finds out whether the listed incarnation of a replica has sent what arrives on a connection.
   * @param connectedAt - Monotonic time at which the connection was established, in milliseconds.
   * @returns Undefined if it is proved by now.
   */
  prove(replica: ReplicaEntry, connectedAt: number): Promise<boolean> | undefined {
    const { id, bornAt } = replica;
    // Without a stated start, a restart has another name, which the request says and a replica checks.
    if (bornAt === undefined) return undefined;
    if ((this.provedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= connectedAt) return undefined;
    const pending = this.pending.get(id);
    if (pending !== undefined && pending.startedAt >= connectedAt) return pending.result;
    return this.start(replica);
  }

  /** Drops what is known of an incarnation that is not listed any more. */
  forget(id: string): void {
    this.provedAt.delete(id);
    this.pending.delete(id);
  }

  private start(replica: ReplicaEntry): Promise<boolean> {
    const { id } = replica;
    const startedAt = this.options.timers.now();
    const pending = { startedAt, result: this.askForReport(replica) };
    this.pending.set(id, pending);
    void pending.result.then((isProved) => {
      if (this.pending.get(id) !== pending) return;
      this.pending.delete(id);
      if (isProved) this.provedAt.set(id, startedAt);
    });
    return pending.result;
  }

  private async askForReport(replica: ReplicaEntry): Promise<boolean> {
    for (let count = 0; count < MAX_REPORTS && !this.isStopped; count += 1) {
      const isRunning = await this.options.isRunning(replica);
      if (isRunning !== undefined) return isRunning;
    }
    return false;
  }
}
