/**
 * A stand-in for an engine that takes orders, as strict as the engines' protocol, and that ends when it is ordered beyond
 * its room.
 *
 * Where the protocol leaves the order of its checks open, it does what engines were seen to do: the fencing token first, then
 * a load that is on its way already, then the number of orders, then an unload that waits for its runs. Only an order that is
 * answered as accepted or as done raises the fence, and only one that begins something counts.
 */
import type { TimerService } from '@celeryyoke/core';
import type { EngineOrder, EngineReport } from '@celeryyoke/routing';
import { OrderKind, OrderOutcome } from '@celeryyoke/routing';

import { MODEL } from '../fakes.js';

/** Adapters that an engine takes in at once. */
const MAX_COMING = 4;
/** Age of what a report says, in milliseconds. */
const REPORT_LAG_MS = 200;
/** Time from the end of an engine until it is back, in milliseconds. */
const DOWN_MS = 300;
/** Time of a load of the base model, in milliseconds. */
const MODEL_LOAD_MS = 400;

/** What a request to run on an adapter is answered. */
export enum RunAnswer {
  Runs = 'runs',
  /** Refused as the adapter is not in place; it has not run. */
  NotHeld = 'notHeld',
  /** Refused as an order concerns the adapter; it has not run. */
  Ordered = 'ordered',
  /** The engine does not answer. */
  Silent = 'silent',
}

/** An adapter in place. */
interface Held {
  readonly version: number;
  running: number;
}

/** Options of the engine. */
export interface OrderedEngineOptions {
  readonly timers: TimerService;
  /** Adapters for which there is room, those on their way included. */
  readonly places: number;
  /** Whether it refuses an order whose token is lower than one that it has seen; not every engine does. */
  readonly isFenced?: boolean;
  /** Draws the time of the next load of an adapter, in milliseconds. */
  readonly loadMs: () => number;
  /** Told what happens on it, for the trace of a play that fails. */
  readonly onEvent?: (text: string) => void;
}

/** The engine. */
export class OrderedEngine {
  /** Times it was ordered beyond its room; each one ends it. */
  overloads = 0;

  /** Whether it answers at all. */
  isDown = false;

  /** Start of this life: what was set off in an earlier one has no effect. */
  life = 0;

  private sequence = 0;

  private fence = 0;

  private hasModel = true;

  private isModelComing = false;

  private held = new Map<string, Held>();

  /** Adapters on their way, and the version that comes. */
  private coming = new Map<string, number>();

  /** An adapter that was ordered away and waits for its runs to end. */
  private leaving: string | undefined;

  /** Newest versions that were declared; 1 where none was. */
  private readonly newest = new Map<string, number>();

  private readonly reports: { readonly at: number; readonly report: EngineReport }[] = [];

  /**
   * Makes an engine with its base model in place.
   * @param options - Time, room and how long loads take.
   */
  constructor(private readonly options: OrderedEngineOptions) {
    this.changed();
  }

  /** Adapters that take up room. */
  get occupied(): number {
    return this.held.size + this.coming.size;
  }

  /** Names of the adapters in place. */
  names(): string[] {
    return [...this.held.keys()];
  }

  /** Declares a newer version of an adapter. */
  declare(adapter: string, version: number): void {
    this.newest.set(adapter, Math.max(version, this.newest.get(adapter) ?? 1));
  }

  /** Newest version of an adapter. */
  newestOf(adapter: string): number {
    return this.newest.get(adapter) ?? 1;
  }

  /** Takes an order and answers it. */
  take(order: EngineOrder): OrderOutcome {
    const { kind, adapter, token, expected } = order;
    if (token < this.fence && this.options.isFenced !== false) return OrderOutcome.Fenced;
    const isComing = kind === OrderKind.Load && adapter !== undefined && this.coming.has(adapter);
    const isNumberWrong = expected !== undefined && expected !== this.sequence;
    if (!isComing && (isNumberWrong || this.isAtAnotherOrder(order))) return OrderOutcome.Busy;
    const outcome = this.carryOut(order);
    if (outcome === OrderOutcome.Done || outcome === OrderOutcome.Started) this.fence = token;
    return outcome;
  }

  /** What it says of itself, as of some time ago. */
  report(): EngineReport {
    const at = this.options.timers.now() - REPORT_LAG_MS;
    while (this.reports.length > 1 && this.reports[1]!.at <= at) this.reports.shift();
    return this.reports[0]!.report;
  }

  /** Begins a request on an adapter. */
  begin(adapter: string): RunAnswer {
    if (this.isDown) return RunAnswer.Silent;
    if (this.leaving === adapter) return RunAnswer.Ordered;
    const held = this.held.get(adapter);
    if (held === undefined) return RunAnswer.NotHeld;
    if (this.coming.has(adapter)) return RunAnswer.Ordered;
    held.running += 1;
    return RunAnswer.Runs;
  }

  /** Ends a request on an adapter. */
  end(adapter: string): void {
    const held = this.held.get(adapter);
    if (held === undefined || held.running === 0) return;
    held.running -= 1;
    if (held.running === 0 && this.leaving === adapter) {
      this.tell(`${adapter} is gone with its last run`);
      this.leaving = undefined;
      this.held.delete(adapter);
    }
    this.changed();
  }

  /** Ends, and starts again under its name: empty, and with no memory of orders and tokens. */
  restart(): void {
    this.tell('starts again');
    this.life += 1;
    this.isDown = true;
    this.sequence = 0;
    this.fence = 0;
    this.hasModel = false;
    this.isModelComing = false;
    this.leaving = undefined;
    this.held = new Map();
    this.coming = new Map();
    this.reports.length = 0;
    this.changed();
    const { life } = this;
    this.options.timers.after(DOWN_MS, () => {
      if (life === this.life) this.isDown = false;
    });
  }

  private isAtAnotherOrder({ kind, adapter }: EngineOrder): boolean {
    if (this.isModelComing) return adapter !== undefined || kind === OrderKind.Unload;
    if (this.leaving === undefined) return false;
    return kind === OrderKind.Load || adapter !== this.leaving;
  }

  private carryOut({ kind, adapter, version, holder }: EngineOrder): OrderOutcome {
    if (adapter === undefined) return this.loadModel();
    if (!this.hasModel) return OrderOutcome.Misdirected;
    return kind === OrderKind.Load ? this.load(adapter, version, holder) : this.unload(adapter);
  }

  private loadModel(): OrderOutcome {
    if (this.hasModel) return OrderOutcome.Done;
    if (this.isModelComing) return OrderOutcome.Started;
    this.sequence += 1;
    this.isModelComing = true;
    this.later(MODEL_LOAD_MS, () => {
      this.isModelComing = false;
      this.hasModel = true;
    });
    return OrderOutcome.Started;
  }

  private load(adapter: string, asked: number | undefined, holder: string): OrderOutcome {
    const version = asked ?? this.newestOf(adapter);
    if (version > this.newestOf(adapter)) return OrderOutcome.Refused;
    if (this.coming.has(adapter)) return OrderOutcome.Started;
    const held = this.held.get(adapter);
    if (held !== undefined && held.version >= version) return OrderOutcome.Done;
    if (this.coming.size >= MAX_COMING) return OrderOutcome.Busy;
    if (this.occupied >= this.options.places) {
      this.tell(`ordered beyond its room by ${holder} with ${adapter}`);
      this.overloads += 1;
      this.restart();
      return OrderOutcome.Unknown;
    }
    this.sequence += 1;
    this.coming.set(adapter, version);
    this.later(this.options.loadMs(), () => this.arrive(adapter, version));
    return OrderOutcome.Started;
  }

  /** A newer version takes the place of the older one when that one's runs have ended. */
  private arrive(adapter: string, version: number): void {
    if ((this.held.get(adapter)?.running ?? 0) > 0) {
      this.later(1, () => this.arrive(adapter, version));
      return;
    }
    this.tell(`${adapter}@${version} is in place`);
    this.coming.delete(adapter);
    this.held.set(adapter, { version, running: 0 });
  }

  /** One that is on its way is not there yet: there is nothing to unload, and it arrives all the same. */
  private unload(adapter: string): OrderOutcome {
    const held = this.held.get(adapter);
    if (held === undefined) return OrderOutcome.Done;
    if (this.leaving === adapter) return OrderOutcome.Started;
    this.sequence += 1;
    if (held.running > 0) {
      this.leaving = adapter;
      this.changed();
      return OrderOutcome.Started;
    }
    this.held.delete(adapter);
    this.changed();
    return OrderOutcome.Done;
  }

  private later(ms: number, change: () => void): void {
    const { life } = this;
    this.changed();
    this.options.timers.after(ms, () => {
      if (life !== this.life) return;
      change();
      this.changed();
    });
  }

  private tell(text: string): void {
    this.options.onEvent?.(
      `${text}; holds ${[...this.held.keys()].join(' ')}, coming ${[...this.coming.keys()].join(' ')}`,
    );
  }

  /** Notes what reports will say in a while. */
  private changed(): void {
    const adapters = [...this.held].map(([name, { version }]) => ({ name, version }));
    const loading = [...this.coming].map(([adapter, version]) => ({ model: MODEL, adapter, version }));
    const report: EngineReport = {
      bornAt: undefined,
      sequence: this.sequence,
      running: undefined,
      remainingMs: undefined,
      models: this.hasModel ? [{ name: MODEL, version: 1, adapters }] : [],
      loading,
    };
    this.reports.push({ at: this.options.timers.now(), report });
  }
}
