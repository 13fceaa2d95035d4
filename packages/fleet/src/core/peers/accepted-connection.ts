/**
 * The listening side of one connection: performs the handshake, which refuses peers that lack the shared key
 * or are not on the host list, and then serves heartbeats and calls.
 */
import { CeleryyokeError, toCeleryyokeError } from '@celeryyoke/core';

import type { BusContext } from './context.js';
import { agreeProtocol } from './handshake.js';
import type { Heartbeat, Call, Hello, Output, Proof, Welcome } from './messages.js';
import type { HandshakeFacts } from './proof.js';
import { findKeyOfProof, createNonce, prove, ProofSide } from './proof.js';
import type { FrameSocket } from './socket.js';
import type { PeerIdentity } from './types.js';
import { PeerEventKind } from './types.js';

const UNNAMED_PEER = 'unnamed peer';

/** Server side of one connection that a peer has opened. */
export class AcceptedConnection {
  private peer: PeerIdentity | undefined;

  private facts: HandshakeFacts | undefined;

  private hasProvedKey = false;

  constructor(
    private readonly bus: BusContext,
    readonly socket: FrameSocket,
  ) {}

  /** Whether the peer has proved that it knows a shared key, and is on the host list. */
  get isAuthenticated(): boolean {
    return this.hasProvedKey;
  }

  /** The peer; undefined until it is authenticated. */
  get authenticatedPeer(): PeerIdentity | undefined {
    return this.hasProvedKey ? this.peer : undefined;
  }

  /**
   * Handles the dialler's first message: agrees on a protocol version and issues a challenge. A second hello
   * on the same connection is refused.
   * @throws CeleryyokeError PeerKeyWrong or PeerVersionWrong; the connection is then closed.
   */
  handleHello(hello: Hello): Welcome {
    return this.runHandshakeStep(hello.identity.name, () => {
      const { bus } = this;
      const { identity } = hello;
      if (this.facts !== undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: identity.name });
      this.socket.peer = identity.name;
      const range = { oldest: bus.oldestProtocol, newest: bus.self.protocol };
      const protocol = agreeProtocol(range, identity, hello.oldestProtocol);
      const nonce = createNonce();
      this.peer = { ...identity, protocol };
      this.facts = {
        dialler: identity.name,
        diallerIncarnation: identity.incarnation,
        diallerNonce: hello.nonce,
        listener: bus.self.name,
        listenerIncarnation: bus.self.incarnation,
        listenerNonce: nonce,
        protocol,
      };
      return { identity: bus.self, protocol, nonce };
    });
  }

  /**
   * Checks the dialler's proof and authenticates the peer.
   * @returns The proof of this side, made with the same key.
   * @throws CeleryyokeError PeerKeyWrong, PeerStranger or PeerSuperseded; the connection is then closed.
   */
  handleProof(message: Proof): Proof {
    const name = this.peer?.name ?? UNNAMED_PEER;
    return this.runHandshakeStep(name, () => {
      const { bus, facts, peer } = this;
      if (facts === undefined || peer === undefined)
        throw new CeleryyokeError('PeerKeyWrong', { peer: name });
      const key = findKeyOfProof(bus.options.keys(), ProofSide.Dialler, facts, message.proof);
      if (key === undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: name });
      // Checked after the key, so that only peers that know the key can find out who is on the host list.
      if (!bus.isListed(name)) throw new CeleryyokeError('PeerStranger', { peer: name });
      bus.admit(peer);
      this.hasProvedKey = true;
      bus.emit(PeerEventKind.Authenticated, peer.name, peer);
      return { proof: prove(key, ProofSide.Listener, facts) };
    });
  }

  /**
   * Merges the sections of a heartbeat; a late or duplicated heartbeat is acknowledged but not merged.
   * @returns The acknowledgement, with sections when this daemon sends the peer no heartbeats of its own.
   */
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat {
    const peer = this.requirePeer();
    const { bus } = this;
    bus.emit(PeerEventKind.HeartbeatExchanged, peer.name, peer);
    bus.mergeSections(peer, heartbeat);
    return bus.createHeartbeat(peer.name, !bus.sendsHeartbeatsTo(peer.name));
  }

  /**
   * Runs the called procedure.
   * @throws CeleryyokeError PeerKeyWrong before the handshake, PeerProcedureUnknown, PeerMessageTooLarge, or
   * what the handler throws.
   */
  async handleCall(call: Call): Promise<Output> {
    const peer = this.requirePeer();
    return { output: await this.bus.procedures.runEncoded(call.procedure, call.input, peer) };
  }

  private requirePeer(): PeerIdentity {
    const { peer, hasProvedKey } = this;
    if (peer === undefined || !hasProvedKey) {
      this.socket.terminate();
      throw new CeleryyokeError('PeerKeyWrong', { peer: peer?.name ?? UNNAMED_PEER });
    }
    return peer;
  }

  /** Runs a step of the handshake; a failure is recorded, sent to the peer, and closes the connection. */
  private runHandshakeStep<T>(name: string, step: () => T): T {
    try {
      return step();
    } catch (thrown) {
      this.bus.recordRefusal(name, toCeleryyokeError(thrown));
      // The error response must be sent before the connection is closed.
      setImmediate(() => this.socket.close());
      throw thrown;
    }
  }
}
