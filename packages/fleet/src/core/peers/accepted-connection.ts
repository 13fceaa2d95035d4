/** The listening side of one connection: it refuses strangers, then serves heartbeats and calls. */
import { CeleryyokeError, toCeleryyokeError } from '@celeryyoke/core';

import type { BusContext } from './context.js';
import { agreeProtocol } from './handshake.js';
import type { Beat, Call, Hello, Output, Proof, Welcome } from './messages.js';
import type { HandshakeFacts } from './proof.js';
import { findProvedKey, makeNonce, prove, ProofSide } from './proof.js';
import type { FrameSocket } from './socket.js';
import type { PeerIdentity } from './types.js';
import { PeerEventKind } from './types.js';

const UNNAMED = 'unnamed peer';

/** One accepted connection. */
export class AcceptedLink {
  private peer: PeerIdentity | undefined;

  private facts: HandshakeFacts | undefined;

  private isProved = false;

  constructor(
    private readonly bus: BusContext,
    readonly socket: FrameSocket,
  ) {}

  /** Whether the peer has proved the key. */
  get proved(): boolean {
    return this.isProved;
  }

  /** The peer, as soon as it has proved the key. */
  get identity(): PeerIdentity | undefined {
    return this.isProved ? this.peer : undefined;
  }

  /**
   * Takes the dialler's first message and answers with a challenge.
   * @param hello - The message.
   * @returns The challenge.
   */
  greet(hello: Hello): Welcome {
    return this.guard(hello.identity.name, () => {
      const { bus } = this;
      const { identity } = hello;
      if (this.facts !== undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: identity.name });
      this.socket.peer = identity.name;
      const range = { oldest: bus.oldestProtocol, newest: bus.self.protocol };
      const protocol = agreeProtocol(range, identity, hello.oldestProtocol);
      const nonce = makeNonce();
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
   * Checks the dialler's proof and answers with this side's.
   * @param message - The proof.
   * @returns The proof of this side, made with the same key.
   */
  prove(message: Proof): Proof {
    const name = this.peer?.name ?? UNNAMED;
    return this.guard(name, () => {
      const { bus, facts, peer } = this;
      if (facts === undefined || peer === undefined)
        throw new CeleryyokeError('PeerKeyWrong', { peer: name });
      const key = findProvedKey(bus.options.keys(), ProofSide.Dialler, facts, message.proof);
      if (key === undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: name });
      // Only who knows the key may learn who is on the list.
      if (!bus.isListed(name)) throw new CeleryyokeError('PeerStranger', { peer: name });
      bus.admit(peer);
      this.isProved = true;
      bus.tell(PeerEventKind.Met, peer.name, peer);
      return { proof: prove(key, ProofSide.Listener, facts) };
    });
  }

  /**
   * Takes in a heartbeat; a late or repeated one is acknowledged but not taken in.
   * @param beat - The heartbeat.
   * @returns The acknowledgement, with sections when this daemon sends the peer no heartbeats of its own.
   */
  beat(beat: Beat): Beat {
    const peer = this.requirePeer();
    const { bus } = this;
    bus.tell(PeerEventKind.Heard, peer.name, peer);
    bus.takeIn(peer, beat);
    return bus.makeBeat(peer.name, !bus.beats(peer.name));
  }

  /**
   * Serves a call.
   * @param call - The call.
   * @returns Its output.
   */
  async serve(call: Call): Promise<Output> {
    const peer = this.requirePeer();
    return { output: await this.bus.procedures.runPacked(call.procedure, call.input, peer) };
  }

  private requirePeer(): PeerIdentity {
    const { peer, isProved } = this;
    if (peer === undefined || !isProved) {
      this.socket.terminate();
      throw new CeleryyokeError('PeerKeyWrong', { peer: peer?.name ?? UNNAMED });
    }
    return peer;
  }

  /** Runs a step of the handshake; a failure is recorded, answered, and ends the connection. */
  private guard<T>(name: string, step: () => T): T {
    try {
      return step();
    } catch (thrown) {
      this.bus.refuse(name, toCeleryyokeError(thrown));
      // The answer must leave before the connection ends.
      setImmediate(() => this.socket.close());
      throw thrown;
    }
  }
}
