/** The callers' server: an HTTP listener that can be drained. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Server as NetServer } from 'node:net';

import { CeleryyokeError } from '@celeryyoke/core';
import { createRetryBudget } from '@celeryyoke/fleet';
import { createServiceClient } from '@celeryyoke/platform';

import { createEngineLimit, EnginePlaces, WaitingList } from '../admission/index.js';
import { EngineClients } from '../generation/index.js';
import type { RequestLog } from '../records/index.js';
import { createRequestLog } from '../records/index.js';
import type { OpenRequest } from '../requests/index.js';
import type { RouteServices } from '../routes/index.js';
import { ServicePool } from '../services/index.js';
import { refuseConnection } from './connection.js';
import { Drainer } from './drain.js';
import type { HandlerServices } from './handler.js';
import { handleRequest } from './handler.js';
import type { ServerMetrics } from './metrics.js';
import { createServerMetrics } from './metrics.js';
import { DEFAULT_CALLER_SETTINGS } from './settings.js';
import type { CallerServer, CallerServerOptions, CallerSettings, CutRequest } from './types.js';

/** Node looks for late headers this often within their time limit. */
const CHECKS_PER_TIMEOUT = 4;
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

class HttpCallerServer implements CallerServer {
  readonly requests: RequestLog;

  private readonly settings: CallerSettings;

  private readonly server: Server;

  private readonly clients: EngineClients;

  private readonly pool: ServicePool;

  private readonly metrics: ServerMetrics;

  private readonly handler: HandlerServices;

  /** Answers whose last byte has not been handed over yet. */
  private readonly answers = new Set<ServerResponse>();

  private readonly open = new Map<ServerResponse, OpenRequest>();

  private readonly drainer: Drainer;

  /** Connections whose headers are late, until they are read or the connection is refused. */
  private readonly lateHeaders = new Map<Socket, NodeJS.Immediate>();

  /** Connections that were told that what comes on them is not run. */
  private readonly refused = new WeakSet<Socket>();

  private connections = 0;

  private readonly idleListeners: (() => void)[] = [];

  constructor(private readonly options: CallerServerOptions) {
    this.settings = { ...DEFAULT_CALLER_SETTINGS, ...options.settings };
    this.requests = createRequestLog(this.settings.recordCapacity);
    this.clients = new EngineClients(options.engines);
    this.drainer = new Drainer(options.timers, this.settings.drainGraceMs);
    this.pool = new ServicePool({
      ...options,
      factory: options.services ?? ((name, address) => createServiceClient({ name, address })),
    });
    this.metrics = createServerMetrics(options.metrics);
    this.handler = this.makeHandler();
    this.server = this.makeServer();
  }

  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  inFlight(): number {
    return this.answers.size;
  }

  async drain(): Promise<void> {
    this.drainer.begin();
    // Only the listener closes: `http.Server.close` would also close kept connections on which a request may be
    // on its way, and that request would be interrupted.
    NetServer.prototype.close.call(this.server);
    await this.drainer.waitForGrace(this.connections > 0);
    // A caller that has sent nothing in the grace finds another daemon when it connects again.
    this.server.closeIdleConnections();
    await this.whenIdle();
    this.server.closeIdleConnections();
  }

  async close(): Promise<readonly CutRequest[]> {
    this.drainer.end();
    const cut = this.cutAll();
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    // The cut requests get their last words before their connections close.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    this.server.closeAllConnections();
    await closed;
    await this.pool.close();
    return cut;
  }

  /** Gives every request in progress up. */
  private cutAll(): readonly CutRequest[] {
    const contexts = [...this.open.values()].map(({ context }) => context);
    for (const context of contexts) {
      const isStarted = context.startedOn !== undefined;
      context.abort(new CeleryyokeError(isStarted ? 'Stopped' : 'Draining'));
    }
    return contexts.map(({ id, path, caller }) => ({ id, path, caller: caller.name }));
  }

  private async whenIdle(): Promise<void> {
    if (this.answers.size === 0) return;
    await new Promise<void>((resolve) => {
      this.idleListeners.push(resolve);
    });
  }

  private makeServer(): Server {
    const { headersTimeoutMs, keepAliveMs } = this.settings;
    const server = createServer({
      headersTimeout: headersTimeoutMs,
      // The time for a body is bounded where it is read: a plain service's upload may take long.
      requestTimeout: 0,
      keepAliveTimeout: keepAliveMs,
      connectionsCheckingInterval: Math.max(1, Math.floor(headersTimeoutMs / CHECKS_PER_TIMEOUT)),
      noDelay: true,
    });
    server.on('request', this.onRequest);
    server.on('connection', (socket) => {
      this.connections += 1;
      socket.once('close', () => {
        this.connections -= 1;
      });
    });
    server.on('clientError', this.onClientError);
    return server;
  }

  /**
   * Refuses a connection whose bytes are no request. Late headers may lie in the socket's buffer if this process
   * was stalled, so they are refused only if the next turn of the event loop does not read them.
   */
  private readonly onClientError = (err: NodeJS.ErrnoException, socket: Socket): void => {
    const refuse = (): void => {
      this.lateHeaders.delete(socket);
      this.refused.add(socket);
      refuseConnection(err, socket);
    };
    if (err.code === REQUEST_TIMEOUT_CODE) this.lateHeaders.set(socket, setImmediate(refuse));
    else refuse();
  };

  private readonly onRequest = (req: IncomingMessage, res: ServerResponse): void => {
    clearImmediate(this.lateHeaders.get(req.socket));
    this.lateHeaders.delete(req.socket);
    if (this.refused.has(req.socket)) {
      // The rest of a request that came after its refusal.
      req.resume();
      return;
    }
    this.answers.add(res);
    this.metrics.inFlight(this.answers.size);
    res.once('close', () => {
      this.answers.delete(res);
      this.open.delete(res);
      this.metrics.inFlight(this.answers.size);
      if (this.answers.size === 0) for (const resolve of this.idleListeners.splice(0)) resolve();
    });
    // A write that comes just after its connection has closed is no news; the close is what counts.
    res.on('error', () => undefined);
    handleRequest(req, res, this.handler).catch((err: unknown) => {
      this.handler.log.error(`A request could not be answered: ${String(err)}`);
      res.destroy();
    });
  };

  private makeHandler(): HandlerServices {
    const { daemon, config, timers, log } = this.options;
    return {
      daemon,
      config,
      timers,
      log: log.part('serving'),
      requests: this.requests,
      routes: this.makeRoutes(),
      metrics: this.metrics,
      callerStallMs: this.settings.callerStallMs,
      defaultTimeoutMs: this.settings.defaultTimeoutMs,
      drainer: this.drainer,
      onOpen: (request) => this.open.set(request.context.res, request),
    };
  }

  private makeRoutes(): RouteServices {
    const { dispatcher, keys, limits, suspects, timers, health } = this.options;
    const { settings, clients } = this;
    const retries = this.options.retries ?? createRetryBudget({ timers });
    const onShed = (): void => this.metrics.shed();
    const limit = createEngineLimit({ ...this.options, oversubscription: settings.oversubscription });
    const places = new EnginePlaces({ timers, limit, maxQueueMs: settings.maxQueueMs, onShed });
    const waiting = new WaitingList(settings.maxWaiting, onShed);
    return {
      limits,
      keys,
      bounds: settings,
      generations: {
        dispatcher,
        clients,
        suspects,
        retries,
        waiting,
        places,
        timers,
        limits: settings,
        health,
      },
      plain: { pool: this.pool, suspects, retries, timers, ...settings },
    };
  }
}

/**
 * Makes the callers' server; it listens when it is told to.
 * @param options - What it needs and its bounds.
 * @returns The server.
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  return new HttpCallerServer(options);
}
