/** In-process peer buses without sockets or timers, for unit tests of the modules that use a bus. */
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

/** Connects daemons in one process; values between daemons are encoded and decoded as on the wire. */
export interface MemoryPeerNet {
  /**
   * Adds a daemon, or replaces the one of the same name, as after a restart.
   * @param identity - The daemon; domain, incarnation and protocol have defaults.
   */
  join(identity: Pick<PeerIdentity, 'name'> & Partial<PeerIdentity>): ManagedPeerBus;
  /** Removes a daemon, as after a crash. */
  leave(name: string): void;
  /**
   * Blocks one direction: drops calls and heartbeats, and the responses to calls of the opposite direction.
   * @param from - The sending daemon.
   * @param to - The receiving daemon.
   */
  blockDirection(from: string, to: string): void;
  /**
   * Unblocks one direction, or all of them when no names are given.
   * @param from - The sending daemon.
   * @param to - The receiving daemon.
   */
  unblockDirection(from?: string, to?: string): void;
  /**
   * Sends one heartbeat from every daemon to every other daemon that it can reach and keeps a link to.
   * @param passes - Whether the heartbeat in a direction is sent; all are by default. Tests use it to simulate
   * paused processes.
   */
  exchangeHeartbeats(passes?: (from: string, to: string) => boolean): void;
}

function copy(value: unknown): unknown {
  return value === undefined ? undefined : decode(encode(value));
}

type UncheckedHandler = (raw: unknown, from: PeerIdentity) => Promise<unknown>;

/** The bus of one daemon. */
class MemoryBus implements ManagedPeerBus {
  readonly handlers = new Map<string, UncheckedHandler>();

  readonly sections = new Map<string, HeartbeatSection>();

  private readonly listeners = new Set<(event: PeerEvent) => void>();

  private linked: ReadonlySet<string> | undefined;

  private readonly port = 0;

  constructor(
    readonly self: PeerIdentity,
    private readonly net: MemoryNet,
  ) {}

  private emitHeartbeat(peer: PeerIdentity): void {
    for (const listener of this.listeners)
      listener({ kind: PeerEventKind.HeartbeatExchanged, name: peer.name, peer });
  }

  handle<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.handlers.set(procedure.name, (raw, from) => handler(procedure.parse(raw), from));
  }

  addHeartbeatSection(section: HeartbeatSection): void {
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
    const target = this.net.reachableBus(this.self.name, peer);
    const handler = target?.handlers.get(procedure.name);
    if (handler === undefined) throw new CeleryyokeError('PeerUnreachable', { peer });
    const output = await handler(copy(input), this.self);
    if (this.net.reachableBus(peer, this.self.name) !== this)
      throw new CeleryyokeError('PeerUnreachable', { peer });
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

  sendHeartbeat(peer: MemoryBus): void {
    if (this.linked !== undefined && !this.linked.has(peer.self.name)) return;
    peer.emitHeartbeat(this.self);
    this.sendSections(peer);
    // The sender regards a heartbeat as exchanged once the peer acknowledges it. The acknowledgement carries
    // the peer's sections if the peer sends no heartbeats of its own.
    if (this.net.reachableBus(peer.self.name, this.self.name) !== this) return;
    this.emitHeartbeat(peer.self);
    if (peer.linked?.has(this.self.name) === false) peer.sendSections(this);
  }

  private sendSections(peer: MemoryBus): void {
    for (const section of this.sections.values()) {
      const data = section.collect(peer.self.name);
      if (data !== undefined) peer.sections.get(section.name)?.merge(this.self, copy(data));
    }
  }
}

/** The buses by name, and the directions that are blocked. */
class MemoryNet implements MemoryPeerNet {
  private readonly buses = new Map<string, MemoryBus>();

  private readonly blockedDirections = new Set<string>();

  join(identity: Pick<PeerIdentity, 'name'> & Partial<PeerIdentity>): ManagedPeerBus {
    const bus = new MemoryBus({ incarnation: 1, domain: 'domain-a', protocol: 1, ...identity }, this);
    this.buses.set(identity.name, bus);
    return bus;
  }

  leave(name: string): void {
    this.buses.delete(name);
  }

  blockDirection(from: string, to: string): void {
    this.blockedDirections.add(`${from}>${to}`);
  }

  unblockDirection(from?: string, to?: string): void {
    if (from === undefined) this.blockedDirections.clear();
    else this.blockedDirections.delete(`${from}>${to}`);
  }

  reachableBus(from: string, to: string): MemoryBus | undefined {
    return this.blockedDirections.has(`${from}>${to}`) ? undefined : this.buses.get(to);
  }

  exchangeHeartbeats(passes: (from: string, to: string) => boolean = () => true): void {
    for (const bus of this.buses.values()) {
      for (const name of this.buses.keys()) {
        const peer = this.reachableBus(bus.self.name, name);
        if (peer !== undefined && peer !== bus && passes(bus.self.name, name)) bus.sendHeartbeat(peer);
      }
    }
  }
}

/** Creates an in-process network without daemons. */
export function createMemoryPeerNet(): MemoryPeerNet {
  return new MemoryNet();
}
