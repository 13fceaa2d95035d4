/** Peer buses that share one process instead of a network, for unit tests of the parts that use a bus. */
import { CeleryyokeError, decode, encode } from '@celeryyoke/core';

import type {
  HeartbeatSection,
  ManagedPeerBus,
  PeerCallOptions,
  PeerDirectory,
  PeerEvent,
  PeerHandler,
  PeerIdentity,
  PeerProcedure,
} from './types.js';
import { PeerEventKind } from './types.js';

/** A small net of daemons in one process; values still pass through the wire's codec. */
export interface MemoryPeerNet {
  /**
   * Adds a daemon, or replaces the one of the same name, as after a restart.
   * @param identity - The daemon; its domain, incarnation and protocol may be left out.
   * @returns Its bus.
   */
  join(identity: Pick<PeerIdentity, 'name'> & Partial<PeerIdentity>): ManagedPeerBus;
  /**
   * Takes a daemon away, as after a crash.
   * @param name - The daemon.
   */
  leave(name: string): void;
  /**
   * Cuts a link one way: neither calls nor heartbeats pass, nor do answers to calls of the other way.
   * @param from - The daemon that sends.
   * @param to - The daemon that would receive.
   */
  cut(from: string, to: string): void;
  /**
   * Mends a link that was cut; all of them when no names are given.
   * @param from - The daemon that sends.
   * @param to - The daemon that receives.
   */
  mend(from?: string, to?: string): void;
  /**
   * Sends one heartbeat from every daemon to every other that it reaches.
   * @param passes - Further links that are cut for this heartbeat alone, as to a paused process.
   */
  beat(passes?: (from: string, to: string) => boolean): void;
}

function copy(value: unknown): unknown {
  return value === undefined ? undefined : decode(encode(value));
}

type AnyHandler = (raw: unknown, from: PeerIdentity) => Promise<unknown>;

/** One daemon's end of the net. */
class MemoryBus implements ManagedPeerBus {
  readonly handlers = new Map<string, AnyHandler>();

  readonly sections = new Map<string, HeartbeatSection>();

  private readonly listeners = new Set<(event: PeerEvent) => void>();

  private linked: ReadonlySet<string> | undefined;

  private readonly port = 0;

  constructor(
    readonly self: PeerIdentity,
    private readonly net: MemoryNet,
  ) {}

  private hear(peer: PeerIdentity): void {
    for (const listener of this.listeners) listener({ kind: PeerEventKind.Heard, name: peer.name, peer });
  }

  handle<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.handlers.set(procedure.name, (raw, from) => handler(procedure.parse(raw), from));
  }

  contribute(section: HeartbeatSection): void {
    this.sections.set(section.name, section);
  }

  async call<Input, Output>(
    peer: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    options: PeerCallOptions,
  ): Promise<Output> {
    options.signal?.throwIfAborted();
    if (peer === this.self.name) return this.callSelf(procedure, input);
    const target = this.net.reach(this.self.name, peer);
    const handler = target?.handlers.get(procedure.name);
    if (handler === undefined) throw new CeleryyokeError('PeerUnreachable', { peer });
    const output = await handler(copy(input), this.self);
    if (this.net.reach(peer, this.self.name) !== this) throw new CeleryyokeError('PeerUnreachable', { peer });
    return copy(output) as Output;
  }

  private async callSelf<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    input: Input,
  ): Promise<Output> {
    const handler = this.handlers.get(procedure.name);
    if (handler === undefined)
      throw new CeleryyokeError('PeerProcedureUnknown', { procedure: procedure.name });
    return (await handler(copy(input), this.self)) as Output;
  }

  start(): Promise<number> {
    return Promise.resolve(this.port);
  }

  stop(): Promise<void> {
    this.net.leave(this.self.name);
    return Promise.resolve();
  }

  updatePeers({ linked }: PeerDirectory): void {
    this.linked = linked;
  }

  subscribe(listener: (event: PeerEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  beat(peer: MemoryBus): void {
    if (this.linked !== undefined && !this.linked.has(peer.self.name)) return;
    peer.hear(this.self);
    this.sendSections(peer);
    // A heartbeat counts when it was acknowledged; the acknowledgement carries what no heartbeat of the peer will.
    if (this.net.reach(peer.self.name, this.self.name) !== this) return;
    this.hear(peer.self);
    if (peer.linked?.has(this.self.name) === false) peer.sendSections(this);
  }

  private sendSections(peer: MemoryBus): void {
    for (const section of this.sections.values()) {
      const data = section.collect(peer.self.name);
      if (data !== undefined) peer.sections.get(section.name)?.absorb(this.self, copy(data));
    }
  }
}

/** The net that joins the buses. */
class MemoryNet implements MemoryPeerNet {
  private readonly buses = new Map<string, MemoryBus>();

  private readonly cuts = new Set<string>();

  join(identity: Pick<PeerIdentity, 'name'> & Partial<PeerIdentity>): ManagedPeerBus {
    const bus = new MemoryBus({ incarnation: 1, domain: 'domain-a', protocol: 1, ...identity }, this);
    this.buses.set(identity.name, bus);
    return bus;
  }

  leave(name: string): void {
    this.buses.delete(name);
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  mend(from?: string, to?: string): void {
    if (from === undefined) this.cuts.clear();
    else this.cuts.delete(`${from}>${to}`);
  }

  reach(from: string, to: string): MemoryBus | undefined {
    return this.cuts.has(`${from}>${to}`) ? undefined : this.buses.get(to);
  }

  beat(passes: (from: string, to: string) => boolean = () => true): void {
    for (const bus of this.buses.values()) {
      for (const name of this.buses.keys()) {
        const peer = this.reach(bus.self.name, name);
        if (peer !== undefined && peer !== bus && passes(bus.self.name, name)) bus.beat(peer);
      }
    }
  }
}

/**
 * Makes an empty net.
 * @returns The net.
 */
export function createMemoryPeerNet(): MemoryPeerNet {
  return new MemoryNet();
}
