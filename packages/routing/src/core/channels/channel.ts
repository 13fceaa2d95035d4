/**
 * One connection to a replica over undici's client.
 *
 * It says of each failure whether a byte was handed to the connection, and treats an answer without a length that is
 * reset as broken, which the library itself takes for complete.
 */
import { connect, type Socket } from 'node:net';

import type { Dispatcher } from 'undici';
import { Client } from 'undici';

import type { AnswerSink, HeaderMap, RunningExchange, UpstreamCall } from './types.js';
import { ChannelFailure } from './types.js';

const FIRST_FINAL_STATUS = 200;
const NO_TIMEOUT = 0;
/** Idle time after which a connection is closed when the replica names no time of its own, in milliseconds. */
const DEFAULT_IDLE_MS = 400;
/** Taken off the idle time that a replica names in whole seconds, in milliseconds, so that it never closes first. */
const IDLE_MARGIN_MS = 1000;
/** Longest idle time in milliseconds. */
const MAX_IDLE_MS = 20_000;
/** First probe of a silent connection in milliseconds; the system sends the next ones each second. */
const PROBE_AFTER_MS = 1000;

/** Options of a channel. */
export interface ChannelOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs: number;
  /** Called once when the connection is of no further use. */
  readonly onClosed: (channel: Channel) => void;
}

/** One connection; at most one exchange at a time. */
export class Channel {
  private readonly client: Client;

  /** Whether the connection was reset rather than closed. */
  private wasReset = false;

  private isClosed = false;

  private socket: Socket | undefined;

  /** Whether the replica ends the connection with the answer at hand. */
  private isLast = false;

  /**
   * Makes a channel; it connects with its first exchange.
   * @param options - Where to.
   */
  constructor(private readonly options: ChannelOptions) {
    this.client = new Client(`http://${options.host}:${options.port}`, {
      pipelining: 1,
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      connect: (_opts, callback) => this.connect(callback),
    });
    this.client.on('disconnect', () => this.close());
    this.client.on('connectionError', () => this.close());
  }

  /** Whether it can take another exchange. */
  get isUsable(): boolean {
    return !this.isClosed && !this.isLast;
  }

  /**
   * Sends a request.
   * @param call - The request.
   * @param sink - Told of its steps.
   * @returns The running exchange.
   */
  send(call: UpstreamCall, sink: AnswerSink): RunningExchange {
    const exchange = new Exchange(
      sink,
      () => this.wasReset,
      () => {
        this.isLast = true;
      },
    );
    const options = {
      method: call.method,
      path: call.path,
      headers: call.headers as string[],
      body: call.body ?? null,
      idempotent: false,
    };
    try {
      this.client.dispatch(options, exchange);
    } catch (err) {
      exchange.fail(err as Error);
    }
    return exchange;
  }

  /**
   * Ends the connection with a reset, so that bytes that a partition still holds are lost: an order or a request that
   * was given up must not arrive when the partition heals.
   */
  reset(): void {
    this.socket?.resetAndDestroy();
    this.close();
  }

  /** Ends the connection. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.onClosed(this);
    this.client.destroy().catch(() => {
      // Destroying a client that is being destroyed is the only failure there is.
    });
  }

  private connect(callback: (...args: [null, Socket] | [Error, null]) => void): void {
    const { host, port, connectTimeoutMs } = this.options;
    // What is known of the process at the other end holds for one connection only; the library would set up another.
    if (this.socket !== undefined) {
      callback(new Error('The connection has ended.'), null);
      return;
    }
    const socket = connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: PROBE_AFTER_MS,
    });
    this.socket = socket;
    let isSettled = false;
    const settle = (err: Error | undefined): void => {
      if (isSettled) return;
      isSettled = true;
      socket.setTimeout(0);
      if (err === undefined) callback(null, socket);
      else callback(err, null);
    };
    // Registered before the library's own listener, so that it is known when the library asks.
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

/** One exchange; undici calls it back. */
class Exchange implements Dispatcher.DispatchHandler, RunningExchange {
  private controller: Dispatcher.DispatchController | undefined;

  private hasEnded = false;

  private isCancelled = false;

  private hasLength = true;

  constructor(
    private readonly sink: AnswerSink,
    private readonly wasReset: () => boolean,
    private readonly noteLast: () => void,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // The library may put a request on a second connection when the first closed; never send it twice.
    if (this.hasEnded || this.controller !== undefined) {
      controller.abort(new Error('The exchange is over.'));
      this.fail(new Error('The connection closed before the answer.'));
      return;
    }
    this.controller = controller;
    this.sink.onSent();
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HeaderMap): void {
    if (status < FIRST_FINAL_STATUS || this.hasEnded) return;
    this.hasLength = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    if (!this.hasLength || saysClose(headers)) this.noteLast();
    this.sink.onHead(status, headers);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.hasEnded) this.sink.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    if (!this.hasLength && this.wasReset()) {
      this.fail(new Error('The answer has no length and its connection was reset.'));
      return;
    }
    this.hasEnded = true;
    this.sink.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this.fail(err);
  }

  fail(err: Error): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const sent = this.isCancelled ? ChannelFailure.Cancelled : ChannelFailure.Broken;
    this.sink.onFail(this.controller === undefined ? ChannelFailure.NotSent : sent, err);
  }

  cancel(reason: string): void {
    if (this.hasEnded) return;
    this.isCancelled = true;
    const { controller } = this;
    this.fail(new Error(reason));
    controller?.abort(new Error(reason));
  }
}

function saysClose({ connection }: HeaderMap): boolean {
  return String(connection ?? '')
    .toLowerCase()
    .includes('close');
}
