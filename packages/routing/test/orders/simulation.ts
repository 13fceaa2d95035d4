/**
 * Plays an engine under random demand, owners that follow one another, and trouble on the ways, on a virtual clock.
 *
 * A seed names the whole play: the engine's room, how long loads take, when owners change and how late the former one hears
 * of it, which calls get lost, when the engine starts again and which versions are declared.
 */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import type { EngineControl, EngineOrder, EngineSpec, ReplicaEntry } from '@celeryyoke/routing';
import { EngineOwner } from '@celeryyoke/routing';

import { engineEntry, log, MODEL } from '../fakes.js';
import { OrderedEngine, RunAnswer } from './simulated-engine.js';
import type { Plan } from './scenario.js';
import { drawPlan, KINDS, PlayKind } from './scenario.js';
import type { Random } from './random.js';
import { createRandom } from './random.js';
import { Way } from './faulty-link.js';

/** Time for which trouble goes on, and then the time to settle before the last look, in milliseconds. */
const TROUBLE_MS = 12_000;
const SETTLE_MS = 9000;
/** Longest wait of a request for its adapter, in milliseconds. */
const PATIENCE_MS = 800;
/** Longest time until a load that nothing stands against is done, in milliseconds. */
const CALM_LIMIT_MS = 3000;
/** Share of the changes at which the former owner's process has ended. */
const ENDED_SHARE = 0.3;
/** Time after which a caller asks again, in milliseconds. */
const RETRY_MS = 100;
/** Stands for an answer to a caller that is refused. */
const REFUSED = 'refused';
const TOKEN_STEP = 4096;
/** Lines kept for a play that fails. */
const MAX_TRACE = 80;

/** What a play shows. */
export interface PlayResult {
  /** Times the engine was ordered beyond its room. */
  readonly overloads: number;
  /** Requests that ran, so that a play in which nothing happens is noticed. */
  readonly runs: number;
  /** Whether an adapter can be had at the end, when nothing goes wrong any more. */
  readonly servesAtEnd: boolean;
  /** Slots that the last owner takes for free or evictable at the end, when nothing runs; less than all is a leak. */
  readonly roomAtEnd: number;
  readonly places: number;
  /** Last orders before the first overload, or of the whole play. */
  readonly trace: readonly string[];
}

/** One daemon that keeps, or kept, the engine. */
class Holder {
  /** Undefined when it may give no orders. */
  token: number | undefined;

  readonly owner: EngineOwner;

  constructor(
    readonly way: Way,
    token: number,
    makeKeeper: (holder: Holder) => EngineOwner,
  ) {
    this.token = token;
    this.owner = makeKeeper(this);
  }

  /** Hears that another daemon keeps the engine. */
  retire(): void {
    this.token = undefined;
    this.owner.stop();
  }

  /** Ends as a process does; what it has sent is still under way. */
  end(): void {
    this.way.hasEnded = true;
    this.retire();
  }
}

/** One play. */
class Play {
  private readonly timers: ManualTimerService = createManualTimers();

  private readonly random: Random;

  /** Draws that leave those of the plain play as they are. */
  private readonly others: Random;

  private readonly plan: Plan;

  private readonly engine: OrderedEngine;

  private readonly running = new Map<string, number>();

  private readonly trace: string[] = [];

  private present: Holder;

  private holders = 0;

  private token = TOKEN_STEP;

  private runs = 0;

  private isCalm = false;

  /** Orders that still get the answers to other calls. */
  private othersLeft = 0;

  private readonly replica: ReplicaEntry = engineEntry('e');

  private readonly spec: EngineSpec;

  constructor(seed: string, kind: PlayKind) {
    this.random = createRandom(seed);
    const plan = drawPlan(this.random);
    this.others = createRandom(`${seed} others`);
    this.plan = KINDS[kind](plan, this.others);
    const { isFenced, places, loadMs } = this.plan;
    this.spec = {
      slots: 8,
      memoryMb: 1000,
      adapterSlots: places,
      modelLoadsPerSecond: 2,
      models: [{ name: MODEL, weightsMb: 90, adapterMb: 1 }],
    };
    this.engine = new OrderedEngine({
      timers: this.timers,
      isFenced,
      places,
      loadMs: () => this.random.between(loadMs[0], loadMs[1]),
      onEvent: (text) => this.note(`${this.timers.now().toFixed(1)} engine ${text}`),
    });
    this.present = this.makeHolder();
  }

  async run(): Promise<PlayResult> {
    const { plan, timers } = this;
    this.again(plan.betweenRequestsMs, () => {
      void this.request(this.adapter(), false);
    });
    this.again(plan.betweenKeepersMs, () => this.changeKeeper());
    this.again(plan.betweenRestartsMs, () => this.engine.restart());
    this.again(plan.betweenVersionsMs, () => this.declare());
    while (timers.now() < TROUBLE_MS && this.engine.overloads === 0) await timers.advance(50);
    this.isCalm = true;
    if (this.engine.overloads > 0) return this.result(false);
    await timers.advance(SETTLE_MS);
    return this.result(await this.servesNow());
  }

  private result(servesAtEnd: boolean): PlayResult {
    const { engine, runs, trace, plan } = this;
    const { freeSlots: roomAtEnd } = this.present.owner.slotAvailability();
    return { overloads: engine.overloads, runs, servesAtEnd, roomAtEnd, places: plan.places, trace };
  }

  /** Whether a caller that asks again when it is refused can have an adapter in time that nobody asked for so far. */
  private async servesNow(): Promise<boolean> {
    const { timers } = this;
    const endAt = timers.now() + CALM_LIMIT_MS;
    const ref = { model: MODEL, adapter: 'never-asked', version: undefined };
    let isServed = false;
    const asking = async (): Promise<void> => {
      while (!isServed && timers.now() < endAt) {
        const line = await this.present.owner.ensure(ref, urgency(CALM_LIMIT_MS)).catch(() => REFUSED);
        isServed = line === undefined;
        if (!isServed) await timers.sleep(RETRY_MS);
      }
    };
    void asking();
    await timers.advance(CALM_LIMIT_MS);
    return isServed;
  }

  private makeHolder(): Holder {
    const { timers, random, engine, plan } = this;
    this.holders += 1;
    const name = `d${this.holders}`;
    this.token += TOKEN_STEP;
    const trouble = (): number => (this.isCalm ? 0 : plan.trouble);
    const isTwice = (): boolean =>
      !this.isCalm && plan.answeredTwice > 0 && this.others.chance(plan.answeredTwice);
    const way = new Way({ timers, engine, random, trouble, isOther: () => this.isOther(), isTwice });
    const makeKeeper = (holder: Holder): EngineOwner =>
      new EngineOwner({
        replica: this.replica,
        engine: this.spec,
        self: name,
        control: this.tracedControl(name, way),
        isFenced: plan.isFenced,
        timers,
        log,
        fencingToken: () => holder.token,
        onFenced: () => holder.retire(),
        onResidencyChange: () => undefined,
        onRestart: () => undefined,
      });
    const holder = new Holder(way, this.token, makeKeeper);
    void holder.owner.run();
    return holder;
  }

  /** Whether the next order gets the answer to another call. */
  private isOther(): boolean {
    const { plan, others } = this;
    if (this.isCalm) return false;
    if (this.othersLeft > 0) {
      this.othersLeft -= 1;
      return true;
    }
    const isOther = others.chance(plan.otherAnswers);
    if (isOther && plan.inRow > 1) this.othersLeft = Math.floor(others.between(1, plan.inRow));
    return isOther;
  }

  private tracedControl(name: string, way: Way): EngineControl {
    return {
      connect: (replica, onClosed) => {
        const connection = way.connect(replica, onClosed);
        return {
          get isOpen() {
            return connection.isOpen;
          },
          order: (order) => this.traced(name, order, connection.order(order)),
          report: () => connection.report(),
          close: () => connection.close(),
        };
      },
      report: (replica) => way.report(replica),
    };
  }

  private async traced<T>(
    name: string,
    { kind, adapter, expected }: EngineOrder,
    outcome: Promise<T>,
  ): Promise<T> {
    const sentAt = this.timers.now();
    const answer = await outcome;
    const span = `${sentAt.toFixed(1)}-${this.timers.now().toFixed(1)}`;
    const number = expected === undefined ? '' : ` #${expected}`;
    const room = `${this.engine.occupied}/${this.plan.places}`;
    this.note(`${span} ${name} ${kind} ${adapter ?? MODEL}${number}: ${String(answer)} (${room})`);
    return answer;
  }

  private note(line: string): void {
    if (this.engine.overloads > 0) return;
    this.trace.push(line);
    if (this.trace.length > MAX_TRACE) this.trace.shift();
  }

  /** Another daemon keeps the engine; the former one hears of it late, or has ended. */
  private changeKeeper(): void {
    const { random, timers, plan } = this;
    const former = this.present;
    if (random.chance(ENDED_SHARE)) former.end();
    else timers.after(random.between(0, plan.deafMs), () => former.retire());
    this.present = this.makeHolder();
  }

  private declare(): void {
    const adapter = this.adapter();
    const version = this.engine.newestOf(adapter) + 1;
    this.engine.declare(adapter, version);
    const { owner } = this.present;
    this.timers.after(this.random.between(0, this.plan.lagMs), () => {
      if (!owner.hasOlderVersion(`${MODEL}/${adapter}`, version)) return;
      owner.ensure({ model: MODEL, adapter, version }, urgency(PATIENCE_MS)).catch(() => undefined);
    });
  }

  private async request(adapter: string, isDoubted: boolean): Promise<void> {
    const { timers, random, engine } = this;
    const { owner } = this.present;
    const version = engine.newestOf(adapter) > 1 ? engine.newestOf(adapter) : undefined;
    try {
      const ref = { model: MODEL, adapter, version, isDoubted };
      if ((await owner.ensure(ref, urgency(PATIENCE_MS))) !== undefined) return;
    } catch {
      return;
    }
    await timers.sleep(random.between(0, 3));
    const answer = engine.begin(adapter);
    if (answer === RunAnswer.NotHeld && !isDoubted) await this.request(adapter, true);
    if (answer !== RunAnswer.Runs) return;
    this.runs += 1;
    this.count(adapter, 1);
    await timers.sleep(random.between(20, 700));
    engine.end(adapter);
    this.count(adapter, -1);
  }

  /** The owner hears of what runs a while later. */
  private count(adapter: string, by: number): void {
    const { timers, random, plan, running } = this;
    const key = `${MODEL}/${adapter}`;
    timers.after(random.between(0, plan.lagMs), () => {
      running.set(key, (running.get(key) ?? 0) + by);
      if (by > 0) this.present.owner.recordUses(key, by);
      this.present.owner.setRunning(running);
    });
  }

  /** Few adapters are asked for often, many seldom. */
  private adapter(): string {
    const { random, plan } = this;
    return `a${Math.floor(random.between(0, 1) ** 2 * plan.adapters)}`;
  }

  private again(everyMs: number, what: () => void): void {
    const next = (): void => {
      this.timers.after(this.random.between(0, 2 * everyMs), () => {
        if (this.isCalm) return;
        what();
        next();
      });
    };
    next();
  }
}

function urgency(timeoutMs: number) {
  return {
    rank: 1,
    waitedMs: 0,
    dueInMs: timeoutMs,
    lastCallMs: timeoutMs,
    patienceMs: timeoutMs,
    timeoutMs,
  };
}

/**
 * Plays one seed.
 * @param seed - Names the play.
 * @param kind - What it adds to the ordinary trouble.
 * @returns What it shows.
 */
export function play(seed: string, kind = PlayKind.Plain): Promise<PlayResult> {
  return new Play(seed, kind).run();
}
