/** Daemons with a registry of suspects each, on the virtual clock. */
import type { DecisionLog, ManualTimerService, Suspicion } from '@celeryyoke/core';
import { createManualTimers, createSilentLog } from '@celeryyoke/core';

import type {
  CrashDetector,
  FollowedAttempt,
  ReplicaEntry,
  ReplicaListener,
  RequestFingerprints,
  SuspectRegistryOptions,
  SuspectRow,
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

  /** Listeners of each daemon. */
  private readonly replicaListeners: ReplicaListener[][] = [];

  /** Whether daemons of even and of odd number do not reach each other. */
  private isDivided = false;

  private readonly topics: TopicHandler<unknown>[] = [];

  private readonly handlers: Handler[] = [];

  private readonly addresses: readonly string[];

  /**
   * @param detector - Finds out whether a replica has crashed; by default all have whose attempts are cut.
   * @param log - Log of all daemons.
   */
  constructor(
    size: number,
    private readonly detector: Pick<CrashDetector, 'hasCrashed' | 'forget'> = {
      hasCrashed: () => Promise.resolve(true),
      forget: () => undefined,
    },
    private readonly log: DecisionLog = createSilentLog(),
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

  /** Replaces one daemon; the new one is told what a peer knows. */
  restartOne(daemon: number): void {
    this.registries[daemon]!.stop();
    this.ends[daemon]!.stop();
    this.registries[daemon] = this.createRegistry(this.addresses[daemon]!, daemon);
    this.tell((daemon + 1) % this.addresses.length, daemon);
  }

  /** Divides the daemons into two parts that do not reach each other. */
  divide(): void {
    this.isDivided = true;
  }

  /** Has all daemons reach each other again; each part is told what the other one knows. */
  heal(): void {
    this.isDivided = false;
    for (const daemon of this.addresses.keys()) this.tell(daemon % 2 === 0 ? 1 : 0, daemon, DIRECT_DELAY_MS);
  }

  private start(): void {
    for (const [index, address] of this.addresses.entries())
      this.registries.push(this.createRegistry(address, index));
  }

  private reaches(from: number, to: number): boolean {
    return !this.isDivided || from % 2 === to % 2;
  }

  /** Tells a daemon what another one knows. */
  private tell(from: number, to: number, delayMs = 0): void {
    const frames = this.topics[from]!.snapshot().map((row) => this.topics[from]!.encode(row));
    this.timers.after(delayMs, () => {
      for (const frame of frames) this.topics[to]!.merge(this.topics[to]!.decode(frame));
    });
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
    for (const listener of this.replicaListeners.flat()) listener(id, entry, undefined);
  }

  /** Removes the entry of an incarnation. */
  unlist(id: string): void {
    const entry = this.listed.get(id);
    this.listed.delete(id);
    for (const listener of this.replicaListeners.flat()) listener(id, undefined, entry);
  }

  /** Begins an attempt of a daemon, which a peer carries out if it is relayed. */
  begin(
    daemon: number,
    replica: string,
    request: RequestFingerprints,
    isRelayed = false,
    route = 'route',
  ): FollowedAttempt {
    return this.attempts[daemon]!.begin({
      replica,
      service: SERVICE,
      route,
      shared: request.shared,
      fingerprints: () => request,
      isRelayed,
    });
  }

  /** Hands a daemon a row that a peer has published. */
  mergeAt(daemon: number, row: SuspectRow): void {
    const topic = this.topics[daemon]!;
    topic.merge(topic.decode(topic.encode(row)));
  }

  suspicions(name: string): Suspicion[] {
    return this.registries.map((registry) => registry.suspicionOf(() => named(name)));
  }

  /** Hands a new daemon what another one tells it when it subscribes. */
  join(): SuspectRegistry {
    const snapshot = this.topics[0]!.snapshot().map((row) => this.topics[0]!.encode(row));
    const joined = this.createRegistry('joined', this.topics.length);
    const topic = this.topics.at(-1)!;
    for (const frame of snapshot) topic.merge(topic.decode(frame));
    return joined;
  }

  private createRegistry(self: string, index: number): SuspectRegistry {
    const cluster = {
      aliveAddresses: () => this.addresses,
      handle: (type: MessageType, handler: Handler) => {
        if (type === MessageType.Suspects) this.handlers[index] = handler;
      },
      send: (address: string, _type: MessageType, body: unknown) => {
        this.directMessages += 1;
        const to = this.addresses.indexOf(address);
        if (!this.reaches(index, to)) return;
        this.timers.after(DIRECT_DELAY_MS, () => this.handlers[to]!(undefined as never, body));
      },
    };
    const tree = {
      register: (_topic: unknown, handler: TopicHandler<unknown>) => {
        this.topics[index] = handler;
      },
      publish: (_topic: unknown, row: unknown) => this.publish(index, row),
    };
    const { timers, detector, log } = this;
    const attempts = new AttemptLedger(timers);
    this.attempts[index] = attempts;
    const options = { self, cluster, tree, detector, attempts, timers, log };
    const suspects = new SuspectRegistry(options as unknown as SuspectRegistryOptions);
    this.ends[index] = this.createEnds(index, attempts, suspects);
    return suspects;
  }

  private createEnds(index: number, attempts: AttemptLedger, suspects: SuspectRegistry): ReplicaEnds {
    this.replicaListeners[index] = [];
    const registry = {
      onReplica: (listener: ReplicaListener) => this.replicaListeners[index]!.push(listener),
      replica: (id: string) => this.listed.get(id),
      all: () => this.listed.values(),
    };
    const witness = {
      ask: async (_service: string, [id]: readonly string[]) => {
        await this.timers.sleep(2 * DIRECT_DELAY_MS);
        const peers = this.attempts.filter((_one, peer) => peer !== index && this.reaches(index, peer));
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
        if (index !== from && this.reaches(from, index)) topic.merge(topic.decode(frame));
    });
  }
}
