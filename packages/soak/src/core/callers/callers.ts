/** Callers: they keep their connections, send requests at random moments, and come back once after a failure. */
import { Readable } from 'node:stream';

import { MODEL_NAME } from '@celeryyoke/adapter/testing';
import type { TimerService } from '@celeryyoke/core';
import type { Random } from '@celeryyoke/routing/testing';
import { Agent, request } from 'undici';

import type { CrashingPart } from '../replicas/index.js';
import { CRASHING_PATH, nameCrashingPart, PROMPT_PARTS_HEADER, REPLICA_HEADER } from '../replicas/index.js';
import type { DaemonAddress, SoakRoute } from '../site/index.js';
import { CALLER_HOST, ROUTES } from '../site/index.js';
import type { Balancer } from './balancer.js';
import type { ReceivedEvent } from './events.js';
import { readEvents } from './events.js';

const MS_PER_SECOND = 1000;
/** Part of its time for which a caller waits at most before it comes back. */
const MAX_RETRY_SHARE = 1 / 3;
const OK = 200;
/** Attempts with one request: the first and a retry; more where a stream is taken up. */
const MAX_ATTEMPTS = 2;
const MAX_STREAM_ATTEMPTS = 4;
/** Time after which a caller comes back whom no daemon has answered, in milliseconds. */
const UNREACHED_WAIT_MS = 500;
/** Share of the streams whose callers close the connection in between, and after how many events at most. */
const LEAVING_SHARE = 0.05;
const MAX_EVENTS_UNTIL_LEAVING = 10;
/** Time after which a caller that gives up closes its connection, in milliseconds. */
const GIVE_UP_MS = 300;
/** Body of a caller that may give up, and the pause between its two parts where it is sent in two, in milliseconds. */
const BODY_PART = 'part of a body ';
const BODY_PAUSE_MS = 20;
/** Of the requests that a caller sends while some give up, one in so many is sent on a connection of its own. */
const NEW_CONNECTION_EVERY = 3;
/** Loopback addresses of callers. */
const CALLER_ADDRESSES = ['127.0.0.1', '127.0.0.2', '127.0.0.3'];
const FIRST_FAILURE = 400;
/** Result code in the body of a reply that a daemon makes itself. */
const RESULT_CODE = /"code":(\d+)/;
/** Shortest and longest pause of a caller that sends the same request again and again, in milliseconds. */
const MIN_RESEND_MS = 20;
const MAX_RESEND_MS = 700;
/** Number of parts that prompts share in first and in second place. */
const FIRST_PARTS = 3;
const SECOND_PARTS = 40;
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What a caller got. */
export enum CallerOutcome {
  Served = 'served',
  /** A response that promises that the request did not run and never will. */
  Refused = 'refused',
  Failed = 'failed',
}

/** A response that says that the replica that made it leaves. */
export interface LeavingNotice {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** One attempt of a caller. */
export interface CallerAttempt {
  readonly id: string;
  readonly route: SoakRoute;
  /** The same for all attempts with one request. */
  readonly path: string;
  /** Part of its prompt that ends engines; undefined if it has none. */
  readonly crashingPart: string | undefined;
  /** Whether it is the first with its request. */
  readonly isFirst: boolean;
  /** Name of the daemon that it was sent to. */
  readonly daemon: string;
  /** Unix milliseconds. */
  readonly sentAt: number;
  /** Time for which its caller waits, in milliseconds. */
  readonly limitMs: number;
  /** Unix milliseconds of its outcome; undefined while it has none. */
  endedAt?: number;
  /** What its response says of a replica that leaves; undefined when it says nothing. */
  toldLeaving: LeavingNotice | undefined;
  outcome: CallerOutcome | undefined;
  /** Status of the response; undefined when there was none. */
  status: number | undefined;
  /** Result code of a reply that the daemon made itself; undefined for any other response. */
  code: number | undefined;
  /** Events of a stream that it brought, in order. */
  readonly events: ReceivedEvent[];
  /** Whether the caller closed the connection itself. */
  hasLeft: boolean;
  /** Whether it did so soon after its request, and does not come back. */
  hasGivenUp?: boolean;
  /** Of the event after which it takes a stream up; undefined if it begins one. */
  readonly lastEventId?: number | undefined;
  /** Attempt that brought the first event of the stream that it takes up. */
  readonly resumes?: string | undefined;
}

/** What a caller has of a stream that it takes up. */
interface StreamPart {
  readonly lastEventId: number;
  /** Attempt that brought the first event. */
  readonly resumes: string;
}

/** One request of a caller, whose attempts have ids of their own. */
interface CallerRequest {
  readonly route: SoakRoute;
  readonly path: string;
  readonly crashingPart?: string | undefined;
  readonly adapter: number;
  /** Undefined while the caller has no event. */
  readonly part?: StreamPart | undefined;
  readonly isFirst: boolean;
  /** Monotonic time until which the caller waits, in milliseconds. */
  readonly deadlineAt: number;
}

/** What callers need. */
export interface CallersOptions {
  readonly balancer: Balancer;
  readonly random: Random;
  readonly timers: TimerService;
  readonly requestsPerSecond: number;
  /** Adapters that they ask for. */
  readonly adapters: number;
  /** Whether they come back once after a failure. */
  readonly hasRetries: boolean;
}

/** All callers of a run. */
export class Callers {
  readonly attempts: CallerAttempt[] = [];

  /** One for each address; the attempts with one request come from all of them. */
  private readonly agents = CALLER_ADDRESSES.map(
    (localAddress) => new Agent({ pipelining: 1, connections: 64, connect: { localAddress } }),
  );

  private readonly open = new Set<Promise<void>>();

  private isStopped = false;

  /** Requests so far, which number their paths. */
  private requestCount = 0;

  /** Streams so far, some of which have parts that end engines. */
  private streamCount = 0;

  /** Share of the callers that give up soon, from 0 to 1. */
  private givingUpShare = 0;

  /** Parts that end engines at present, and of how many streams each has one. */
  private readonly crashingParts = new Map<string, number>();

  constructor(private readonly options: CallersOptions) {}

  /** Sends requests until {@link stop}. */
  async run(): Promise<void> {
    const { random, requestsPerSecond, timers } = this.options;
    let nextAt = timers.now();
    while (!this.isStopped) {
      nextAt += (-Math.log(1 - random.between(0, 1)) * MS_PER_SECOND) / requestsPerSecond;
      const waitMs = nextAt - timers.now();
      if (waitMs > 0) await timers.sleep(waitMs);
      if (!this.isStopped) this.begin();
    }
  }

  /** Stops sending, and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.open);
    await Promise.all(this.agents.map((agent) => agent.destroy()));
  }

  /**
   * Sends one request again and again, each time as soon as it has failed or a moment later.
   * @param copies - Copies that are sent at once.
   * @returns A function that ends it.
   */
  repeatCrashing(copies: number): () => void {
    const route = pickRoute(this.options.random);
    const path = this.nextPath(route, `/${CRASHING_PATH}`);
    const end = new AbortController();
    for (let copy = 0; copy < copies; copy += 1) this.track(this.resend(route, path, end.signal));
    return () => end.abort();
  }

  /**
   * Gives some streams a part that ends engines.
   * @param every - One stream in so many has it.
   * @returns A function that ends it.
   */
  sendCrashing(part: CrashingPart, every: number): () => void {
    const name = nameCrashingPart(part);
    this.crashingParts.set(name, every);
    return () => this.crashingParts.delete(name);
  }

  /**
   * Has a part of the callers close their connections soon, and not come back.
   * @param share - From 0 to 1.
   * @returns A function that ends it.
   */
  giveUp(share: number): () => void {
    this.givingUpShare = share;
    return () => {
      this.givingUpShare = 0;
    };
  }

  private nextCrashingPart({ kind }: SoakRoute): string | undefined {
    if (kind !== 'streaming') return undefined;
    this.streamCount += 1;
    return [...this.crashingParts].find(([, every]) => this.streamCount % every === 0)?.[0];
  }

  private async resend(route: SoakRoute, path: string, signal: AbortSignal): Promise<void> {
    const { timers, random } = this.options;
    const adapter = this.pickAdapter();
    while (!signal.aborted && !this.isStopped) {
      await this.call({ route, path, adapter, isFirst: false, deadlineAt: timers.now() + route.timeoutMs });
      await timers.sleep(random.between(MIN_RESEND_MS, MAX_RESEND_MS));
    }
  }

  private begin(): void {
    const route = pickRoute(this.options.random);
    this.track(this.callWithRetry(route));
  }

  private track(task: Promise<void>): void {
    const tracked = task.finally(() => this.open.delete(tracked));
    this.open.add(tracked);
  }

  private nextPath({ name }: SoakRoute, end = ''): string {
    this.requestCount += 1;
    return `/${name}/${this.requestCount}${end}`;
  }

  /** Sends a request, and comes back after a failure: once, or to take a stream up again and again. */
  private async callWithRetry(route: SoakRoute): Promise<void> {
    const { timers, hasRetries } = this.options;
    const deadlineAt = timers.now() + route.timeoutMs;
    const adapter = this.pickAdapter();
    const path = this.nextPath(route);
    const crashingPart = this.nextCrashingPart(route);
    let wanted: CallerRequest = { route, path, crashingPart, adapter, isFirst: true, deadlineAt };
    for (let sent = 1; ; sent += 1) {
      const attempt = await this.call(wanted);
      const mayRetry = attempt.outcome === CallerOutcome.Refused || route.kind !== 'unsafe';
      if (attempt.outcome === CallerOutcome.Served || attempt.hasGivenUp || !mayRetry) return;
      const part = route.isResumable ? (partOf(attempt) ?? wanted.part) : undefined;
      if (part !== undefined && attempt.status === undefined && attempt.events.length === 0) {
        // No daemon took it: a caller that has a part of a stream comes back until one does.
        sent -= 1;
        await timers.sleep(UNREACHED_WAIT_MS);
      }
      const maxSent = part === undefined ? MAX_ATTEMPTS : MAX_STREAM_ATTEMPTS;
      if (!hasRetries || this.isStopped || sent >= maxSent) return;
      const leftMs = Math.max(0, deadlineAt - timers.now());
      await timers.sleep(Math.min(attempt.retryAfterMs, leftMs * MAX_RETRY_SHARE));
      if (timers.now() >= deadlineAt) return;
      wanted = { ...wanted, isFirst: false, part };
    }
  }

  private async call(wanted: CallerRequest) {
    const { route, path, crashingPart, adapter, part, isFirst, deadlineAt } = wanted;
    const { balancer, random, timers } = this.options;
    const daemon = random.pick(balancer.inRotation());
    const limitMs = Math.max(1, Math.floor(deadlineAt - timers.now()));
    const attempt: CallerAttempt = {
      id: `c${this.attempts.length}`,
      route,
      path,
      crashingPart,
      isFirst,
      daemon: daemon.name,
      sentAt: timers.wall(),
      limitMs,
      toldLeaving: undefined,
      outcome: undefined,
      status: undefined,
      code: undefined,
      events: [],
      hasLeft: false,
      ...part,
    };
    this.attempts.push(attempt);
    const { outcome, status, retryAfterMs } = await this.send(daemon, attempt, adapter).catch(() => ({
      outcome: CallerOutcome.Failed,
      status: undefined,
      retryAfterMs: 0,
    }));
    Object.assign(attempt, { outcome, status, endedAt: timers.wall() });
    return { ...attempt, retryAfterMs };
  }

  private async send({ callers }: DaemonAddress, attempt: CallerAttempt, adapter: number) {
    const { route, path, events, limitMs } = attempt;
    const { statusCode, headers, body } = await request(`http://${callers}${path}`, {
      dispatcher: this.agents[this.attempts.length % this.agents.length]!,
      method: route.kind === 'safe' ? 'GET' : 'POST',
      headers: headersOf(attempt, adapter),
      signal: this.leavingSignal(attempt, limitMs),
      ...this.transferOf(attempt),
    });
    const replica = headers[REPLICA_HEADER];
    if (headers['server-leaving'] === '1' && typeof replica === 'string')
      Object.assign(attempt, { toldLeaving: { replica, at: this.options.timers.wall() } });
    const leavesAfter = this.drawEventsUntilLeaving(attempt);
    if (statusCode >= FIRST_FAILURE) Object.assign(attempt, { code: resultCodeOf(await body.text()) });
    else
      await readEvents(body, (event) => {
        events.push(event);
        Object.assign(attempt, { hasLeft: events.length >= leavesAfter });
        return !attempt.hasLeft;
      });
    const retryAfterMs = Number(headers['retry-after'] ?? 0) * MS_PER_SECOND;
    return { outcome: outcomeOf(statusCode), status: statusCode, retryAfterMs };
  }

  /** Draws after how many events the caller closes its connection, to take the stream up elsewhere. */
  private drawEventsUntilLeaving({ route, isFirst }: CallerAttempt): number {
    const { random, hasRetries } = this.options;
    if (!hasRetries || !route.isResumable || !isFirst || !random.chance(LEAVING_SHARE)) return Infinity;
    return Math.ceil(random.between(0, MAX_EVENTS_UNTIL_LEAVING));
  }

  /** Aborts a request at its deadline, or soon if its caller gives up. */
  private leavingSignal(attempt: CallerAttempt, limitMs: number): AbortSignal {
    const { random, timers } = this.options;
    const deadline = AbortSignal.timeout(limitMs);
    if (this.givingUpShare === 0 || limitMs <= GIVE_UP_MS || !random.chance(this.givingUpShare))
      return deadline;
    const leaving = new AbortController();
    timers.after(GIVE_UP_MS, () => {
      if (attempt.outcome === undefined) Object.assign(attempt, { hasLeft: true, hasGivenUp: true });
      leaving.abort();
    });
    return AbortSignal.any([deadline, leaving.signal]);
  }

  /** How the request is sent: while callers give up, some have bodies in one or two parts, or connections of their own. */
  private transferOf({ route }: CallerAttempt): { body?: Readable | string; reset?: boolean } {
    if (this.givingUpShare === 0) return {};
    const { length } = this.attempts;
    const reset = length % NEW_CONNECTION_EVERY === 0;
    if (route.kind === 'safe') return { reset };
    return {
      reset,
      body: length % 2 === 0 ? BODY_PART + BODY_PART : Readable.from(bodyParts(this.options.timers)),
    };
  }

  private pickAdapter(): number {
    const { random, adapters } = this.options;
    return Math.floor(random.between(0, adapters));
  }
}

async function* bodyParts(timers: TimerService): AsyncGenerator<string, void, undefined> {
  yield BODY_PART;
  await timers.sleep(BODY_PAUSE_MS);
  yield BODY_PART;
}

/** What a caller has of a stream after an attempt; undefined if that brought nothing of it. */
function partOf({ id, events, resumes }: CallerAttempt): StreamPart | undefined {
  const last = events.at(-1);
  return last && { lastEventId: last.id, resumes: resumes ?? id };
}

/** Parts of the prompt of a request; some are far more frequent than others, the last one is its own. */
function promptPartsOf({ path, crashingPart }: CallerAttempt): string {
  const number = Number(path.split('/')[2]);
  const second = crashingPart ?? `b${(number * number) % SECOND_PARTS}`;
  return `a${number % FIRST_PARTS}:80,${second}:40,c${number}:20`;
}

function headersOf(attempt: CallerAttempt, adapter: number): Record<string, string> {
  const {
    id,
    route: { kind },
    limitMs,
    lastEventId,
    resumes,
  } = attempt;
  const generation = {
    'celeryyoke-model': `${MODEL_NAME}/a${adapter}`,
    'celeryyoke-token-count': '200,60',
    [PROMPT_PARTS_HEADER]: promptPartsOf(attempt),
  };
  return {
    host: CALLER_HOST,
    'celeryyoke-request-id': id,
    'celeryyoke-deadline-remaining': String(limitMs),
    ...(kind === 'streaming' ? generation : {}),
    ...(resumes === undefined ? {} : { resumes, 'last-event-id': String(lastEventId) }),
  };
}

function resultCodeOf(body: string): number | undefined {
  const [, code] = RESULT_CODE.exec(body) ?? [];
  return code === undefined ? undefined : Number(code);
}

function outcomeOf(status: number): CallerOutcome {
  if (status === OK) return CallerOutcome.Served;
  return PROMISES.has(status) ? CallerOutcome.Refused : CallerOutcome.Failed;
}

function pickRoute(random: Random): SoakRoute {
  const sum = ROUTES.reduce((total, { weight }) => total + weight, 0);
  let place = random.between(0, sum);
  return ROUTES.find(({ weight }) => {
    place -= weight;
    return place < 0;
  })!;
}
