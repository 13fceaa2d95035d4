/** Daemons that record where streams began, on a virtual clock, with a bus between them that counts messages. */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, decode, encode } from '@celeryyoke/core';
import type {
  EntryWrite,
  MessageHandler,
  MessageType,
  ReplicaEntry,
  RunningStream,
} from '@celeryyoke/routing';
import {
  RecordKind,
  ReplicaRegistry,
  ReplicatedStore,
  StreamOrigins,
  streamKey,
  VersionHistory,
} from '@celeryyoke/routing';

import { createAvailability, engineEntry, log } from '../fakes.js';

export const SERVICE = 'engines';
/** Time for which streams are remembered whose callers state no deadline, in milliseconds. */
export const RETENTION_MS = 30_000;
/** Interval at which the views of daemons that are not cut off are confirmed, in milliseconds. */
const CONFIRM_MS = 200;

type Change = Parameters<ReplicatedStore['apply']>[0]['changes'][number];

function writeOf(replica: ReplicaEntry): EntryWrite {
  return { name: replica.name, revision: 1, replica, writeCount: undefined, isCreation: true };
}

/** One daemon. */
export class OriginDaemon {
  readonly view: ReplicatedStore;

  readonly registry: ReplicaRegistry;

  readonly history: VersionHistory;

  readonly origins: StreamOrigins;

  readonly handlers = new Map<MessageType, MessageHandler>();

  /** Whether it gets no changes from the platform. */
  isCutOff = false;

  /** Monotonic time at which its process went on after a pause, in milliseconds. */
  resumedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly fleet: OriginFleet,
    readonly address: string,
    formerEntries: readonly ReplicaEntry[] | undefined,
  ) {
    const { timers } = fleet;
    this.view = new ReplicatedStore(timers);
    this.registry = new ReplicaRegistry(this.view, createAvailability(timers), timers);
    const self = address;
    const cluster = {
      aliveAddresses: () => fleet.alive,
      member: (other: string) => ({ zone: `z${other.at(-1)}` }) as never,
      handle: (type: MessageType, handler: MessageHandler): void => {
        this.handlers.set(type, handler);
      },
      send: (to: string, type: MessageType, body: unknown): void => {
        fleet.deliver(to, type, body).catch(() => undefined);
      },
      request: (to: string, type: MessageType, body: unknown) => fleet.deliver(to, type, body),
    };
    this.history = new VersionHistory({
      self,
      cluster,
      registry: this.registry,
      view: this.view,
      timers,
      log,
      resumedAt: () => this.resumedAt,
      hasSettled: () => true,
      source: {
        hasHistory: () => Promise.resolve(formerEntries !== undefined),
        replicaWrites: () => Promise.resolve(formerEntries?.map(writeOf)),
      },
      replicaWriteIntervalMs: 0,
    });
    this.origins = new StreamOrigins({ self, cluster, history: this.history, timers, log });
  }

  /**
   * Begins a stream and returns it.
   * @param waitMs - What its caller states, in milliseconds.
   */
  begin(id: string, softwareVersion: string, body = 'prompt', waitMs?: number): RunningStream {
    const stream = {
      service: SERVICE,
      key: () => streamKey(body, id),
      softwareVersion: () => softwareVersion,
      deadlineAt: waitMs === undefined ? undefined : this.fleet.timers.now() + waitMs,
    };
    this.origins.begin(stream);
    return stream;
  }

  stop(): void {
    this.history.stop();
    this.origins.stop();
  }
}

/** The daemons, and the platform's records that they get. */
export class OriginFleet {
  readonly timers: ManualTimerService = createManualTimers();

  readonly daemons = new Map<string, OriginDaemon>();

  alive: readonly string[] = [];

  /** Messages that daemons have sent each other. */
  messages = 0;

  private readonly records = new Map<string, ReplicaEntry>();

  private revision = 1;

  constructor() {
    this.timers.repeat(CONFIRM_MS, () => this.confirm());
  }

  /**
   * Starts a daemon, which reads all records.
   * @param history - Entries of all replicas that were ever listed; `true` for none, `false` if the store no longer knows.
   */
  start(address: string, history: readonly ReplicaEntry[] | boolean = false): OriginDaemon {
    const known = history === true ? [] : history;
    const daemon = new OriginDaemon(this, address, known === false ? undefined : known);
    this.daemons.set(address, daemon);
    this.alive = [...this.daemons.keys()].sort();
    this.readAll(daemon);
    void daemon.history.askStore();
    return daemon;
  }

  /** Ends a daemon, as a signal does. */
  kill(address: string): void {
    this.daemons.get(address)!.stop();
    this.daemons.delete(address);
    this.alive = [...this.daemons.keys()].sort();
  }

  /** Lists a replica, or changes its entry. */
  list(name: string, softwareVersion: string | undefined): void {
    const entry = { ...engineEntry(name), softwareVersion };
    this.records.set(name, entry);
    this.publish({ key: name, revision: 0, record: { kind: RecordKind.Replica, replica: entry } });
  }

  remove(name: string): void {
    this.records.delete(name);
    this.publish({ key: name, revision: 0, record: undefined });
  }

  /** Has a daemon read all records, as after a gap in the history. */
  readAll({ view }: OriginDaemon): void {
    const changes = [...this.records].map(([key, replica]) => ({
      key,
      revision: this.revision,
      record: { kind: RecordKind.Replica as const, replica },
    }));
    view.apply({ from: 0, upTo: this.revision, isWhole: true, changes });
    view.confirmUpToDate(this.revision, 0);
  }

  /** Delivers a message to a daemon that runs. */
  async deliver(to: string, type: MessageType, body: unknown): Promise<unknown> {
    this.messages += 1;
    const handler = this.daemons.get(to)?.handlers.get(type);
    if (handler === undefined) throw new Error(`${to} can't be reached.`);
    return decode(
      encode(handler(undefined as never, decode(encode(body)) as never, undefined as never) ?? null),
    );
  }

  private publish(change: Change): void {
    const from = this.revision;
    this.revision += 1;
    const changes = [{ ...change, revision: this.revision }];
    for (const { view, isCutOff } of this.daemons.values())
      if (!isCutOff) view.apply({ from, upTo: this.revision, isWhole: false, changes });
  }

  private confirm(): void {
    for (const { view, isCutOff } of this.daemons.values())
      if (!isCutOff) view.confirmUpToDate(this.revision, 0);
  }
}
