/** The dialling side of one connection. */
import { CeleryyokeError, WIRE_CODEC } from '@celeryyoke/core';
import type { CreateTRPCClient, TRPCWebSocketClient, WebSocketClientOptions } from '@trpc/client';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';

import type { BusContext } from './context.js';
import { agreeProtocol } from './handshake.js';
import type { Beat, Output } from './messages.js';
import { beatSchema, outputSchema, proofSchema, welcomeSchema } from './messages.js';
import type { HandshakeFacts } from './proof.js';
import { findProvedKey, makeNonce, prove, ProofSide } from './proof.js';
import type { PeerRouter } from './router.js';
import type { FrameSocket } from './socket.js';
import { dialSocketClass, ENVELOPE_BYTES } from './socket.js';
import type { PeerAddress, PeerIdentity } from './types.js';
import { fromWireError } from './wire-errors.js';

/** The kind of class that tRPC's client constructs; `ws` offers the same interface. */
type WebSocketClass = NonNullable<WebSocketClientOptions['WebSocket']>;

/** One connection that this daemon dialled. */
export class DialledSession {
  /** Aborts when the connection has ended. */
  readonly ended: AbortSignal;

  private readonly socket: WebSocketClientPair;

  private readonly api: CreateTRPCClient<PeerRouter>;

  constructor(
    private readonly bus: BusContext,
    private readonly target: PeerAddress,
  ) {
    this.socket = new WebSocketClientPair(bus, target);
    this.ended = this.socket.ended;
    this.api = createTRPCClient<PeerRouter>({ links: [wsLink<PeerRouter>({ client: this.socket.client })] });
  }

  /**
   * Proves the key and has the peer prove it.
   * @param signal - Gives up.
   * @returns The peer; its protocol is the version agreed on.
   * @throws CeleryyokeError with the code of the refusal, or PeerUnreachable.
   */
  async authenticate(signal: AbortSignal): Promise<PeerIdentity> {
    const { bus, target } = this;
    const diallerNonce = makeNonce();
    const hello = { identity: bus.self, oldestProtocol: bus.oldestProtocol, nonce: diallerNonce };
    const answer = await this.request(() => this.api.hello.mutate(hello, { signal }));
    const { identity, protocol, nonce } = welcomeSchema.parse(answer);
    // Another daemon may listen at the address that the list still gives.
    if (identity.name !== target.name) throw new CeleryyokeError('PeerStranger', { peer: identity.name });
    agreeProtocol({ oldest: bus.oldestProtocol, newest: bus.self.protocol }, identity, protocol);
    const facts: HandshakeFacts = {
      dialler: bus.self.name,
      diallerIncarnation: bus.self.incarnation,
      diallerNonce,
      listener: identity.name,
      listenerIncarnation: identity.incarnation,
      listenerNonce: nonce,
      protocol,
    };
    await this.exchangeProofs(facts, signal);
    const peer = { ...identity, protocol };
    bus.admit(peer);
    return peer;
  }

  /**
   * Sends a heartbeat.
   * @param beat - The heartbeat.
   * @param signal - Gives up.
   * @returns The acknowledgement.
   */
  async beat(beat: Beat, signal: AbortSignal): Promise<Beat> {
    return beatSchema.parse(await this.request(() => this.api.beat.mutate(beat, { signal })));
  }

  /**
   * Calls a procedure.
   * @param procedure - Its name.
   * @param input - Its input, packed.
   * @param signal - Gives up.
   * @returns Its output, packed.
   */
  async call(procedure: string, input: Uint8Array<ArrayBuffer>, signal: AbortSignal): Promise<Output> {
    return outputSchema.parse(
      await this.request(() => this.api.invoke.mutate({ procedure, input }, { signal })),
    );
  }

  /** Ends the connection at once. */
  end(): void {
    this.socket.end();
  }

  private async exchangeProofs(facts: HandshakeFacts, signal: AbortSignal): Promise<void> {
    const { bus, target } = this;
    const keys = bus.options.keys();
    const [key] = keys;
    if (key === undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: bus.self.name });
    const mine = { proof: prove(key, ProofSide.Dialler, facts) };
    const theirs = proofSchema.parse(await this.request(() => this.api.prove.mutate(mine, { signal })));
    if (findProvedKey([key], ProofSide.Listener, facts, theirs.proof) === undefined) {
      throw new CeleryyokeError('PeerKeyWrong', { peer: target.name });
    }
  }

  /** Turns what tRPC throws into errors with a result code. */
  private async request<T>(send: () => Promise<T>): Promise<T> {
    try {
      return await send();
    } catch (thrown) {
      const err = fromWireError(thrown);
      if (err !== undefined) throw err;
      throw new CeleryyokeError(
        'PeerUnreachable',
        { peer: this.target.name, sent: 'maybe' },
        { cause: thrown },
      );
    }
  }
}

/** A WebSocket with tRPC's client around it; the client's own redials stay unused, since the link's task redials. */
class WebSocketClientPair {
  readonly client: TRPCWebSocketClient;

  readonly ended: AbortSignal;

  private readonly sockets: FrameSocket[] = [];

  constructor(bus: BusContext, target: PeerAddress) {
    const { settings, gate, counters } = bus;
    const controller = new AbortController();
    this.ended = controller.signal;
    const Socket = dialSocketClass(gate, target.name, settings.maxMessageBytes + ENVELOPE_BYTES, (socket) => {
      this.sockets.push(socket);
      socket.on('message', (data) => counters.receivedBytes.add((data as ArrayBuffer).byteLength));
      socket.on('error', (err) => bus.log.debug(`Link to ${target.name} failed: ${err.message}.`));
      socket.once('close', () => {
        this.end();
        controller.abort(new CeleryyokeError('PeerUnreachable', { peer: target.name, sent: 'maybe' }));
      });
    });
    this.client = createWSClient({
      url: `ws://${target.address}`,
      WebSocket: Socket as unknown as WebSocketClass,
      experimental_encoder: WIRE_CODEC,
    });
  }

  end(): void {
    void this.client.close();
    for (const socket of this.sockets) socket.terminate();
  }
}
