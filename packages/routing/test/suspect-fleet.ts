/** Daemons with a registry of suspects each, on the virtual clock. */
import type { ManualTimerService, Suspicion } from '@celeryyoke/core';
import { createManualTimers, createSilentLog } from '@celeryyoke/core';

import type {
  CrashDetector,
  FollowedAttempt,
  ReplicaEntry,
  ReplicaListener,
  RequestFingerprints,
  SuspectRegistryOptions,
  TopicHandler,
} from '../src/index.js';
import {
  AttemptEnd,
  AttemptLedger,
  MessageType,
  ReplicaEnds,
  ReplicaState,
  SuspectRegistry,
} from '../src/index.js';

const SERVICE = 'llm';
/** Delay of messages over the tree, in milliseconds. */
export const TREE_DELAY_MS = 40;
/** Delay of messages from one daemon to another, in milliseconds. */
export const DIRECT_DELAY_MS = 1;

/** Fingerprints of a request without a query that shares nothing. */
export function named(exact: string): RequestFingerprints {
  return { exact, anyQuery: undefined, shared: [] };
}

type Handler = (from: never, body: unknown) => unknown;

/** Daemons with a registry each, which reach each other after a delay. */
export class SuspectFleet {
  readonly timers: ManualTimerService = createManualTimers();

  readonly registries: SuspectRegistry[] = [];

  /** Attempts of each daemon. */
  readonly attempts: AttemptLedger[] = [];

  /** Messages sent to peers directly. */
  directMessages = 0;

  /** Replicas that the platform lists, by incarnation. */
  private readonly listed = new Map<string, ReplicaEntry>();

  private readonly ends: ReplicaEnds[] = [];

  private readonly replicaListeners: ReplicaListener[] = [];

  private readonly topics: TopicHandler<unknown>[] = [];

  private readonly handlers: Handler[] = [];

  private readonly addresses: readonly string[];

  /**
   * @param detector - Finds out whether a replica has crashed; by default all have whose attempts are cut.
   */
  constructor(
    size: number,
    private readonly detector: Pick<CrashDetector, 'hasCrashed' | 'forget'> = {
      hasCrashed: () => Promise.resolve(true),
      forget: () => undefined,
    },
  ) {
    this.addresses = Array.from({ length: size }, (_, index) => `d${index}`);
    this.start();
  }

  /** Replaces all daemons at one moment; the new ones know nothing. */
  restart(): void {
    for (const registry of this.registries) registry.stop();
    for (const ends of this.ends) ends.stop();
    for (const list of [this.registries, this.attempts, this.ends, this.topics, this.handlers])
      list.length = 0;
    this.replicaListeners.length = 0;
    this.start();
  }

  private start(): void {
    for (const address of this.addresses) this.registries.push(this.createRegistry(address));
  }

  /** Has a daemon find that a replica has crashed under some of its requests. */
  async crash(daemon: number, replica: string, ...names: string[]): Promise<void> {
    await this.crashUnder(daemon, replica, names.map(named));
  }

  async crashUnder(daemon: number, id: string, requests: readonly RequestFingerprints[]): Promise<void> {
    for (const request of requests)
      this.begin(daemon, id, request).end(AttemptEnd.Unanswered, this.timers.now());
    await this.registries[daemon]!.attemptCut({ id } as ReplicaEntry);
  }

  /** Lists an incarnation of a replica. */
  list(id: string): void {
    const [name] = id.split('.');
    const entry = { id, name, service: SERVICE, state: ReplicaState.Ready } as ReplicaEntry;
    this.listed.set(id, entry);
    for (const listener of this.replicaListeners) listener(id, entry, undefined);
  }

  /** Removes the entry of an incarnation. */
  unlist(id: string): void {
    const entry = this.listed.get(id);
    this.listed.delete(id);
    for (const listener of this.replicaListeners) listener(id, undefined, entry);
  }

  /** Begins an attempt of a daemon. */
  begin(daemon: number, replica: string, request: RequestFingerprints): FollowedAttempt {
    return this.attempts[daemon]!.begin({
      replica,
      service: SERVICE,
      route: 'route',
      shared: request.shared,
      fingerprints: () => request,
      isRelayed: false,
    });
  }

  suspicions(name: string): Suspicion[] {
    return this.registries.map((registry) => registry.suspicionOf(() => named(name)));
  }

  /** Hands a new daemon what another one tells it when it subscribes. */
  join(): SuspectRegistry {
    const snapshot = this.topics[0]!.snapshot().map((row) => this.topics[0]!.encode(row));
    const joined = this.createRegistry('joined');
    const topic = this.topics.at(-1)!;
    for (const frame of snapshot) topic.merge(topic.decode(frame));
    return joined;
  }

  private createRegistry(self: string): SuspectRegistry {
    const index = this.topics.length;
    const cluster = {
      aliveAddresses: () => this.addresses,
      handle: (type: MessageType, handler: Handler) => {
        if (type === MessageType.Suspects) this.handlers[index] = handler;
      },
      send: (address: string, _type: MessageType, body: unknown) => {
        this.directMessages += 1;
        this.timers.after(DIRECT_DELAY_MS, () =>
          this.handlers[this.addresses.indexOf(address)]!(undefined as never, body),
        );
      },
    };
    const tree = {
      register: (_topic: unknown, handler: TopicHandler<unknown>) => {
        this.topics[index] = handler;
      },
      publish: (_topic: unknown, row: unknown) => this.publish(index, row),
    };
    const { timers, detector } = this;
    const attempts = new AttemptLedger(timers);
    this.attempts[index] = attempts;
    const options = { self, cluster, tree, detector, attempts, timers, log: createSilentLog() };
    const suspects = new SuspectRegistry(options as unknown as SuspectRegistryOptions);
    this.ends[index] = this.createEnds(index, attempts, suspects);
    return suspects;
  }

  private createEnds(index: number, attempts: AttemptLedger, suspects: SuspectRegistry): ReplicaEnds {
    const registry = {
      onReplica: (listener: ReplicaListener) => this.replicaListeners.push(listener),
      replica: (id: string) => this.listed.get(id),
      all: () => this.listed.values(),
    };
    const witness = {
      ask: async (_service: string, [id]: readonly string[]) => {
        await this.timers.sleep(2 * DIRECT_DELAY_MS);
        const peers = this.attempts.filter((_one, peer) => peer !== index);
        const heardAt = Math.max(...peers.map((peer) => peer.lastHeardAt(id!) ?? 0));
        return { heardAt: new Map([[id!, heardAt]]), isReached: false };
      },
    };
    return new ReplicaEnds({
      registry,
      attempts,
      suspects,
      witness,
      paths: { causeOf: () => undefined },
      isRecovering: () => false,
      timers: this.timers,
      log: createSilentLog(),
    });
  }

  private publish(from: number, row: unknown): void {
    const frame = this.topics[from]!.encode(row);
    this.timers.after(TREE_DELAY_MS, () => {
      for (const [index, topic] of this.topics.entries())
        if (index !== from) topic.merge(topic.decode(frame));
    });
  }
}
