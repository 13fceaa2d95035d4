/** Engines, whole daemons and callers that check each event of their streams: its id, software version and run. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { MODEL_NAME, StoreStandIn } from '@celeryyoke/adapter/testing';
import type { TimerHandle } from '@celeryyoke/core';
import { createSystemTimers } from '@celeryyoke/core';
import type { Random } from '@celeryyoke/routing/testing';
import { createRandom } from '@celeryyoke/routing/testing';

import { ProcessGroup } from '../src/core/processes/index.js';
import { Daemons } from '../src/core/run/daemons.js';
import {
  claimNetworks,
  discardHistory,
  ENGINE_SERVICE,
  HEARTBEAT_MS,
  PLAIN_SERVICE,
  putConfiguration,
} from '../src/core/site/index.js';
import { ApartEngine } from './apart-engines.js';
import type { OrderedAnswer, OrderedEvent } from './ordered-caller.js';
import { callStream } from './ordered-caller.js';
import type { StreamStyle } from './ordered-engine.js';
import { EVENT_MS, EVENTS, OrderedEngine } from './ordered-engine.js';

const HOST = '127.0.0.1';
const SLOTS = 40;
const ADAPTERS = 6;
const DAEMONS = 4;
const ENGINES = 4;
const CALLERS = 24;
/** Times for which callers wait, in milliseconds. */
const DEADLINES_MS = [12_000, 8000, 5000] as const;
const MAX_ATTEMPTS = 8;
const MAX_PAUSE_MS = 600;
/** Share of the streams whose callers leave in between and take them up at another daemon. */
const LEAVING_CHANCE = 0.3;
/** Share of the streams that can't be resumed. */
const BATCH_CHANCE = 0.15;
/** Time from the first start of the daemons to the traffic, in milliseconds. */
const SETTLE_MS = 5000;
const MS_PER_SECOND = 1000;

const timers = createSystemTimers();

/** What callers of a play do. */
export interface CallerStyle {
  /** Whether they name no first attempt when they take a stream up. */
  readonly namesNone?: boolean;
  /** Callers that share each request, as one account's two streams with the same body do. */
  readonly sharing?: number;
  /** Writes the id of the last event. */
  readonly writeId?: (id: number) => string;
  /** Whether they take a stream up while the attempt before goes on. */
  readonly overlaps?: boolean;
  /** Whether they read in pauses. */
  readonly readsSlowly?: boolean;
}

/** An engine, of this process or apart. */
type ListedEngine = Pick<OrderedEngine, 'port'> & {
  readonly process:
    | (Pick<NonNullable<OrderedEngine['process']>, 'id' | 'version'> & {
        readonly state: { readonly born?: number | undefined };
      })
    | undefined;
};

/** A way to play. */
export interface OrderPlay {
  readonly seconds: number;
  readonly style?: StreamStyle;
  readonly callers?: CallerStyle;
  /** Software versions of the engines at the start; v1 by default. */
  readonly versions?: readonly string[];
  /** Whether engines are processes of their own; what their events look like then. */
  readonly apart?: { readonly isUnframed: boolean; readonly eventBytes: number };
  /** Whether they are plain replicas, whose answers are buffered whole. */
  readonly isPlain?: boolean;
  /** Brings the faults about; runs beside the callers. */
  readonly faults?: (fleet: OrderedFleet) => Promise<void>;
}

/** What a play has shown. */
export interface OrderResult {
  readonly streams: number;
  readonly whole: number;
  readonly takenUp: number;
  readonly wentOn: number;
  readonly violations: readonly string[];
  /** Directory of the logs. */
  readonly dir: string;
}

/** A fleet of one play. */
export class OrderedFleet {
  readonly store = new StoreStandIn();

  readonly processes = new ProcessGroup();

  readonly engines: OrderedEngine[] = [];

  readonly apart: ApartEngine[] = [];

  readonly random: Random;

  readonly dir = mkdtempSync(join(tmpdir(), 'celeryyoke-order-'));

  readonly daemons: Daemons;

  readonly violations: string[] = [];

  /** Engines whose entries say something else than they are. */
  readonly entryVersions = new Map<ListedEngine, string>();

  readonly draining = new Set<ListedEngine>();

  private heartbeats: TimerHandle | undefined;

  private writeCount = 0;

  private streams = 0;

  private whole = 0;

  private takenUp = 0;

  private wentOn = 0;

  constructor(
    readonly seed: number,
    program: string,
    private readonly play: OrderPlay,
    storePort: () => number,
  ) {
    this.random = createRandom(`order-${seed}`);
    this.daemons = new Daemons({
      processes: this.processes,
      program,
      dir: this.dir,
      get storePort() {
        return storePort();
      },
      count: DAEMONS,
      timers,
    });
  }

  /** Starts everything and waits until daemons own the engines. */
  async start(): Promise<void> {
    putConfiguration(this.store, 1);
    if (this.play.apart === undefined) await this.startEngines();
    else await this.startApart(this.play.apart);
    this.heartbeats = timers.repeat(HEARTBEAT_MS, () => {
      for (const engine of [...this.engines, ...this.apart]) this.writeEntry(engine);
      discardHistory(this.store, timers.wall());
    });
    for (const daemon of this.daemons.addresses) this.daemons.start(daemon, true);
    await timers.sleep(SETTLE_MS);
  }

  private async startEngines(): Promise<void> {
    for (let index = 0; index < ENGINES; index += 1) {
      const engine = new OrderedEngine(`e${index}`, createRandom(`${this.seed}-${index}`));
      engine.style = this.play.style ?? {};
      await engine.listen();
      engine.boot(`i-${index}`, this.play.versions?.[index] ?? 'v1');
      this.engines.push(engine);
      this.writeEntry(engine);
    }
  }

  private async startApart(style: NonNullable<OrderPlay['apart']>): Promise<void> {
    for (let index = 0; index < ENGINES; index += 1) {
      const name = `e${index}`;
      const engine = new ApartEngine(this.processes, this.dir, {
        ...style,
        name,
        seed: `${this.seed}-${name}`,
      });
      await engine.boot('v1');
      this.apart.push(engine);
      this.writeEntry(engine);
    }
  }

  /** Starts a process in place of one that ends, and lists it in its place. */
  async replaceApart(engine: ApartEngine, pauseMs: number): Promise<void> {
    const before = engine.process!.id;
    await engine.ended();
    await timers.sleep(pauseMs);
    await engine.boot('v1');
    this.writeEntry(engine);
    this.store.remove(`servers/${before}`);
  }

  /** Writes the entry of an engine, if one runs there. */
  writeEntry(engine: ListedEngine): void {
    const { process } = engine;
    if (process === undefined) return;
    this.writeCount += 1;
    this.store.put(`servers/${process.id}`, {
      service: this.play.isPlain ? PLAIN_SERVICE : ENGINE_SERVICE,
      address: `${HOST}:${engine.port}`,
      zone: 'a',
      version: this.entryVersions.get(engine) ?? process.version,
      slots: SLOTS,
      state: this.draining.has(engine) ? 'draining' : 'ready',
      sequence: this.writeCount,
      born: process.state.born,
      ...(this.play.isPlain ? {} : { models: [{ name: MODEL_NAME, version: 1, adapters: [] }] }),
    });
  }

  /** Starts a process at an engine's address, and lists it after a time. */
  async bootEngine(engine: OrderedEngine, id: string, version: string, listedAfterMs = 0): Promise<void> {
    engine.boot(id, version);
    const { process } = engine;
    // The heartbeat lists it too, which is as late for other engines.
    if (listedAfterMs > 0) await timers.sleep(listedAfterMs);
    if (engine.process === process) this.writeEntry(engine);
  }

  /** Has callers run until the time is over; resolves when all their streams have ended. */
  async runCallers(): Promise<void> {
    const endAt = timers.now() + this.play.seconds * MS_PER_SECOND;
    const faults = this.play.faults?.(this);
    await Promise.all(Array.from({ length: CALLERS }, (_, index) => this.runCaller(index, endAt)));
    await faults;
  }

  result(): OrderResult {
    const { streams, whole, takenUp, wentOn, violations, dir } = this;
    return { streams, whole, takenUp, wentOn, violations, dir };
  }

  async stop(): Promise<void> {
    this.heartbeats?.cancel();
    await this.processes.stop();
    for (const engine of this.engines) engine.close();
    await this.store.close();
  }

  private async runCaller(index: number, endAt: number): Promise<void> {
    const random = createRandom(`${this.seed}-caller-${index}`);
    await timers.sleep(random.between(0, EVENT_MS * EVENTS));
    for (let number = 0; timers.now() < endAt; number += 1) {
      const sharing = this.play.callers?.sharing ?? 1;
      await this.runStream(`${index}-${number}`, `${Math.floor(index / sharing)}-${number}`, random);
    }
  }

  /**
   * Returns the route of a request.
   * @param isRepeatable - Whether another run may go on with it, or repeat it.
   */
  private routeOf(isRepeatable: boolean): string {
    if (this.play.isPlain) return isRepeatable ? 'read' : 'notice';
    return isRepeatable ? 'live' : 'batch';
  }

  private async runStream(name: string, path: string, random: Random): Promise<void> {
    const { callers = {} } = this.play;
    const isResumable = !random.chance(BATCH_CHANCE);
    const deadlineAt = timers.now() + random.pick(DEADLINES_MS);
    const events: OrderedEvent[] = [];
    let first: string | undefined;
    this.streams += 1;
    const { addresses } = this.daemons;
    let place = Math.floor(random.between(0, addresses.length));
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const leftMs = Math.floor(deadlineAt - timers.now());
      if (leftMs < EVENT_MS) return;
      place = (place + 1) % addresses.length;
      const id = `s${this.seed}-${name}-${attempt}`;
      const after = events.at(-1)?.id;
      const leavesAfter = random.chance(LEAVING_CHANCE) ? Math.ceil(random.between(1, EVENTS)) : Infinity;
      const isTakeUp = after !== undefined;
      if (isTakeUp) this.takenUp += 1;
      const pending = callStream({
        callers: addresses[place]!.callers,
        id,
        path: `/${this.routeOf(isResumable)}/${path}`,
        adapter: this.play.isPlain ? undefined : Number(path.split('-')[0]) % ADAPTERS,
        leftMs,
        leavesAfter: isResumable && !this.play.isPlain ? leavesAfter : Infinity,
        ...(isTakeUp ? { lastEventId: (callers.writeId ?? String)(after) } : {}),
        resumes: callers.namesNone || !isTakeUp ? undefined : first,
        overlaps: callers.overlaps === true,
        readsSlowly: callers.readsSlowly === true,
      });
      const answer = await pending;
      this.check({
        id,
        first: first ?? id,
        after: after ?? 0,
        before: events,
        answer,
        daemon: addresses[place]!.name,
      });
      if (isTakeUp && answer.events.length > 0) this.wentOn += 1;
      events.push(...answer.events);
      if (answer.events.length > 0) first ??= id;
      if (answer.isWhole) {
        this.whole += 1;
        return;
      }
      if (!isResumable && answer.events.length > 0) return;
      await timers.sleep(Math.min(answer.retryAfterMs, MAX_PAUSE_MS));
    }
  }

  /** Checks what one attempt has brought. */
  private check(attempt: {
    readonly id: string;
    readonly first: string;
    readonly after: number;
    readonly before: readonly OrderedEvent[];
    readonly answer: OrderedAnswer;
    readonly daemon: string;
  }): void {
    const { id, first, after, before, answer, daemon } = attempt;
    const { events, isWhole } = answer;
    const report = (what: string): void => {
      this.violations.push(`${what}: ${id} at ${daemon}, began by ${first}, after ${after}`);
    };
    const ids = events.map((event) => event.id);
    const odd = ids.findIndex((event, index) => event !== after + 1 + index);
    if (odd >= 0) report(`event ${ids[odd]} in place of ${after + 1 + odd}`);
    const versions = new Set([...before, ...events].map(({ version }) => version));
    if (versions.size > 1) report(`versions ${[...versions].join(' ')}`);
    if (isWhole && (ids.at(-1) ?? after) !== EVENTS) report(`whole after event ${ids.at(-1) ?? after}`);
    const joined = events.find(
      (event, index) => event.run !== (events[index - 1]?.run ?? '') && event.after !== event.id - 1,
    );
    if (joined !== undefined) report(`event ${joined.id} of a run after ${joined.after}`);
  }
}

/** Plays a way with a seed. */
export async function playOrder(program: string, seed: number, play: OrderPlay): Promise<OrderResult> {
  await claimNetworks();
  let port = 0;
  const fleet = new OrderedFleet(seed, program, play, () => port);
  try {
    await fleet.store.start();
    port = fleet.store.port;
    await fleet.start();
    await fleet.runCallers();
    return fleet.result();
  } finally {
    await fleet.stop();
  }
}
