/**
 * Simulated engine that follows the engine protocol strictly and crashes when it is ordered beyond its
 * capacity.
 *
 * Where the protocol leaves the order of checks open, the simulation does what real engines were observed to
 * do. It checks the fencing token first, then whether the load is already in progress, then the sequence
 * number, then whether an unload waits for requests. Only an order answered as started or done raises the
 * highest token, and only an order that has an effect is counted.
 */
import type { TimerService } from '@celeryyoke/core';
import type { EngineOrder, EngineReport } from '@celeryyoke/routing';
import { OrderKind, OrderOutcome } from '@celeryyoke/routing';

import { MODEL } from '../fakes.js';

/** Adapters that an engine loads concurrently. */
const MAX_CONCURRENT_LOADS = 4;
/** Age of the contents of a report, in milliseconds. */
const REPORT_LAG_MS = 200;
/** Time that an engine needs to restart, in milliseconds. */
const RESTART_MS = 300;
/** Time of a base model load, in milliseconds. */
const MODEL_LOAD_MS = 400;

/** Result of starting a request on an adapter. */
export enum RequestResult {
  Started = 'started',
  /** Rejected because the adapter is not resident; the request has not run. */
  NotResident = 'notResident',
  /** Rejected because an order for the adapter is pending; the request has not run. */
  OrderPending = 'orderPending',
  /** The engine does not respond. */
  Silent = 'silent',
}

/** State of a resident adapter. */
interface ResidentAdapter {
  readonly version: number;
  running: number;
}

/** Options of {@link SimulatedEngine}. */
export interface SimulatedEngineOptions {
  readonly timers: TimerService;
  /** Adapters that the engine can hold, including those being loaded. */
  readonly capacity: number;
  /** Whether the engine rejects orders with older tokens; not every engine does. Default: true. */
  readonly isFenced?: boolean;
  /** Draws the time of the next adapter load, in milliseconds. */
  readonly loadMs: () => number;
  /** Called with each event, for the trace of a failed simulation. */
  readonly onEvent?: (text: string) => void;
}

/** Simulated engine that accepts orders, runs requests and reports its state with a delay. */
export class SimulatedEngine {
  /** Number of times the engine was ordered beyond its capacity; each one crashes it. */
  overloads = 0;

  /** Whether the engine is unreachable. */
  isDown = false;

  /** Number of restarts; scheduled changes of an earlier incarnation have no effect. */
  incarnation = 0;

  private sequence = 0;

  private highestToken = 0;

  private hasModel = true;

  private isModelLoading = false;

  private resident = new Map<string, ResidentAdapter>();

  /** Adapters being loaded, with their version. */
  private loading = new Map<string, number>();

  /** Adapter whose unload waits for its running requests to end. */
  private unloading: string | undefined;

  /** Newest declared versions; 1 where none has been declared. */
  private readonly newestVersions = new Map<string, number>();

  private readonly reports: { readonly at: number; readonly report: EngineReport }[] = [];

  /** Creates an engine whose base model is resident. */
  constructor(private readonly options: SimulatedEngineOptions) {
    this.recordReport();
  }

  /** Number of adapters that use capacity. */
  get occupied(): number {
    return this.resident.size + this.loading.size;
  }

  /** Returns the names of the resident adapters. */
  residentAdapters(): string[] {
    return [...this.resident.keys()];
  }

  /** Declares a newer version of an adapter. */
  declareVersion(adapter: string, version: number): void {
    this.newestVersions.set(adapter, Math.max(version, this.newestVersions.get(adapter) ?? 1));
  }

  newestVersionOf(adapter: string): number {
    return this.newestVersions.get(adapter) ?? 1;
  }

  /** Handles an order and returns the response. */
  handleOrder(order: EngineOrder): OrderOutcome {
    const { kind, adapter, token, expected } = order;
    if (token < this.highestToken && this.options.isFenced !== false) return OrderOutcome.Fenced;
    const isLoading = kind === OrderKind.Load && adapter !== undefined && this.loading.has(adapter);
    const isSequenceWrong = expected !== undefined && expected !== this.sequence;
    if (!isLoading && (isSequenceWrong || this.isBusyFor(order))) return OrderOutcome.Busy;
    const outcome = this.execute(order);
    if (outcome === OrderOutcome.Done || outcome === OrderOutcome.Started) this.highestToken = token;
    return outcome;
  }

  /** Returns the report as of {@link REPORT_LAG_MS} ago. */
  report(): EngineReport {
    const at = this.options.timers.now() - REPORT_LAG_MS;
    while (this.reports.length > 1 && this.reports[1]!.at <= at) this.reports.shift();
    return this.reports[0]!.report;
  }

  /** Starts a request on an adapter. */
  startRequest(adapter: string): RequestResult {
    if (this.isDown) return RequestResult.Silent;
    if (this.unloading === adapter) return RequestResult.OrderPending;
    const resident = this.resident.get(adapter);
    if (resident === undefined) return RequestResult.NotResident;
    if (this.loading.has(adapter)) return RequestResult.OrderPending;
    resident.running += 1;
    return RequestResult.Started;
  }

  /** Ends a request on an adapter. */
  endRequest(adapter: string): void {
    const resident = this.resident.get(adapter);
    if (resident === undefined || resident.running === 0) return;
    resident.running -= 1;
    if (resident.running === 0 && this.unloading === adapter) {
      this.trace(`unloaded ${adapter} after its last request`);
      this.unloading = undefined;
      this.resident.delete(adapter);
    }
    this.recordReport();
  }

  /**
   * Restarts the engine under the same name. It loses all state, including sequence number and highest token.
   */
  restart(): void {
    this.trace('restarts');
    this.incarnation += 1;
    this.isDown = true;
    this.sequence = 0;
    this.highestToken = 0;
    this.hasModel = false;
    this.isModelLoading = false;
    this.unloading = undefined;
    this.resident = new Map();
    this.loading = new Map();
    this.reports.length = 0;
    this.recordReport();
    const { incarnation } = this;
    this.options.timers.after(RESTART_MS, () => {
      if (incarnation === this.incarnation) this.isDown = false;
    });
  }

  private isBusyFor({ kind, adapter }: EngineOrder): boolean {
    if (this.isModelLoading) return adapter !== undefined || kind === OrderKind.Unload;
    if (this.unloading === undefined) return false;
    return kind === OrderKind.Load || adapter !== this.unloading;
  }

  private execute({ kind, adapter, version, holder }: EngineOrder): OrderOutcome {
    if (adapter === undefined) return this.loadModel();
    if (!this.hasModel) return OrderOutcome.Misdirected;
    return kind === OrderKind.Load ? this.load(adapter, version, holder) : this.unload(adapter);
  }

  private loadModel(): OrderOutcome {
    if (this.hasModel) return OrderOutcome.Done;
    if (this.isModelLoading) return OrderOutcome.Started;
    this.sequence += 1;
    this.isModelLoading = true;
    this.schedule(MODEL_LOAD_MS, () => {
      this.isModelLoading = false;
      this.hasModel = true;
    });
    return OrderOutcome.Started;
  }

  private load(adapter: string, requestedVersion: number | undefined, holder: string): OrderOutcome {
    const version = requestedVersion ?? this.newestVersionOf(adapter);
    if (version > this.newestVersionOf(adapter)) return OrderOutcome.Refused;
    if (this.loading.has(adapter)) return OrderOutcome.Started;
    const resident = this.resident.get(adapter);
    if (resident !== undefined && resident.version >= version) return OrderOutcome.Done;
    if (this.loading.size >= MAX_CONCURRENT_LOADS) return OrderOutcome.Busy;
    if (this.occupied >= this.options.capacity) {
      this.trace(`ordered beyond its capacity by ${holder} with ${adapter}`);
      this.overloads += 1;
      this.restart();
      return OrderOutcome.Unknown;
    }
    this.sequence += 1;
    this.loading.set(adapter, version);
    this.schedule(this.options.loadMs(), () => this.finishLoad(adapter, version));
    return OrderOutcome.Started;
  }

  /**
   * Completes a load; a newer version replaces the older one only when the requests on the older one have
   * ended.
   */
  private finishLoad(adapter: string, version: number): void {
    if ((this.resident.get(adapter)?.running ?? 0) > 0) {
      this.schedule(1, () => this.finishLoad(adapter, version));
      return;
    }
    this.trace(`${adapter}@${version} is resident`);
    this.loading.delete(adapter);
    this.resident.set(adapter, { version, running: 0 });
  }

  /**
   * Unloads an adapter. One that is still being loaded can't be unloaded: the order is answered as done, and
   * the adapter becomes resident all the same.
   */
  private unload(adapter: string): OrderOutcome {
    const resident = this.resident.get(adapter);
    if (resident === undefined) return OrderOutcome.Done;
    if (this.unloading === adapter) return OrderOutcome.Started;
    this.sequence += 1;
    if (resident.running > 0) {
      this.unloading = adapter;
      this.recordReport();
      return OrderOutcome.Started;
    }
    this.resident.delete(adapter);
    this.recordReport();
    return OrderOutcome.Done;
  }

  private schedule(ms: number, change: () => void): void {
    const { incarnation } = this;
    this.recordReport();
    this.options.timers.after(ms, () => {
      if (incarnation !== this.incarnation) return;
      change();
      this.recordReport();
    });
  }

  private trace(text: string): void {
    this.options.onEvent?.(
      `${text}; holds ${[...this.resident.keys()].join(' ')}, loading ${[...this.loading.keys()].join(' ')}`,
    );
  }

  /** Records the current state for later reports. */
  private recordReport(): void {
    const adapters = [...this.resident].map(([name, { version }]) => ({ name, version }));
    const loading = [...this.loading].map(([adapter, version]) => ({ model: MODEL, adapter, version }));
    const report: EngineReport = {
      bornAt: undefined,
      sequence: this.sequence,
      running: undefined,
      remainingMs: undefined,
      isLeaving: false,
      models: this.hasModel ? [{ name: MODEL, version: 1, adapters }] : [],
      loading,
    };
    this.reports.push({ at: this.options.timers.now(), report });
  }
}
