/** The platform's store on the virtual clock, which can be away and come back from a copy of itself. */
import type { TimerService } from '@celeryyoke/core';
import type { Change, Delta, RecordSource, ViewRecord } from '@celeryyoke/routing';

import { NO_HISTORY } from '../fakes.js';
import type { MemoryNetwork } from '../fleet/network.js';

/** Time in transit of a call or its response, in milliseconds. */
const LATENCY_MS = 2;
/** Interval at which a waiting watch checks for changes, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** A change, and when it was acknowledged. */
export interface Written extends Change {
  readonly at: number;
}

/** Number of calls of each kind that were answered. */
export interface CallCounts {
  list: number;
  watch: number;
  historyLost: number;
}

/** Records with consecutive revisions within each of its eras. */
export class DrillStore {
  /** Acknowledged changes of the present era, and of those before it as far as the copies had them. */
  history: Written[] = [];

  epoch = 1;

  /** Latest revision of the copy that the present era began with. */
  restoredAt = 0;

  /** Whether responses name the era. */
  namesEpoch = true;

  /** Whether calls fail. */
  isAway = false;

  /** Daemons whose calls get no response. */
  readonly unreachable = new Set<string>();

  /** Time that responses to a daemon take in addition, in milliseconds. */
  readonly delays = new Map<string, number>();

  readonly calls: CallCounts = { list: 0, watch: 0, historyLost: 0 };

  constructor(
    private readonly network: MemoryNetwork,
    private readonly timers: TimerService,
  ) {}

  get revision(): number {
    return this.history.at(-1)?.revision ?? 0;
  }

  /** Writes a record, or removes it, and acknowledges that. */
  write(key: string, record: ViewRecord | undefined): void {
    this.history.push({ key, record, revision: this.revision + 1, at: this.timers.now() });
  }

  /** Latest changes of all keys. */
  latest(): Map<string, Written> {
    return new Map(this.history.map((written) => [written.key, written]));
  }

  /**
   * Replaces the contents by a copy.
   * @param count - Number of changes that the copy lacks.
   * @returns The changes that were lost, in order.
   */
  restore(count: number): Written[] {
    const lost = this.history.slice(this.history.length - count);
    this.history = this.history.slice(0, this.history.length - count);
    this.restoredAt = this.revision;
    this.epoch += 1;
    return lost;
  }

  /** Returns the store as one daemon reaches it. */
  sourceOf(daemon: string): RecordSource {
    return {
      list: (signal) =>
        this.answer<Delta>(daemon, signal, () => {
          this.calls.list += 1;
          const changes = [...this.latest().values()].filter(({ record }) => record !== undefined);
          return this.delta(0, true, changes);
        }),
      watch: async (after, waitMs, signal) => {
        const { epoch } = this;
        const endAt = this.timers.now() + waitMs;
        const isWaiting = (): boolean => this.revision === after && this.epoch === epoch && !this.isAway;
        while (isWaiting() && this.timers.now() < endAt && !signal.aborted)
          await this.timers.sleep(POLL_INTERVAL_MS);
        return this.answer<Delta | undefined>(daemon, signal, () => {
          this.calls.watch += 1;
          if (after > this.revision) {
            this.calls.historyLost += 1;
            return undefined;
          }
          return this.delta(
            after,
            false,
            this.history.filter(({ revision }) => revision > after),
          );
        });
      },
      ...NO_HISTORY,
    };
  }

  private delta(from: number, isWhole: boolean, changes: readonly Written[]): Delta {
    const epoch = this.namesEpoch ? this.epoch : undefined;
    const plain = changes.map(({ key, revision, record }) => ({ key, revision, record }));
    return { epoch, from, upTo: this.revision, isWhole, changes: plain };
  }

  private async answer<T>(daemon: string, signal: AbortSignal, read: () => T): Promise<T> {
    await this.timers.sleep(LATENCY_MS);
    if (this.unreachable.has(daemon)) {
      await new Promise<void>((resolve) => {
        signal.addEventListener('abort', () => resolve(), { once: true });
      });
      throw signal.reason;
    }
    if (this.isAway) throw new Error('The store is away.');
    const result = read();
    await this.timers.sleep(LATENCY_MS + this.network.lagOf(daemon) + (this.delays.get(daemon) ?? 0));
    signal.throwIfAborted();
    return result;
  }
}
