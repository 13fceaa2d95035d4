/** The dialling side of one connection: performs the handshake and sends heartbeats and calls. */
import { CeleryyokeError, WIRE_CODEC } from '@celeryyoke/core';
import type { CreateTRPCClient, TRPCWebSocketClient, WebSocketClientOptions } from '@trpc/client';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';

import type { BusContext } from './context.js';
import { agreeProtocol } from './handshake.js';
import type { Heartbeat, Output } from './messages.js';
import { heartbeatSchema, outputSchema, proofSchema, welcomeSchema } from './messages.js';
import type { HandshakeFacts } from './proof.js';
import { findKeyOfProof, createNonce, prove, ProofSide } from './proof.js';
import type { PeerRouter } from './router.js';
import type { FrameSocket } from './socket.js';
import { createDialSocketClass, ENVELOPE_BYTES } from './socket.js';
import type { PeerAddress, PeerIdentity } from './types.js';
import { fromWireError } from './wire-errors.js';

/** WebSocket class as tRPC's client expects it; the class of `ws` has a compatible interface. */
type WebSocketClass = NonNullable<WebSocketClientOptions['WebSocket']>;

/** Client side of one connection that this daemon has dialled. */
export class DialledSession {
  /** Aborted when the connection has ended. */
  readonly ended: AbortSignal;

  private readonly client: TerminableClient;

  private readonly api: CreateTRPCClient<PeerRouter>;

  constructor(
    private readonly bus: BusContext,
    private readonly target: PeerAddress,
  ) {
    this.client = new TerminableClient(bus, target);
    this.ended = this.client.ended;
    this.api = createTRPCClient<PeerRouter>({ links: [wsLink<PeerRouter>({ client: this.client.client })] });
  }

  /**
   * Performs the handshake, in which both sides prove that they know the shared key.
   * @returns The peer; its protocol is the agreed version.
   * @throws CeleryyokeError PeerKeyWrong, PeerStranger, PeerVersionWrong or PeerSuperseded when either side
   * refuses, else PeerUnreachable.
   */
  async authenticate(signal: AbortSignal): Promise<PeerIdentity> {
    const { bus, target } = this;
    const diallerNonce = createNonce();
    const hello = { identity: bus.self, oldestProtocol: bus.oldestProtocol, nonce: diallerNonce };
    const response = await this.request(() => this.api.hello.mutate(hello, { signal }));
    const { identity, protocol, nonce } = welcomeSchema.parse(response);
    // The host list may be out of date, and another daemon may use the address now.
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
   * @returns The acknowledgement.
   */
  async sendHeartbeat(heartbeat: Heartbeat, signal: AbortSignal): Promise<Heartbeat> {
    return heartbeatSchema.parse(await this.request(() => this.api.beat.mutate(heartbeat, { signal })));
  }

  /**
   * Calls a procedure at the peer.
   * @param input - Its encoded input.
   * @throws CeleryyokeError PeerUnreachable, or what the handler threw.
   */
  async call(procedure: string, input: Uint8Array<ArrayBuffer>, signal: AbortSignal): Promise<Output> {
    return outputSchema.parse(
      await this.request(() => this.api.invoke.mutate({ procedure, input }, { signal })),
    );
  }

  /** Closes the connection at once. */
  end(): void {
    this.client.end();
  }

  private async exchangeProofs(facts: HandshakeFacts, signal: AbortSignal): Promise<void> {
    const { bus, target } = this;
    const keys = bus.options.keys();
    const [key] = keys;
    if (key === undefined) throw new CeleryyokeError('PeerKeyWrong', { peer: bus.self.name });
    const ownProof = { proof: prove(key, ProofSide.Dialler, facts) };
    const peerProof = proofSchema.parse(
      await this.request(() => this.api.prove.mutate(ownProof, { signal })),
    );
    if (findKeyOfProof([key], ProofSide.Listener, facts, peerProof.proof) === undefined) {
      throw new CeleryyokeError('PeerKeyWrong', { peer: target.name });
    }
  }

  /** Converts errors of tRPC into errors with a result code. */
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

/**
 * tRPC's WebSocket client together with its sockets, so that they can be terminated. The client's own
 * reconnects are unused, because the task of the link dials again.
 */
class TerminableClient {
  readonly client: TRPCWebSocketClient;

  readonly ended: AbortSignal;

  private readonly sockets: FrameSocket[] = [];

  constructor(bus: BusContext, target: PeerAddress) {
    const { settings, socketContext: gate, counters } = bus;
    const controller = new AbortController();
    this.ended = controller.signal;
    const Socket = createDialSocketClass(
      gate,
      target.name,
      settings.maxMessageBytes + ENVELOPE_BYTES,
      (socket) => {
        this.sockets.push(socket);
        socket.on('message', (data) => counters.receivedBytes.add((data as ArrayBuffer).byteLength));
        socket.on('error', (err) => bus.log.debug(`Link to ${target.name} failed: ${err.message}.`));
        socket.once('close', () => {
          this.end();
          controller.abort(new CeleryyokeError('PeerUnreachable', { peer: target.name, sent: 'maybe' }));
        });
      },
    );
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
