/**
 * One connection to a replica over undici's client.
 *
 * Each failure says whether a byte was handed to the connection. A response without a length counts as broken if its
 * connection is reset or does not take the whole request; undici itself would report it as complete.
 */
import type { Socket } from 'node:net';

import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { afterLateTurn, openSocket } from '@celeryyoke/core';
import type { Dispatcher } from 'undici';
import { Client } from 'undici';

import { ChunkBatch } from '../buffers/index.js';
import { EndGate } from './end-gate.js';
import { isFramed } from './framing.js';
import { HeadGuard } from './head-guard.js';
import { ReadGate } from './read-gate.js';
import { findHeadFault } from './response-head.js';
import { StatusLineGate } from './status-line-gate.js';
import { TrailerGuard } from './trailer-guard.js';
import type { ResponseSink, HeaderMap, ExchangeHandle, UpstreamCall } from './types.js';
import { ChannelFailure, ExchangePurpose } from './types.js';

/** What callers may have given up: in a late turn it waits until their connections have been read. */
const CALLER_PURPOSES: ReadonlySet<ExchangePurpose> = new Set([
  ExchangePurpose.Request,
  ExchangePurpose.Continuation,
]);
const FIRST_FINAL_STATUS = 200;
/** Largest number of interim responses to one request. */
const MAX_INTERIM_RESPONSES = 16;
/** Size below which a chunk is tiny, in bytes: it costs more time to parse than to send. */
const TINY_CHUNK_BYTES = 16;
/** Largest number of tiny chunks in a response: more than the tokens of any stream, and parsed in a fraction of a second. */
const MAX_TINY_CHUNKS = 65_536;
const NO_TIMEOUT = 0;
/** Idle timeout of a connection when the replica declares none of its own. */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/**
 * Subtracted from the idle timeout that a replica declares in whole seconds, so that the replica never closes
 * first.
 */
const IDLE_MARGIN_MS = 1000;
/** Upper bound of the idle timeout. */
const MAX_IDLE_TIMEOUT_MS = 20_000;
/**
 * Time for which the connection of a cancelled exchange is kept for the head of a response that is on its way, in
 * milliseconds: some round trips.
 */
const CANCEL_LINGER_MS = 50;
/** Time after which a connection that is being set up is reported as slow, in milliseconds. */
const SLOW_CONNECT_MS = 100;
/** Idle time before the first TCP keep-alive probe; the system sends the next ones each second. */
const KEEPALIVE_DELAY_MS = 1000;

/** Options of a {@link Channel}. */
export interface ChannelOptions {
  readonly host: string;
  readonly port: number;
  /** Address that the connection comes from; any when undefined. */
  readonly localAddress: string | undefined;
  readonly connectTimeoutMs: number;
  readonly timers: TimerService;
  /** Returns why an exchange must not be sent now; undefined when it may be. */
  readonly refusal: (purpose: ExchangePurpose) => string | undefined;
  /** Called with the head of each response. */
  readonly onResponseHead: (status: number, headers: HeaderMap, requestId: string | undefined) => void;
  readonly onConnected: () => void;
  readonly onConnectFailed: (err: Error) => void;
  /** Called when the connection takes longer than usual. */
  readonly onSlowConnect: () => void;
  /** Called once, when the channel takes no further exchange. */
  readonly onClosed: (channel: Channel) => void;
}

/** One connection with at most one exchange at a time; it connects with the first. */
export class Channel {
  /** Created with the first exchange. */
  private client: Client | undefined;

  /** Whether the connection failed, for instance by a reset, rather than being closed. */
  private wasReset = false;

  private isClosed = false;

  private socket: Socket | undefined;

  private readGate: ReadGate | undefined;

  private endGate: EndGate | undefined;

  private statusLineGate: StatusLineGate | undefined;

  private readonly heads = new HeadGuard();

  private readonly trailers = new TrailerGuard();

  /** Monotonic time at which the connection was established, in milliseconds. */
  private connectedAt: number | undefined;

  /** Whether the connection closes after the current exchange. */
  private isClosing = false;

  /** Whether a request was written whose response has not begun. */
  private isAwaitingHead = false;

  /** Ends the wait for the head of a cancelled exchange. */
  private cancelTimer: TimerHandle | undefined;

  constructor(private readonly options: ChannelOptions) {}

  /** Whether the channel can take another exchange. */
  get isUsable(): boolean {
    return !this.isClosed && !this.isClosing;
  }

  /** Whether the connection is established. */
  get isConnected(): boolean {
    const { socket } = this;
    return !this.isClosed && socket !== undefined && !socket.connecting && !socket.destroyed;
  }

  /**
   * Whether the connection was established by a monotonic time, is still open, and is being read.
   * @param at - Monotonic time, in milliseconds.
   */
  isConnectedSince(at: number): boolean {
    const { connectedAt = Number.POSITIVE_INFINITY } = this;
    return this.isConnected && connectedAt <= at && this.readGate?.isOpen === true;
  }

  /**
   * Sends a request.
   * @param sink - Called at each step of the exchange.
   */
  send(call: UpstreamCall, sink: ResponseSink): ExchangeHandle {
    const { refusal, onResponseHead } = this.options;
    const exchange = new Exchange({
      sink,
      refusal: () => refusal(call.purpose),
      onWritten: () => {
        this.isAwaitingHead = true;
        this.statusLineGate?.begin();
        this.heads.begin();
      },
      onResponseHead: (status, headers) => {
        this.isAwaitingHead = false;
        onResponseHead(status, headers, call.requestId);
      },
      onReport: () => this.trailers.recordReport(),
      wasReset: () => this.wasReset,
      reset: () => this.reset(),
      connectedAt: () => this.connectedAt,
      pause: () => this.readGate?.close(),
      resume: () => this.readGate?.open(),
      holdEnd: () => this.endGate?.hold(),
      onConnectionClosing: () => {
        this.isClosing = true;
      },
    });
    const options = {
      method: call.method,
      path: call.path,
      headers: call.headers as string[],
      body: call.body ?? null,
      idempotent: false,
    };
    const dispatch = (): void => {
      if (exchange.hasEnded) return;
      exchange.start(() => this.openClient().dispatch(options, exchange));
    };
    if (CALLER_PURPOSES.has(call.purpose)) afterLateTurn(this.options.timers, dispatch);
    else dispatch();
    return exchange;
  }

  /**
   * Ends a connection whose exchange was cancelled: at once, or when the head of a response that may be on its way
   * has arrived or has had time to, as it may declare something about the replica.
   */
  abandon(): void {
    this.isClosing = true;
    if (this.isAwaitingHead)
      this.cancelTimer = this.options.timers.after(CANCEL_LINGER_MS, () => this.reset());
    else this.reset();
  }

  /**
   * Resets the connection, so that bytes that a partition still holds are lost: an order or a request that
   * was cancelled must not arrive when the partition heals.
   */
  reset(): void {
    this.socket?.resetAndDestroy();
    this.close();
  }

  /** Closes the connection. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.cancelTimer?.cancel();
    this.options.onClosed(this);
    this.client?.destroy().catch(() => {
      // It only rejects when the client is being destroyed already.
    });
  }

  /**
   * Returns the client, which connects with its first request.
   * @throws Error if the channel is closed, or no connection to the address is possible.
   */
  private openClient(): Client {
    if (this.isClosed) throw new Error('The connection is closed.');
    this.client ??= this.createClient();
    return this.client;
  }

  private createClient(): Client {
    const { host, port, onConnectFailed } = this.options;
    try {
      const client = new Client(`http://${host}:${port}`, {
        pipelining: 1,
        headersTimeout: NO_TIMEOUT,
        bodyTimeout: NO_TIMEOUT,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
        connect: (_opts, callback) => this.connect(callback),
      });
      client.on('disconnect', () => this.close());
      client.on('connectionError', () => this.close());
      return client;
    } catch (err) {
      onConnectFailed(err as Error);
      throw err;
    }
  }

  private connect(callback: (...args: [null, Socket] | [Error, null]) => void): void {
    const { host, port, localAddress, connectTimeoutMs, timers } = this.options;
    const { onConnected, onConnectFailed, onSlowConnect } = this.options;
    // What is known of the process at the other end holds for one connection only, but undici would open
    // another one.
    if (this.socket !== undefined) {
      callback(new Error('The connection was closed and is not opened again.'), null);
      return;
    }
    const socket = openSocket({
      host,
      port,
      localAddress,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEPALIVE_DELAY_MS,
    });
    this.socket = socket;
    this.readGate = new ReadGate(socket, [this.heads, this.trailers]);
    this.endGate = new EndGate(socket);
    this.statusLineGate = new StatusLineGate(socket);
    const handOver = (): void => {
      if (socket.destroyed) callback(new Error('The connection has ended.'), null);
      else callback(null, socket);
    };
    let isSettled = false;
    const slowTimer = timers.after(SLOW_CONNECT_MS, onSlowConnect);
    const settle = (err: Error | undefined): void => {
      if (isSettled) return;
      isSettled = true;
      slowTimer.cancel();
      socket.setTimeout(0);
      if (err === undefined) {
        this.connectedAt = timers.now();
        onConnected();
        // Undici writes the request that waits for the connection in this step.
        afterLateTurn(timers, () => handOver());
      } else {
        onConnectFailed(err);
        callback(err, null);
      }
    };
    // Registered before undici's own listener, so that wasReset is set when undici reports the end of the
    // response.
    socket.on('error', (err) => {
      this.wasReset = true;
      settle(err);
    });
    socket.setTimeout(connectTimeoutMs, () => {
      settle(new Error(`No connection within ${connectTimeoutMs} ms.`));
      socket.destroy();
    });
    socket.once('connect', () => settle(undefined));
  }
}

/** What an exchange needs of its channel. */
interface ExchangeContext {
  readonly sink: ResponseSink;
  /** Returns why the request must not be written now; undefined when it may be. */
  readonly refusal: () => string | undefined;
  /** Called in the step that writes the request. */
  readonly onWritten: () => void;
  /** Called with the head of the response, also after a cancel. */
  readonly onResponseHead: (status: number, headers: HeaderMap) => void;
  /** Called whenever the parser reports something of the response, also after a cancel. */
  readonly onReport: () => void;
  readonly wasReset: () => boolean;
  /** Resets the connection. */
  readonly reset: () => void;
  readonly connectedAt: () => number | undefined;
  /** Stops reading from the connection. */
  readonly pause: () => void;
  /** Goes on reading from the connection. */
  readonly resume: () => void;
  /** Makes the connection end only after the whole request was written; a failed write is an error instead. */
  readonly holdEnd: () => void;
  readonly onConnectionClosing: () => void;
}

/** One exchange; undici calls its handler methods. */
class Exchange implements Dispatcher.DispatchHandler, ExchangeHandle {
  private controller: Dispatcher.DispatchController | undefined;

  hasEnded = false;

  private isStarting = false;

  private isCancelled = false;

  private isFramed = true;

  private hasHead = false;

  private interimResponses = 0;

  private tinyChunks = 0;

  private readonly batch = new ChunkBatch((bytes) => {
    if (!this.hasEnded) this.context.sink.onData(bytes);
  });

  constructor(private readonly context: ExchangeContext) {}

  /**
   * Starts the exchange. A failure meanwhile is reported in a later step, as all others are: callers do not have the
   * handle of the exchange yet.
   */
  start(dispatch: () => void): void {
    this.isStarting = true;
    try {
      dispatch();
    } catch (err) {
      this.fail(err as Error);
    } finally {
      this.isStarting = false;
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // undici may retry a request on a second connection when the first one closed; it must never be sent
    // twice.
    if (this.hasEnded || this.controller !== undefined) {
      controller.abort(new Error('The exchange has ended.'));
      this.fail(new Error('The connection closed before the response.'));
      return;
    }
    const refusal = this.context.refusal();
    if (refusal !== undefined) {
      const err = new Error(refusal);
      this.end(ChannelFailure.Withheld, err);
      controller.abort(err);
      return;
    }
    this.controller = controller;
    this.context.onWritten();
    this.context.sink.onSent();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderMap,
    reason?: string,
  ): void {
    this.context.onReport();
    const fault = findHeadFault(headers, reason);
    if (fault !== undefined) {
      this.refuse(fault);
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      this.recordInterimResponse();
      return;
    }
    const { sink, onResponseHead, onConnectionClosing, holdEnd } = this.context;
    this.hasHead = true;
    this.isFramed = isFramed(headers);
    if (!this.isFramed) holdEnd();
    onResponseHead(status, headers);
    if (this.hasEnded) {
      this.abort(controller, 'The exchange has ended.');
      return;
    }
    if (!this.isFramed || hasCloseHeader(headers)) onConnectionClosing();
    sink.onHead(status, headers);
  }

  private recordInterimResponse(): void {
    this.interimResponses += 1;
    if (this.interimResponses <= MAX_INTERIM_RESPONSES) return;
    this.refuse(`The replica sent more than ${MAX_INTERIM_RESPONSES} interim responses.`);
  }

  /** Ends the exchange, as its response can't be used. */
  private refuse(reason: string): void {
    this.fail(new Error(reason));
    this.context.reset();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.context.onReport();
    if (this.hasEnded) return;
    if (chunk.length < TINY_CHUNK_BYTES) this.tinyChunks += 1;
    if (this.tinyChunks <= MAX_TINY_CHUNKS) {
      this.batch.add(chunk);
      return;
    }
    this.refuse(`The replica sent more than ${MAX_TINY_CHUNKS} tiny chunks.`);
  }

  onResponseEnd(): void {
    this.context.onReport();
    this.batch.flush();
    if (this.hasEnded) return;
    if (!this.isFramed && this.context.wasReset()) {
      this.fail(new Error('The connection was reset during a response without a length.'));
      return;
    }
    this.hasEnded = true;
    this.context.resume();
    this.context.sink.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this.batch.flush();
    this.fail(err);
  }

  fail(err: Error): void {
    const failureAfterSend = this.isCancelled ? ChannelFailure.Cancelled : ChannelFailure.Broken;
    this.end(this.controller === undefined ? ChannelFailure.NotSent : failureAfterSend, err);
  }

  private end(failure: ChannelFailure, err: Error): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.context.resume();
    const report = (): void => this.context.sink.onFail(failure, err);
    if (this.isStarting) queueMicrotask(report);
    else report();
  }

  mayHaveArrived(): boolean {
    return this.controller !== undefined;
  }

  connectedAt(): number | undefined {
    return this.context.connectedAt();
  }

  pause(): void {
    if (!this.hasEnded) this.context.pause();
  }

  resume(): void {
    if (!this.hasEnded) this.context.resume();
  }

  cancel(reason: string): void {
    if (this.hasEnded) return;
    this.isCancelled = true;
    const { controller, hasHead } = this;
    this.fail(new Error(reason));
    // Without a head the channel decides when its connection ends.
    if (hasHead && controller !== undefined) this.abort(controller, reason);
  }

  /**
   * Ends the response at the replica. undici takes the end of the connection for that of a response without a length, and
   * throws if it was told to abort it.
   */
  private abort(controller: Dispatcher.DispatchController, reason: string): void {
    if (this.isFramed) controller.abort(new Error(reason));
    else this.context.reset();
  }
}

function hasCloseHeader({ connection }: HeaderMap): boolean {
  return String(connection ?? '')
    .toLowerCase()
    .includes('close');
}
