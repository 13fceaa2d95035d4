/** The platform's store on the virtual clock, with faults for each daemon. */
import type { TimerService } from '@celeryyoke/core';
import type { Change, Delta, EntryWrite, RecordSource, ReplicaEntry } from '@celeryyoke/routing';
import { RecordKind } from '@celeryyoke/routing';

import { engineEntry } from '../fakes.js';
import type { MemoryNetwork } from './network.js';

/** Time in transit of a call or its response, in milliseconds. */
const LATENCY_MS = 2;
/** Interval at which a waiting watch checks for changes, in milliseconds. */
const POLL_INTERVAL_MS = 5;
/** First revision, which exists from the start. */
const FIRST_REVISION = 1;

/** Records with consecutive revisions, and when they were written. */
export class TestStore {
  private readonly changes: Change[] = [];

  private readonly writtenAt = new Map<number, number>();

  /** Daemons whose calls get no response. */
  readonly unreachable = new Set<string>();

  /** Number of watches that were started. */
  watches = 0;

  /** Time by which the responses to the calls of daemons are late, in milliseconds. */
  readonly delayedMs = new Map<string, number>();

  /** Whether the store keeps no history, so that each watch of an earlier revision fails. */
  hasNoHistory = false;

  /** Whether the store proves that no replica was ever listed but those that it shows. */
  hasWholeHistory = false;

  /** Daemons whose calls are refused at once. */
  readonly refused = new Set<string>();

  constructor(
    private readonly network: MemoryNetwork,
    private readonly timers: TimerService,
  ) {
    this.write();
  }

  get revision(): number {
    return this.changes.length;
  }

  /** Writes a record and returns its revision. */
  write(): number {
    const name = `e${this.revision + FIRST_REVISION}`;
    return this.put(name, engineEntry(name));
  }

  /** Writes the entry of a replica, or removes it, and returns the revision. */
  put(key: string, replica: ReplicaEntry | undefined): number {
    const revision = this.revision + FIRST_REVISION;
    const record = replica === undefined ? undefined : { kind: RecordKind.Replica as const, replica };
    this.changes.push({ key, revision, record });
    this.writtenAt.set(revision, this.timers.now());
    return revision;
  }

  /** Time for which a view that is complete up to a revision has lacked a change, in milliseconds. */
  staleMs(upTo: number): number {
    const nextAt = this.writtenAt.get(upTo + 1);
    return nextAt === undefined ? 0 : this.timers.now() - nextAt;
  }

  /** Returns the store as one daemon reaches it; a slow daemon handles responses late. */
  sourceOf(daemon: string): RecordSource {
    return {
      list: (signal) =>
        this.refused.has(daemon)
          ? this.refuse(daemon)
          : this.answer<Delta>(daemon, signal, () => this.delta(0, true)),
      watch: async (after, waitMs, signal) => {
        this.watches += 1;
        if (this.refused.has(daemon)) return this.refuse(daemon);
        const endAt = this.timers.now() + LATENCY_MS + waitMs;
        while (this.revision <= after && this.timers.now() < endAt && !signal.aborted)
          await this.timers.sleep(POLL_INTERVAL_MS);
        return this.answer(daemon, signal, () =>
          this.hasNoHistory && after < this.revision ? undefined : this.delta(after, false),
        );
      },
      hasHistory: () => Promise.resolve(this.hasWholeHistory),
      replicaWrites: () => Promise.resolve(this.hasWholeHistory ? this.writes() : undefined),
    };
  }

  private writes(): EntryWrite[] {
    return this.changes.map(({ key, revision, record }) => {
      const replica = record?.kind === RecordKind.Replica ? record.replica : undefined;
      return { name: key, revision, replica, writeCount: undefined, isCreation: false };
    });
  }

  private async refuse(daemon: string): Promise<never> {
    await this.timers.sleep(2 * LATENCY_MS + this.network.lagOf(daemon));
    throw new Error('The store is busy.');
  }

  private async answer<Result>(daemon: string, signal: AbortSignal, read: () => Result): Promise<Result> {
    await this.timers.sleep(LATENCY_MS);
    if (this.unreachable.has(daemon)) {
      await new Promise<void>((resolve) => {
        signal.addEventListener('abort', () => resolve(), { once: true });
      });
      throw signal.reason;
    }
    const delta = read();
    await this.timers.sleep(LATENCY_MS + (this.delayedMs.get(daemon) ?? 0) + this.network.lagOf(daemon));
    await new Promise<void>((resolve) => {
      this.network.whenRunning(daemon, resolve);
    });
    signal.throwIfAborted();
    return delta;
  }

  private delta(from: number, isWhole: boolean): Delta {
    return { from, upTo: this.revision, isWhole, changes: this.changes.slice(from) };
  }
}
