/** Daemons with a registry of suspects each, on the virtual clock. */
import type { ManualTimerService, Suspicion } from '@celeryyoke/core';
import { createManualTimers, createSilentLog } from '@celeryyoke/core';

import type {
  FollowedAttempt,
  ReplicaEntry,
  RequestFingerprints,
  SuspectRegistryOptions,
  TopicHandler,
} from '../src/index.js';
import { AttemptEnd, AttemptLedger, MessageType, SuspectRegistry } from '../src/index.js';

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

  private readonly topics: TopicHandler<unknown>[] = [];

  private readonly handlers: Handler[] = [];

  private readonly addresses: readonly string[];

  constructor(size: number) {
    this.addresses = Array.from({ length: size }, (_, index) => `d${index}`);
    for (const address of this.addresses) this.registries.push(this.createRegistry(address));
  }

  /** Has a daemon find that a replica has crashed under some of its requests. */
  async crash(daemon: number, replica: string, ...names: string[]): Promise<void> {
    await this.crashUnder(daemon, replica, names.map(named));
  }

  async crashUnder(daemon: number, id: string, requests: readonly RequestFingerprints[]): Promise<void> {
    for (const request of requests) this.begin(daemon, id, request).end(AttemptEnd.Unanswered);
    await this.registries[daemon]!.attemptCut({ id } as ReplicaEntry);
  }

  /** Begins an attempt of a daemon. */
  begin(daemon: number, replica: string, request: RequestFingerprints): FollowedAttempt {
    return this.attempts[daemon]!.begin({
      replica,
      service: 'llm',
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
    const detector = { hasCrashed: () => Promise.resolve(true) };
    const { timers } = this;
    const attempts = new AttemptLedger(timers);
    this.attempts[index] = attempts;
    const options = { self, cluster, tree, detector, attempts, timers, log: createSilentLog() };
    return new SuspectRegistry(options as unknown as SuspectRegistryOptions);
  }

  private publish(from: number, row: unknown): void {
    const frame = this.topics[from]!.encode(row);
    this.timers.after(TREE_DELAY_MS, () => {
      for (const [index, topic] of this.topics.entries())
        if (index !== from) topic.merge(topic.decode(frame));
    });
  }
}
