/**
 * HTTP server for callers: accepts and authenticates requests, has them served, and shuts down without
 * interrupting any.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as NetServer } from 'node:net';

import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';
import { afterLateTurn, hash32, startListening } from '@celeryyoke/core';

import type { ClientAccount } from '../accounts/index.js';
import { authenticate, AuthOutcome } from '../accounts/index.js';
import { BudgetedBuffer } from '../buffers/index.js';
import { InputTurns, PacedInput } from '../input/index.js';
import type { Route, RouteTable } from '../catalog/index.js';
import type { ReplicaRegistry } from '../view/index.js';
import type { RefusalKind, ReplyHints } from './local-reply.js';
import { LocalReply, sendLocalReply, sendRefusal } from './local-reply.js';
import { BodyProblem, readCallerBody } from './body.js';
import { CallerConnections } from './caller-connection.js';
import type { RequestExecutionOptions, ExecutionDependencies } from './execution.js';
import { RequestExecution } from './execution.js';
import { breakOff, OpenResponses } from './response-end.js';
import { NotRunProof, RunRecord } from './run-record.js';
import { SHUTTING_DOWN } from './shutdown.js';
import type { RequestHead } from './types.js';
import { requestTimeoutMs } from './types.js';

/** Time after which a caller may retry at a daemon without a configuration, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;
/** Time after which a caller may retry at a daemon that has no memory for its body, in milliseconds. */
const NO_MEMORY_RETRY_MS = 500;
/** Age of the view above which a key that it lacks may have been added since, in milliseconds. */
const MAX_KEY_VIEW_AGE_MS = 1500;
/** Timeouts until the first configuration, which replaces them, in milliseconds. */
const DEFAULT_HEADER_TIMEOUT_MS = 3000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Largest request head, in bytes; Node.js accepts it only when the server is created. */
const MAX_HEAD_BYTES = 16_384;
/** Interval between checks for request heads that are overdue, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Time in which an overdue head may still be read from its socket, in milliseconds. */
const LATE_HEAD_GRACE_MS = 100;
/** Time for which a connection that was rejected stays open, so that its caller can read why, in milliseconds. */
const REJECTED_LINGER_MS = 500;
/** Timeout of a whole request including its body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;
/** Length of the queue of connections that wait to be accepted. */
const BACKLOG = 1024;
/** Descriptors for what is not a caller's: listeners, peers, the store, orders. */
const RESERVED_DESCRIPTORS = 300;
/** Descriptors of a request: those of its caller's connection and of one to a replica. */
const DESCRIPTORS_PER_REQUEST = 2;
/** Number of steps into which the sum of the weights of a route is divided. */
const WEIGHT_SCALE = 1_000_000;
const MALFORMED_EVENT_ID = 'The id of the last event is malformed.';
/** Error code of Node.js for a request that is not complete in time. */
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Why a body was not read to its end, and when its caller may retry. */
const UNREAD_BODIES = {
  [BodyProblem.NoMemory]: { reason: 'No memory is left for the body.', retryAfterMs: NO_MEMORY_RETRY_MS },
  [BodyProblem.ShuttingDown]: { reason: SHUTTING_DOWN, retryAfterMs: 0 },
} as const;

/** Why a key was not accepted. */
type KeyProblem = Exclude<AuthOutcome, AuthOutcome.Accepted>;

/** Reasons for clients without a valid key. */
const KEY_REASONS: Readonly<Record<KeyProblem, string>> = {
  [AuthOutcome.MissingKey]: 'The request needs a key.',
  [AuthOutcome.MalformedKey]: 'The key is malformed.',
  [AuthOutcome.UnknownKey]: 'The key belongs to no account.',
};

/** Options of the server. */
export interface RequestServerOptions {
  readonly host: string;
  readonly port: number;
  /** Most descriptors that the process may have open. */
  readonly maxDescriptors: number;
  readonly registry: ReplicaRegistry;
  readonly parts: ExecutionDependencies;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Listens for callers and serves each of their requests. */
export class RequestServer {
  private readonly responses = new OpenResponses();

  private readonly server: Server;

  private readonly connections: CallerConnections;

  private readonly inputTurns: InputTurns;

  /** Connections with an overdue request head, until it has been read or the connection is rejected. */
  private readonly overdueHeads = new Map<Socket, TimerHandle>();

  /** Connections that were rejected; requests that still arrive on them are not run. */
  private readonly rejectedSockets = new WeakSet<Socket>();

  /** Responses after which their connections close, as what follows their requests is no valid request. */
  private readonly endingResponses = new WeakSet<ServerResponse>();

  private isDraining = false;

  /** Whether new requests are refused. */
  private isClosing = false;

  constructor(private readonly options: RequestServerOptions) {
    this.connections = new CallerConnections(options.timers);
    this.inputTurns = new InputTurns(options.timers, options.log);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (req, res) => {
        void this.handle(req, res);
      },
    );
    this.server.maxConnections = Math.max(
      1,
      Math.floor((options.maxDescriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_REQUEST),
    );
    this.server.on('drop', () => options.log.debug('A connection is closed: too many are open.'));
    this.server.on('connection', (socket: Socket) => this.accept(socket));
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) =>
      this.handleClientError(err, socket),
    );
    options.registry.onTable(({ document }) => {
      this.server.headersTimeout = document.bounds.headerTimeoutMs;
      this.server.keepAliveTimeout = document.bounds.idleTimeoutMs;
    });
  }

  /** Number of requests in progress, until their responses are written. */
  get running(): number {
    return this.responses.count;
  }

  listen(): Promise<void> {
    const { host, port } = this.options;
    return startListening(this.server, { host, port, backlog: BACKLOG });
  }

  /** Makes each response the last one on its connection. Requests that still arrive are served. */
  drain(): void {
    this.isDraining = true;
    for (const res of this.responses) res.shouldKeepAlive = false;
  }

  /**
   * Closes the listener and idle connections, and refuses new requests and those that may outlast this daemon.
   * @param endsAt - Monotonic time at which requests in progress will be given up, in milliseconds.
   */
  refuse(endsAt: number): void {
    this.close();
    this.options.parts.shutdown.refuse(endsAt);
  }

  /** Gives up the requests in progress: each gets its final answer, or its stream is broken off. */
  giveUp(): void {
    this.options.parts.shutdown.end();
  }

  /** Closes the listener and idle connections, and refuses new requests. */
  close(): void {
    this.isClosing = true;
    // The method of HTTP servers also closes connections whose responses are not written yet.
    NetServer.prototype.close.call(this.server);
    this.closeIdleConnections();
  }

  /** Closes the listener and all connections, which aborts the requests in progress. */
  closeAllConnections(): void {
    this.close();
    this.breakOffResponses();
    this.server.closeAllConnections();
  }

  /** Breaks off the responses that are not written in this step, as the process ends. */
  breakOffResponses(): void {
    this.responses.breakOffNow();
  }

  /** Closes connections without a request in progress, or a response that is still written. */
  closeIdleConnections(): void {
    for (const socket of this.connections.idle())
      if (this.responses.on(socket) === undefined) socket.destroy();
  }

  private accept(socket: Socket): void {
    const connection = this.connections.accept(socket);
    connection.input = new PacedInput(socket, this.inputTurns, () => connection.earliestArrival());
  }

  /**
   * Rejects a connection whose bytes are no valid request. An overdue head may already be in the socket's
   * buffer if this process was stalled and has not read it yet, so it is rejected only if it has not been
   * read a short time later.
   */
  private handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const reject = (): void => {
      this.overdueHeads.delete(socket);
      this.rejectedSockets.add(socket);
      rejectConnection(err, socket);
      this.options.timers.after(REJECTED_LINGER_MS, () => socket.destroy());
    };
    const open = this.responses.on(socket);
    if (open?.req.complete) this.endAfterResponse(open, err);
    else if (err.code !== REQUEST_TIMEOUT_CODE || open !== undefined) reject();
    else this.overdueHeads.set(socket, this.options.timers.after(LATE_HEAD_GRACE_MS, reject));
  }

  /** Closes a connection after a response: a reply to the bytes behind its request would be taken for that response. */
  private endAfterResponse(res: ServerResponse, { code }: NodeJS.ErrnoException): void {
    if (this.endingResponses.has(res)) return;
    this.endingResponses.add(res);
    res.shouldKeepAlive = false;
    this.options.log.debug(
      `A connection closes after its response: what follows the request is invalid (${code}).`,
    );
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.overdueHeads.get(req.socket)?.cancel();
    this.overdueHeads.delete(req.socket);
    if (this.rejectedSockets.has(req.socket)) {
      // The rest of a request that arrived after its connection was rejected.
      req.resume();
      return;
    }
    this.responses.add(res);
    const connection = this.connections.of(req.socket);
    connection.input?.follow(req, res);
    res.on('error', (err) => this.options.log.debug(`Failed to write a response: ${err.message}.`));
    if (this.isDraining) res.shouldKeepAlive = false;
    // The head of a stream that began before the shutdown announced a kept-alive connection: close it when
    // the stream ends.
    res.once('finish', () => {
      connection.settle();
      if (this.isClosing || this.endingResponses.has(res)) req.socket.destroySoon();
    });
    try {
      await this.route(req, res);
    } catch (err) {
      this.options.log.error(
        `Unexpected error in a request: ${err instanceof Error ? err.stack : String(err)}`,
      );
      if (res.headersSent) breakOff(res, this.options.timers);
      else sendLocalReply(res, LocalReply.OutcomeUnknown, 'Internal error.');
    }
  }

  private async route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { registry, parts, timers, log } = this.options;
    const arrivedAt = timers.now();
    const caller = this.connections.of(req.socket);
    const unreadMs = arrivedAt - caller.earliestArrival();
    const runs = new RunRecord();
    const head = parts.dialect.readHead(req);
    if ('reason' in head) {
      log.decide('request.refused', head.reason, { status: head.status, target: req.url });
      res.shouldKeepAlive = false;
      sendLocalReply(res, LocalReply.BadRequest, head.reason);
      return;
    }
    const { table } = registry;
    if (table === undefined || this.isClosing) {
      req.resume();
      const reason = this.isClosing ? SHUTTING_DOWN : 'No configuration yet.';
      const retryAfterMs = this.isClosing ? 0 : NO_CONFIG_RETRY_MS;
      log.decide('request.refused', reason, { request: head.id, viewAgeMs: parts.viewAgeMs() });
      refuse(res, runs, LocalReply.NotRun, reason, { retryAfterMs });
      return;
    }
    const route = table.match(head.host, pathOf(head.target));
    if (route === undefined) {
      req.resume();
      log.decide('request.no-route', 'No route matches.', {
        request: head.id,
        host: head.host,
        target: head.target,
        configVersion: table.document.version,
        viewAgeMs: parts.viewAgeMs(),
      });
      sendLocalReply(res, LocalReply.NoRoute, 'No route matches.');
      return;
    }
    const { outcome, account } = authenticate(table, route, head.credentials);
    if (outcome !== AuthOutcome.Accepted) {
      req.resume();
      this.rejectKey(head, table, outcome, runs, res);
      return;
    }
    if (route.isResumable && head.isLastEventMalformed) {
      req.resume();
      // Served as a new stream, it would bring its caller the events that it has.
      log.decide('request.refused', MALFORMED_EVENT_ID, { request: head.id, route: route.name });
      sendLocalReply(res, LocalReply.BadRequest, MALFORMED_EVENT_ID);
      return;
    }
    if (route.isResumable && head.waitMs !== undefined && head.lastEventId === undefined)
      parts.callerDeadlines.record({ route: route.name, account: account?.name, longestMs: head.waitMs });
    if (account !== undefined && !(await this.charge(account, head, runs, res))) {
      req.resume();
      return;
    }
    const { maxBodyBytes } = table.document.bounds;
    const { hasAccounts } = table;
    const service = pickService(route, head);
    const accepted = { head, route, service, hasAccounts, account, res, runs, caller, arrivedAt, unreadMs };
    await this.execute(req, maxBodyBytes, accepted);
    if (account !== undefined && !runs.mayHaveRun) parts.quotas.refund(account, head.statedTokens);
  }

  /** Reads the body and serves the request. */
  private async execute(
    req: IncomingMessage,
    maxBodyBytes: number,
    accepted: Omit<RequestExecutionOptions, 'body'>,
  ): Promise<void> {
    const held = new BudgetedBuffer(this.options.parts.buffers, maxBodyBytes);
    try {
      const body = await readCallerBody(req, held, (callback) => this.onRefuse(accepted, callback));
      await this.serve(req, body, accepted);
    } finally {
      held.release();
    }
  }

  /** Calls back when a request may not be passed on any more, as it may outlast this daemon. */
  private onRefuse(
    { arrivedAt, head, route }: Omit<RequestExecutionOptions, 'body'>,
    callback: () => void,
  ): () => void {
    const { shutdown } = this.options.parts;
    const deadlineAt = arrivedAt + requestTimeoutMs(head, route);
    return shutdown.onRefuse(() => {
      if (!shutdown.allowsStart(deadlineAt)) callback();
    });
  }

  private async serve(
    req: IncomingMessage,
    body: Buffer | undefined | BodyProblem,
    accepted: Omit<RequestExecutionOptions, 'body'>,
  ): Promise<void> {
    if (body === BodyProblem.Broken || this.rejectedSockets.has(req.socket)) return;
    if (body === BodyProblem.TooLarge) {
      sendLocalReply(accepted.res, LocalReply.BodyTooLarge, 'The body is too large.');
      return;
    }
    if (body === BodyProblem.NoMemory || body === BodyProblem.ShuttingDown) {
      const { res, runs, head } = accepted;
      const { reason, retryAfterMs } = UNREAD_BODIES[body];
      this.options.log.decide('request.refused', reason, { request: head.id, bodyProblem: body });
      res.shouldKeepAlive = false;
      refuse(res, runs, LocalReply.NotRun, reason, { retryAfterMs });
      return;
    }
    // The close of a connection is read in a later turn than the request before it.
    await new Promise<void>((resolve) => {
      afterLateTurn(this.options.timers, resolve, accepted.unreadMs);
    });
    await new RequestExecution(this.options.parts, { ...accepted, body }).run();
  }

  /**
   * Charges a request to the quota of its account, and refuses it when the quota is used up.
   * @returns Whether the request was admitted.
   */
  private async charge(
    account: ClientAccount,
    head: RequestHead,
    runs: RunRecord,
    res: ServerResponse,
  ): Promise<boolean> {
    const { parts, log, registry } = this.options;
    const { statedTokens } = head;
    const { isAdmitted, decider, retryAfterMs } = await parts.quotas.charge(account, statedTokens);
    parts.accountMetrics.countRequest(account.name, isAdmitted);
    if (isAdmitted) return true;
    log.decide('request.over-quota', `${account.name} has used up its quota.`, {
      request: head.id,
      account: account.name,
      decider,
      statedTokens,
      retryAfterMs: Math.round(retryAfterMs),
      configVersion: registry.table?.document.version,
    });
    refuse(res, runs, LocalReply.OverQuota, 'The quota of the account is used up.', { retryAfterMs });
    return false;
  }

  /**
   * Refuses a request without a valid key. While the configuration may be out of date, an unknown key may be
   * a new one, so the caller is then asked to retry instead.
   */
  private rejectKey(
    head: RequestHead,
    table: RouteTable,
    problem: KeyProblem,
    runs: RunRecord,
    res: ServerResponse,
  ): void {
    const { parts, log } = this.options;
    parts.accountMetrics.countUnauthorized(problem);
    const viewAgeMs = parts.viewAgeMs();
    const isDoubtful = problem === AuthOutcome.UnknownKey && viewAgeMs > MAX_KEY_VIEW_AGE_MS;
    log.decide('request.unauthorized', KEY_REASONS[problem], {
      request: head.id,
      problem,
      isDoubtful,
      configVersion: table.document.version,
      viewAgeMs,
    });
    if (isDoubtful) {
      const hints = { retryAfterMs: NO_CONFIG_RETRY_MS };
      refuse(res, runs, LocalReply.NotRun, 'The configuration may be out of date.', hints);
      return;
    }
    sendLocalReply(res, LocalReply.Unauthorized, KEY_REASONS[problem], {
      keyScheme: parts.dialect.keyScheme,
    });
  }
}

/** Refuses a request; if there is no proof that it has not run, its outcome is unknown. */
function refuse(
  res: ServerResponse,
  runs: RunRecord,
  kind: RefusalKind,
  reason: string,
  hints: ReplyHints,
): void {
  const proof = NotRunProof.of(runs);
  if (proof === undefined) sendLocalReply(res, LocalReply.OutcomeUnknown, `It may have run. ${reason}`);
  else sendRefusal(res, kind, proof, reason, hints);
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Picks one of a route's services by weight; requests with the same id go to the same service. */
function pickService({ targets }: Route, head: RequestHead): string {
  if (targets.length === 1) return targets[0]!.service;
  const sum = targets.reduce((total, { weight }) => total + weight, 0);
  let remaining = ((hash32(head.id) % WEIGHT_SCALE) / WEIGHT_SCALE) * sum;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)!.service;
}

/** Status of the responses to invalid requests, by error code of Node.js. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [REQUEST_TIMEOUT_CODE]: '408 Request Timeout',
};

/** Responds to bytes that are no valid request, and closes the connection. */
function rejectConnection(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_LINES[err.code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
