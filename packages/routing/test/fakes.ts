/** Fakes and sample data for the tests of this package. */
import type { TimerService } from '@celeryyoke/core';
import { createSilentLog } from '@celeryyoke/core';
import type {
  EngineConnection,
  EngineControl,
  EngineOrder,
  EngineReport,
  ResidentModel,
  ReplicaEntry,
  RoutingDocument,
} from '@celeryyoke/routing';
import { OrderKind, OrderOutcome, ReplicaAvailability, ReplicaState, RouteKind } from '@celeryyoke/routing';

export const MODEL = 'base';
export const log = createSilentLog();

/** What a source of records that has no history says of it. */
export const NO_HISTORY = {
  hasHistory: () => Promise.resolve(false),
  replicaWrites: () => Promise.resolve(undefined),
} as const;

/** Time for which a replica that leaves may still get requests, in milliseconds. */
const LEAVING_GRACE_MS = 1500;

/** Creates the table of what replicas have declared. */
export function createAvailability(timers: TimerService): ReplicaAvailability {
  return new ReplicaAvailability({ leavingGraceMs: LEAVING_GRACE_MS, timers, log });
}

/** Makes the registry entry of an engine. */
export function engineEntry(id: string, models: readonly ResidentModel[] = []): ReplicaEntry {
  return {
    id,
    name: id,
    bornAt: undefined,
    softwareVersion: 'v1',
    service: 'engines',
    host: '127.0.0.1',
    port: 1,
    zone: 'a',
    slots: 8,
    state: ReplicaState.Ready,
    models: models.length > 0 ? models : [{ name: MODEL, version: 1, adapters: [] }],
  };
}

/** Makes a configuration with a route of each kind, and a resumable streaming route. */
export function sampleDocument(version: number, timeoutMs = 2000): RoutingDocument {
  const route = (
    name: string,
    kind: RouteKind,
    service: string,
    maxAttempts: number,
    isResumable = false,
  ) => ({
    name,
    host: 'app.example',
    prefix: `/${name}/`,
    kind,
    timeoutMs,
    rank: 1,
    targets: [{ service, weight: 1 }],
    maxAttempts,
    maxPauseMs: kind === RouteKind.Streaming ? 300 : undefined,
    isResumable,
    isAnonymous: false,
  });
  return {
    version,
    routes: [
      route('safe', RouteKind.Safe, 'web', 2),
      route('unsafe', RouteKind.Unsafe, 'web', 1),
      route('stream', RouteKind.Streaming, 'engines', 1),
      route('resumable', RouteKind.Streaming, 'engines', 2, true),
    ],
    services: [
      { name: 'web', maxConnections: 100, engine: undefined },
      {
        name: 'engines',
        maxConnections: 100,
        engine: {
          slots: 8,
          memoryMb: 100,
          adapterSlots: 3,
          modelLoadsPerSecond: 2,
          models: [{ name: MODEL, weightsMb: 90, adapterMb: 1 }],
        },
      },
    ],
    bounds: { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
    accounts: undefined,
  };
}

/** Handlers of a fake engine, shared by all connections to it. */
export interface EngineHandlers {
  readonly order: (order: EngineOrder) => Promise<OrderOutcome>;
  readonly report: () => Promise<EngineReport>;
}

/** Makes a connection to an engine. It closes when an order gets no response. */
export function makeConnection({ order, report }: EngineHandlers, onClosed: () => void): EngineConnection {
  let isOpen = true;
  const close = (): void => {
    if (isOpen) onClosed();
    isOpen = false;
  };
  return {
    get isOpen() {
      return isOpen;
    },
    order: async (request) => {
      const outcome = isOpen ? await order(request) : OrderOutcome.Unreachable;
      if (outcome === OrderOutcome.Unknown || outcome === OrderOutcome.Unreachable) close();
      return outcome;
    },
    report,
    close,
  };
}

interface FakeSlot {
  isLoading: boolean;
  running: number;
}

/** Fake engine that follows the protocol, and counts the loads ordered beyond its capacity. */
export class FakeEngine implements EngineControl {
  readonly slots = new Map<string, FakeSlot>();

  readonly orders: EngineOrder[] = [];

  /** Loads that were ordered while all adapter slots were in use. */
  overloads = 0;

  /**
   * Adapters whose unload was ordered while requests ran on them. Until those end, other orders are refused
   * as busy.
   */
  pendingUnloads = new Set<string>();

  /** Outcomes of the next orders, in place of the engine's own. */
  scriptedOutcomes: OrderOutcome[] = [];

  /** Highest fencing token of the orders so far. */
  highestToken = 0;

  /** Process start that reports state. */
  bornAt: number | undefined;

  /** Number of accepted orders that changed something. */
  sequence = 0;

  /** Outdated report that is returned in place of the current one while it is set. */
  staleReport: EngineReport | undefined;

  /**
   * @param capacity - Number of adapter slots.
   * @param loadMs - Duration of a load, in milliseconds.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly capacity: number,
    private readonly loadMs = 100,
  ) {}

  connect: EngineControl['connect'] = (_replica, onClosed) => makeConnection(this, onClosed);

  order = async (order: EngineOrder): Promise<OrderOutcome> => {
    this.orders.push(order);
    const scripted = this.scriptedOutcomes.shift();
    if (scripted !== undefined) return scripted;
    if (order.token < this.highestToken) return OrderOutcome.Fenced;
    if (order.expected !== undefined && order.expected !== this.sequence) return OrderOutcome.Busy;
    this.highestToken = order.token;
    if (order.adapter === undefined) return OrderOutcome.Done;
    if (this.pendingUnloads.size > 0 && !this.pendingUnloads.has(order.adapter)) return OrderOutcome.Busy;
    return order.kind === OrderKind.Load ? this.load(order.adapter) : this.unload(order.adapter);
  };

  report = async (): Promise<EngineReport> => this.staleReport ?? this.currentReport();

  /** Current report; adapters that are being loaded are reported as resident. */
  currentReport = (): EngineReport => ({
    bornAt: this.bornAt,
    sequence: this.sequence,
    running: undefined,
    remainingMs: undefined,
    isLeaving: false,
    models: [
      {
        name: MODEL,
        version: 1,
        adapters: [...this.slots].map(([name]) => ({ name, version: 1 })),
      },
    ],
    loading: [],
  });

  private load(adapter: string): OrderOutcome {
    const slot = this.slots.get(adapter);
    if (slot !== undefined) return slot.isLoading ? OrderOutcome.Started : OrderOutcome.Done;
    this.sequence += 1;
    if (this.slots.size >= this.capacity) this.overloads += 1;
    this.slots.set(adapter, { isLoading: true, running: 0 });
    this.timers.after(this.loadMs, () => {
      const loaded = this.slots.get(adapter);
      if (loaded !== undefined) loaded.isLoading = false;
    });
    return OrderOutcome.Started;
  }

  private unload(adapter: string): OrderOutcome {
    this.sequence += 1;
    const slot = this.slots.get(adapter);
    if (slot !== undefined && slot.running > 0) {
      this.pendingUnloads.add(adapter);
      return OrderOutcome.Started;
    }
    this.pendingUnloads.delete(adapter);
    this.slots.delete(adapter);
    return OrderOutcome.Done;
  }
}
