/** The callers' listener: one task for each request, and a shutdown that interrupts none. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';

import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';
import { hash32, startListening } from '@celeryyoke/core';

import type { ClientAccount } from '../accounts/index.js';
import { authenticate, AuthOutcome } from '../accounts/index.js';
import type { Route, RouteTable } from '../catalog/index.js';
import type { ReplicaRegistry } from '../view/index.js';
import { LocalReply, sendLocalReply } from './local-reply.js';
import { BodyProblem, readCallerBody } from './body.js';
import type { RequestExecutionOptions, RequestExecutionParts } from './execution.js';
import { RequestExecution } from './execution.js';
import type { RequestHead } from './types.js';
import { waitMsOf } from './types.js';

/** When a caller may come back to a daemon that knows no configuration yet, in milliseconds. */
const NO_CONFIG_RETRY_MS = 300;
/** Age of the view beyond which a key that it lacks may have been added since, in milliseconds. */
const MAX_KEY_VIEW_AGE_MS = 1500;
/** Bounds before the first configuration; the configuration's own replace them. */
const FIRST_HEADER_TIMEOUT_MS = 3000;
const FIRST_IDLE_TIMEOUT_MS = 15_000;
/** Largest head in bytes; Node.js takes it only when the listener is made. */
const MAX_HEAD_BYTES = 16_384;
/** How often slow heads are looked for, in milliseconds. */
const HEAD_CHECK_MS = 500;
/** Time that a late head has to be read from its socket, in milliseconds. */
const LATE_HEAD_GRACE_MS = 100;
/** Time in which a body must have come, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;
/** Connections that wait to be accepted. */
const BACKLOG = 1024;
const WEIGHT_SCALE = 1_000_000;
/** Error of a connection whose request is not whole in time. */
const LATE_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Why a key is not accepted. */
type KeyProblem = Exclude<AuthOutcome, AuthOutcome.Accepted>;

/** What a client without a valid key is told. */
const KEY_REASONS: Readonly<Record<KeyProblem, string>> = {
  [AuthOutcome.MissingKey]: 'The request needs a key.',
  [AuthOutcome.MalformedKey]: 'The key is malformed.',
  [AuthOutcome.UnknownKey]: 'The key belongs to no account.',
};

/** Options of the callers' server. */
export interface RequestServerOptions {
  readonly host: string;
  readonly port: number;
  readonly registry: ReplicaRegistry;
  readonly parts: RequestExecutionParts;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** The callers' server. */
export class RequestServer {
  /** Answers that are still to be given. */
  private readonly answers = new Set<ServerResponse>();

  private readonly server: Server;

  /** Connections on which a head is late, until it has come or is refused. */
  private readonly lateHeads = new Map<Socket, TimerHandle>();

  /** Connections that were told that what comes on them is not run. */
  private readonly refused = new WeakSet<Socket>();

  private isDraining = false;

  /** Whether no further request is taken. */
  private isClosing = false;

  /**
   * Makes a server that does not listen.
   * @param options - Where, and the parts that serve.
   */
  constructor(private readonly options: RequestServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        headersTimeout: FIRST_HEADER_TIMEOUT_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        keepAliveTimeout: FIRST_IDLE_TIMEOUT_MS,
        connectionsCheckingInterval: HEAD_CHECK_MS,
        noDelay: true,
      },
      (req, res) => {
        void this.serve(req, res);
      },
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) =>
      this.handleClientError(err, socket),
    );
    options.registry.onTable(({ document }) => {
      this.server.headersTimeout = document.bounds.headerTimeoutMs;
      this.server.keepAliveTimeout = document.bounds.idleTimeoutMs;
    });
  }

  /** Requests in progress. */
  get running(): number {
    return this.answers.size;
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    const { host, port } = this.options;
    return startListening(this.server, { host, port, backlog: BACKLOG });
  }

  /** From now on each answer is the last on its connection; requests that still arrive are served. */
  drain(): void {
    this.isDraining = true;
    for (const res of this.answers) res.shouldKeepAlive = false;
  }

  /** Closes connections that wait between two requests, and the listener. */
  close(): void {
    this.isClosing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes the listener and every connection; requests in progress break off. */
  cut(): void {
    this.close();
    this.server.closeAllConnections();
  }

  /** Closes connections that wait between two requests. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /**
   * Refuses what is no request. A head that is late may lie in the socket, where a process that stood still has not read it
   * yet: it is refused only if it has not come after some more turns of the event loop.
   */
  private handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const refuseNow = (): void => {
      this.lateHeads.delete(socket);
      this.refused.add(socket);
      refuse(err, socket);
    };
    const isAnswering = [...this.answers].some((res) => res.socket === socket);
    if (err.code !== LATE_CODE || isAnswering) refuseNow();
    else this.lateHeads.set(socket, this.options.timers.after(LATE_HEAD_GRACE_MS, refuseNow));
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.lateHeads.get(req.socket)?.cancel();
    this.lateHeads.delete(req.socket);
    if (this.refused.has(req.socket)) {
      // The rest of a request that came after its refusal.
      req.resume();
      return;
    }
    this.answers.add(res);
    res.on('error', (err) => this.options.log.debug(`An answer could not be written: ${err.message}.`));
    if (this.isDraining) res.shouldKeepAlive = false;
    // A stream that began before the shutdown has promised its caller a connection that is kept: it ends with it.
    res.once('finish', () => {
      if (this.isClosing) req.socket.destroySoon();
    });
    try {
      await this.answer(req, res);
    } catch (err) {
      this.options.log.error(`A request failed within: ${err instanceof Error ? err.stack : String(err)}`);
      if (res.headersSent) res.destroy();
      else sendLocalReply(res, LocalReply.OutcomeUnknown, 'Internal error.');
    } finally {
      this.answers.delete(res);
    }
  }

  private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { registry, parts, timers, log } = this.options;
    const arrivedAt = timers.now();
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
      const reason = this.isClosing ? 'This daemon is shutting down.' : 'No configuration yet.';
      const retryAfterMs = this.isClosing ? 0 : NO_CONFIG_RETRY_MS;
      sendLocalReply(res, LocalReply.NotRun, reason, { retryAfterMs });
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
      this.refuseKey(head, table, outcome, res);
      return;
    }
    const waitMs = waitMsOf(head, route);
    parts.callerTimes.note(route.name, waitMs);
    const isLate = parts.callerTimes.isLate(route, waitMs);
    if (account !== undefined && !(await this.charge(account, head, isLate, res))) {
      req.resume();
      return;
    }
    const { maxBodyBytes } = table.document.bounds;
    const { hasAccounts } = table;
    const service = pickService(route, head);
    const accepted = { head, route, service, hasAccounts, account, res, arrivedAt };
    const mayHaveRun = await this.execute(req, maxBodyBytes, accepted);
    if (account !== undefined && !mayHaveRun) parts.quotas.refund(account, head.statedTokens);
  }

  /**
   * Reads the body and serves the request.
   * @returns Whether a replica may have run it.
   */
  private async execute(
    req: IncomingMessage,
    maxBodyBytes: number,
    accepted: Omit<RequestExecutionOptions, 'body'>,
  ): Promise<boolean> {
    const body = await readCallerBody(req, maxBodyBytes);
    if (body === BodyProblem.Broken || this.refused.has(req.socket)) return false;
    if (body === BodyProblem.TooLarge) {
      sendLocalReply(accepted.res, LocalReply.BodyTooLarge, 'The body is too large.');
      return false;
    }
    const execution = new RequestExecution(this.options.parts, { ...accepted, body });
    await execution.run();
    return execution.mayHaveRun;
  }

  /**
   * Charges a request to its account; one that is over the quota is refused at once.
   * @returns Whether the request may go on.
   */
  private async charge(
    account: ClientAccount,
    head: RequestHead,
    isLate: boolean,
    res: ServerResponse,
  ): Promise<boolean> {
    const { parts, log, registry } = this.options;
    const { statedTokens } = head;
    const { isAdmitted, decider, retryAfterMs } = await parts.quotas.charge(account, {
      statedTokens,
      isLate,
    });
    parts.accountMetrics.countRequest(account.name, isAdmitted);
    if (isAdmitted) return true;
    log.decide('request.over-quota', `${account.name} has used up its quota.`, {
      request: head.id,
      account: account.name,
      decider,
      statedTokens,
      isLate,
      retryAfterMs: Math.round(retryAfterMs),
      configVersion: registry.table?.document.version,
    });
    sendLocalReply(res, LocalReply.OverQuota, 'The quota of the account is used up.', { retryAfterMs });
    return false;
  }

  /**
   * Refuses a request without a valid key. Where the configuration may be out of date, a key that it does not know may be
   * a new one: then nothing is said of the key.
   */
  private refuseKey(head: RequestHead, table: RouteTable, problem: KeyProblem, res: ServerResponse): void {
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
      sendLocalReply(res, LocalReply.NotRun, 'The configuration may be out of date.', hints);
      return;
    }
    sendLocalReply(res, LocalReply.Unauthorized, KEY_REASONS[problem], {
      keyScheme: parts.dialect.keyScheme,
    });
  }
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Divides the requests of a route between its services by weight. */
function pickService({ targets }: Route, head: RequestHead): string {
  if (targets.length === 1) return targets[0]!.service;
  const sum = targets.reduce((total, { weight }) => total + weight, 0);
  let place = ((hash32(head.id) % WEIGHT_SCALE) / WEIGHT_SCALE) * sum;
  for (const { service, weight } of targets) {
    place -= weight;
    if (place < 0) return service;
  }
  return targets.at(-1)!.service;
}

const CLIENT_ERRORS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [LATE_CODE]: '408 Request Timeout',
};

/** Answers bytes that are no request. */
function refuse(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = CLIENT_ERRORS[err.code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
