/**
 * One replica: reads requests while their path is open, responds as its faults require, and records arrivals.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import {
  respondMisdirected,
  refuseWith,
  respondToOrder,
  respondWithReport,
  respondComplete,
  retryAfterHeader,
  beginStream,
  EngineState,
  endStream,
  sendChunk,
} from '@celeryyoke/adapter/testing';
import { createSystemTimers } from '@celeryyoke/core';
import type { PathCut, Random, RawRequest } from '@celeryyoke/routing/testing';
import { createRandom, headerValue, parseRequest, PathCuts } from '@celeryyoke/routing/testing';

import type {
  Abandonment,
  Arrival,
  CrashingPart,
  ReplicaCrash,
  ReplicaFall,
  ReplicaOptions,
} from './messages.js';
import {
  Behaviour,
  CRASHING_PATH,
  EngineEnd,
  findCrashingPart,
  FIRST_VERSION,
  Holdable,
  incarnationId,
  PROMPT_PARTS_HEADER,
  REPLICA_HEADER,
} from './messages.js';

const HOST = '127.0.0.1';
/** Part of the requests that a replica which misbehaves treats so. */
const MISBEHAVED_SHARE = 0.9;
const EVENTS = 12;
const EVENT_MS = 60;
const PLAIN_MS = 20;
/** The same of one that is brittle, so that its slots are in use. */
const BRITTLE_MS = 1200;
/** Rejections in a second that a brittle replica bears. */
const MAX_REJECTIONS = 3;
/** Time from the first response that says that a replica is brittle until it may fall, in milliseconds. */
const BRITTLE_NOTICE_MS = 3000;
const OK = '200 OK';
const ERROR = '500 Internal Server Error';
/** Statuses by which callers are promised that their request has not run. */
const REFUSALS = ['503 Service Unavailable', '429 Too Many Requests', '408 Request Timeout'] as const;
/** Times after a response at which an extra one is sent, in milliseconds. */
const EXTRA_DELAYS_MS = [0, 5, 30, 300] as const;
/** Share of the extra responses that deny an execution. */
const DENIAL_CHANCE = 0.5;
/** Share of the requests with an extra response that are refused, twice. */
const REFUSED_TWICE_CHANCE = 0.5;
/** Shortest and longest time that a replica asks a daemon to back off, in seconds. */
const MIN_BACKOFF_S = 1;
const MAX_BACKOFF_S = 4;
const MS_PER_SECOND = 1000;
/** Time for which a replica runs a request that crashes it, in milliseconds. */
const CRASH_AFTER_MS = 60;
/** Time until a replica that has crashed listens again, in milliseconds. */
const RESTART_MS = 2500;
/** Time from the end of an engine that falls silent until it has started again, in milliseconds. */
const SILENT_RESTART_MS = 4000;
const CRASHING_TARGET = new RegExp(`^\\S+ \\S+/${CRASHING_PATH} `);

const timers = createSystemTimers();

/** Addresses of the daemons that have opened connections; a closed one has forgotten its own. */
const hostOf = new WeakMap<Socket, string>();

/** Connections with an extra response: which bytes belong to which request can't be told any more, so daemons close them. */
const unframed = new WeakSet<Socket>();

/** Bytes of one connection that the replica has not read yet. */
class Connection {
  /** What arrived while the path was held up. */
  private held: string[] = [];

  private unread = '';

  constructor(readonly socket: Socket) {}

  hold(text: string): void {
    this.held.push(text);
  }

  /** Loses what is held, as its sender has reset the connection. */
  lose(): void {
    this.held = [];
  }

  /** Takes what was held up. */
  release(): string {
    return this.held.splice(0).join('');
  }

  /** Adds bytes and takes the requests that are whole. */
  read(text: string): RawRequest[] {
    this.unread += text;
    const requests: RawRequest[] = [];
    for (let next = parseRequest(this.unread); next !== undefined; next = parseRequest(this.unread)) {
      this.unread = next.rest;
      requests.push({ head: next.head, body: next.body, socket: this.socket });
    }
    return requests;
  }
}

/** Called with what happens to a replica. */
export interface ReplicaListener {
  readonly onArrival: (arrival: Arrival) => void;
  readonly onCrash: (crash: ReplicaCrash) => void;
  readonly onFall: (fall: ReplicaFall) => void;
  readonly onAbandoned: (abandonment: Abandonment) => void;
  /** Called when it listens again after a crash or a fall. */
  readonly onRestart: () => void;
}

/** A request that was rejected for want of room. */
interface Rejection {
  readonly request: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** A replica of a service. */
export class SoakReplica {
  behaviour = Behaviour.Serve;

  private readonly held = new Set<Holdable>();

  private heldOrders: RawRequest[] = [];

  private running = 0;

  /** Number of crashes so far. */
  private crashes = 0;

  private isBrittle = false;

  /** Monotonic time of the first response that said that it is brittle, in milliseconds. */
  private declaredBrittleAt: number | undefined;

  /** Requests that it has rejected for want of room in the last second. */
  private rejections: Rejection[] = [];

  private life = new EngineState();

  private replacements = 0;

  private softwareVersion = FIRST_VERSION;

  /** Whether it refuses connections until it starts again. */
  private isDown = false;

  /** Whether it reads and sends nothing until it starts again. */
  private isSilent = false;

  private readonly connections = new Set<Connection>();

  private readonly cuts = new PathCuts();

  private readonly random: Random;

  private readonly server: Server;

  constructor(
    private readonly options: ReplicaOptions,
    private readonly listener: ReplicaListener,
  ) {
    this.random = createRandom(options.id);
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen; resolves to the port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Says in all responses from now on that it leaves; serves on until it is replaced. */
  leave(): void {
    this.life.isLeaving = true;
  }

  /** Says in all responses that it is brittle and works slowly from now on, or ends that. */
  setBrittle(isBrittle: boolean): void {
    this.isBrittle = isBrittle;
    this.declaredBrittleAt = undefined;
  }

  /** Cuts hosts off, or heals their cut. */
  cut(hosts: readonly string[], cut: PathCut | undefined): void {
    for (const host of hosts) {
      if (cut === undefined) this.cuts.heal(host);
      else this.cuts.cut(host, cut);
    }
  }

  /** Begins a new incarnation at the same address; requests in progress end as they would have. */
  replace(): void {
    this.replacements += 1;
    this.life = new EngineState();
  }

  /** Ends all connections, and goes on at the same address as a new incarnation with another software version. */
  upgrade(softwareVersion: string): void {
    this.softwareVersion = softwareVersion;
    // A replica that is down has the version when it listens again.
    if (this.isDown || this.isSilent) return;
    this.endProcess();
    this.replace();
    this.listener.onRestart();
  }

  /** Header lines of all responses to requests. */
  get declarations(): string {
    const brittle = this.isBrittle ? `Server-Brittle: ${MAX_REJECTIONS}\r\n` : '';
    return `${REPLICA_HEADER}: ${this.incarnation}\r\n${this.life.declarations}${brittle}`;
  }

  private get incarnation(): string {
    return incarnationId(this.options.id, this.replacements);
  }

  /** Holds up what comes, or reads all that was held up. What a sender has reset meanwhile is lost. */
  hold(what: Holdable, isHeld: boolean): void {
    if (isHeld) {
      this.held.add(what);
      return;
    }
    this.held.delete(what);
    this.readHeld();
  }

  private readHeld(): void {
    const { heldOrders } = this;
    this.heldOrders = [];
    if (this.isSilent) return;
    for (const order of heldOrders) this.takeOrder(order);
    if (this.held.has(Holdable.Everything)) return;
    for (const connection of this.connections) this.read(connection, connection.release());
  }

  private accept(socket: Socket): void {
    if (!this.cuts.accept(socket)) return;
    const connection = new Connection(socket);
    hostOf.set(socket, socket.remoteAddress ?? '');
    this.connections.add(connection);
    socket.on('error', () => connection.lose());
    socket.on('close', () => this.connections.delete(connection));
    socket.on('data', (chunk) => {
      if (this.isSilent) return;
      const text = chunk.toString('latin1');
      if (this.held.has(Holdable.Everything)) connection.hold(text);
      else this.read(connection, text);
    });
  }

  private read(connection: Connection, text: string): void {
    for (const req of connection.read(text)) this.take(req);
  }

  private take(req: RawRequest): void {
    const [, path] = req.head.split(' ');
    if (path === '/v1/order') {
      const { holder } = JSON.parse(req.body) as { holder: string };
      this.note(req, { hasRun: false, holder });
      this.takeOrder(req);
    } else if (path === '/v1/report') respondWithReport(req, this.life);
    else if (headerValue(req.head, 'celeryyoke-expect-instance') !== this.incarnation) {
      this.note(req, { hasRun: false, isMisdirected: true });
      respondMisdirected(req, this.declarations);
    } else this.serve(req);
  }

  private takeOrder(req: RawRequest): void {
    if (this.held.has(Holdable.Orders)) this.heldOrders.push(req);
    else if (!req.socket.destroyed) respondToOrder(req, this.life);
  }

  private serve(req: RawRequest): void {
    const isMisbehaved = this.behaviour !== Behaviour.Serve && this.random.chance(MISBEHAVED_SHARE);
    const behaviour = isMisbehaved ? this.behaviour : Behaviour.Serve;
    const isFull = this.running >= this.options.slots;
    if (isFull) this.noteRejection(req);
    const isRefused = isFull || behaviour === Behaviour.Shed || behaviour === Behaviour.Backoff;
    const isRefusedTwice = behaviour === Behaviour.Extra && this.random.chance(REFUSED_TWICE_CHANCE);
    if (isRefusedTwice) this.refuseTwice(req);
    else if (isRefused)
      this.refuse(req, behaviour === Behaviour.Backoff ? this.drawBackoffSeconds() : undefined);
    else {
      this.note(req, { hasRun: true });
      answer(behaviour, this, req);
    }
  }

  private refuse(req: RawRequest, backoffSeconds: number | undefined): void {
    // After the end of a stream the connection takes no response, so nothing is asked of the sender.
    const retryAfterMs = req.socket.writable && backoffSeconds ? backoffSeconds * MS_PER_SECOND : undefined;
    this.note(req, { hasRun: false, retryAfterMs });
    const backoff = backoffSeconds === undefined ? '' : retryAfterHeader(backoffSeconds);
    refuseWith(req, this.declarations + backoff);
    this.noteDeclared();
  }

  /** Refuses a request, and sends the refusal, which names the request, once more. */
  private refuseTwice(req: RawRequest): void {
    this.refuse(req, undefined);
    this.sendLate(req, () => refuseWith(req, this.declarations));
  }

  /** Falls over if it is brittle and has rejected too many requests for want of room. */
  private noteRejection({ head }: RawRequest): void {
    const now = timers.now();
    const isRecent = ({ at }: Rejection): boolean => at > now - MS_PER_SECOND;
    const request = headerValue(head, 'celeryyoke-request-id') ?? '';
    this.rejections = [...this.rejections.filter(isRecent), { request, at: now }];
    const isStrict = now - (this.declaredBrittleAt ?? now) > BRITTLE_NOTICE_MS;
    if (!isStrict || this.rejections.length <= MAX_REJECTIONS) return;
    const rejected = this.rejections.map((rejection) => rejection.request);
    this.rejections = [];
    this.listener.onFall({ replica: this.incarnation, at: timers.wall(), rejected });
    void this.restart();
  }

  /** Records that a response has been sent. */
  private noteDeclared(): void {
    if (this.isBrittle) this.declaredBrittleAt ??= timers.now();
  }

  /** Draws how long a daemon is to send nothing, in tenths of a second. */
  private drawBackoffSeconds(): number {
    return Math.round(this.random.between(MIN_BACKOFF_S, MAX_BACKOFF_S) * 10) / 10;
  }

  /** Sends one more response, which names no request, on the connection of a request. */
  sendExtra(req: RawRequest): void {
    const denial = this.random.chance(DENIAL_CHANCE) ? 'Celeryyoke-Not-Executed: 1\r\n' : '';
    const extra = `HTTP/1.1 ${this.drawRefusal()}\r\n${denial}Content-Length: 0\r\n\r\n`;
    this.sendLate(req, () => req.socket.write(extra));
  }

  /** Sends a response at once or where the one to the next request on the connection is expected. */
  private sendLate({ socket }: RawRequest, send: () => void): void {
    const delayMs = this.random.pick(EXTRA_DELAYS_MS);
    void timers.sleep(delayMs).then(() => {
      if (socket.destroyed) return;
      unframed.add(socket);
      send();
    });
  }

  /** Draws the status line of a refusal. */
  drawRefusal(): string {
    return this.random.pick(REFUSALS);
  }

  /** Serves a request to its end, or crashes under it. */
  async run(req: RawRequest): Promise<void> {
    const { crashes, isBrittle } = this;
    this.running += 1;
    const onClose = (): void => {
      if (crashes === this.crashes) this.noteAbandoned(req);
    };
    req.socket.once('close', onClose);
    if (CRASHING_TARGET.test(req.head)) await this.crashUnder(req);
    else if (this.options.isEngine) await this.stream(req);
    else await answerLater(req, this.declarations, isBrittle ? BRITTLE_MS : PLAIN_MS);
    req.socket.off('close', onClose);
    if (isBrittle) this.noteDeclared();
    if (crashes === this.crashes) this.running -= 1;
  }

  /** Streams events that name the software version that wrote them; a part of the prompt may end the engine meanwhile. */
  private async stream(req: RawRequest): Promise<void> {
    const part = findCrashingPart(headerValue(req.head, PROMPT_PARTS_HEADER) ?? '');
    await timers.sleep(EVENT_MS);
    const ended = part && this.crashUnder(req, part);
    await stream(req, this.declarations, this.softwareVersion, () => this.isSilent);
    await ended;
  }

  private async crashUnder(
    { head }: RawRequest,
    { end, afterMs }: CrashingPart = { end: EngineEnd.Closed, afterMs: CRASH_AFTER_MS },
  ): Promise<void> {
    const { crashes } = this;
    await timers.sleep(afterMs);
    if (crashes !== this.crashes) return;
    const request = headerValue(head, 'celeryyoke-request-id') ?? '';
    this.listener.onCrash({ request, replica: this.incarnation, at: timers.wall(), end });
    await this.ends[end]();
  }

  private readonly ends: Readonly<Record<EngineEnd, () => Promise<void>>> = {
    [EngineEnd.Closed]: () => this.restart(),
    [EngineEnd.Silent]: () => this.fallSilent(),
  };

  /** Keeps its connections and its port, and does nothing any more until it starts again. */
  private async fallSilent(): Promise<void> {
    this.crashes += 1;
    this.running = 0;
    this.isSilent = true;
    await timers.sleep(SILENT_RESTART_MS);
    this.endProcess();
    this.isSilent = false;
    this.replace();
    this.listener.onRestart();
  }

  private endProcess(): void {
    this.crashes += 1;
    this.running = 0;
    for (const { socket } of this.connections) socket.destroy();
  }

  /** Ends all connections and refuses new ones until it restarts, as when its process has crashed. */
  private async restart(): Promise<void> {
    if (this.isDown) return;
    this.isDown = true;
    const { port } = this.server.address() as AddressInfo;
    this.endProcess();
    this.server.close();
    await timers.sleep(RESTART_MS);
    this.isDown = false;
    this.replace();
    this.server.listen(port, HOST, this.listener.onRestart);
  }

  private noteAbandoned({ head, socket }: RawRequest): void {
    if (unframed.has(socket)) return;
    const request = headerValue(head, 'celeryyoke-request-id') ?? '';
    const host = hostOf.get(socket) ?? '';
    this.listener.onAbandoned({ request, replica: this.incarnation, host, at: timers.wall() });
  }

  private note(
    { head }: RawRequest,
    facts: Pick<Arrival, 'hasRun' | 'holder' | 'isMisdirected' | 'retryAfterMs'>,
  ): void {
    const request = headerValue(head, 'celeryyoke-request-id') ?? '';
    this.listener.onArrival({ request, replica: this.incarnation, at: timers.wall(), ...facts });
  }
}

/** Waits until connections that were closed while this process was stopped have been noticed. */
function afterSocketEvents(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

async function answerLater(req: RawRequest, declarations: string, workMs: number): Promise<void> {
  await timers.sleep(workMs);
  await afterSocketEvents();
  respondComplete(req, OK, undefined, declarations);
}

/**
 * Sends events that name the software version that wrote them.
 * @param isSilent - Whether the engine sends nothing any more.
 */
async function stream(
  req: RawRequest,
  declarations: string,
  softwareVersion: string,
  isSilent: () => boolean,
): Promise<void> {
  const lastId = Number(headerValue(req.head, 'last-event-id') ?? 0);
  if (isSilent()) return;
  beginStream(req, declarations);
  for (let id = lastId + 1; id <= EVENTS && !req.socket.destroyed; id += 1) {
    if (isSilent()) return;
    sendChunk(req, `id: ${id}\ndata: ${softwareVersion}\n\n`);
    await timers.sleep(EVENT_MS);
  }
  await afterSocketEvents();
  if (!req.socket.destroyed && !isSilent()) endStream(req);
}

/** Behaviours of a replica that begins to run a request. */
type RunningBehaviour = Exclude<Behaviour, Behaviour.Shed | Behaviour.Backoff>;

/** What each behaviour does with a request that has begun to run. */
const ANSWERS: Readonly<Record<RunningBehaviour, (replica: SoakReplica, req: RawRequest) => void>> = {
  [Behaviour.Serve]: (replica, req) => {
    void replica.run(req);
  },
  [Behaviour.Errors]: (replica, req) => respondComplete(req, ERROR, undefined, replica.declarations),
  [Behaviour.Reset]: (_replica, { socket }) => socket.resetAndDestroy(),
  [Behaviour.Hang]: () => undefined,
  [Behaviour.Extra]: (replica, req) => {
    void replica.run(req).then(() => replica.sendExtra(req));
  },
  [Behaviour.Unproved]: (replica, req) => {
    respondComplete(req, replica.drawRefusal(), undefined, replica.declarations);
  },
};

function answer(behaviour: RunningBehaviour, replica: SoakReplica, req: RawRequest): void {
  ANSWERS[behaviour](replica, req);
}
