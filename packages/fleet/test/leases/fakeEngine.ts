/**
 * A fake engine with adapter slots and lagging reports, which records violations such as an unload during a
 * request.
 */
import type { TimerService } from '@celeryyoke/core';
import type { EngineClient, EngineOrder, EngineReport, OrderResult } from '@celeryyoke/platform';
import { OrderKind, OrderOutcome } from '@celeryyoke/platform';

export interface FakeEngineOptions {
  readonly name: string;
  readonly timers: TimerService;
  readonly slots: number;
  readonly loadMs?: number;
  readonly unloadMs?: number;
  /** Age of the state in its reports, which the reports don't state. */
  readonly lagMs?: number;
  readonly fencing?: boolean;
}

/** Fault that is injected into an order. */
export enum OrderFault {
  /** The order fails before it is complete. */
  Fail = 'fail',
  /** The order is carried out, but its response is lost. */
  LoseResponse = 'lose-response',
  /** The order is lost before it is carried out. */
  LoseOrder = 'lose-order',
}

interface PastReport {
  readonly at: number;
  readonly report: EngineReport;
}

/** An engine that refuses what its slots and fencing don't allow. */
export class FakeEngine {
  /** Violations that the engine has detected. */
  readonly violations: string[] = [];

  /** Keys of the adapters that were loaded, in order. */
  readonly loads: string[] = [];

  /** Faults of the next orders, in order. */
  readonly faults: OrderFault[] = [];

  /** Times at which loads began. */
  readonly loadStarts: number[] = [];

  isDown = false;

  /** Number of orders refused because their fencing token was outdated. */
  fencedOrders = 0;

  private readonly ready = new Set<string>();

  private readonly loading = new Set<string>();

  private readonly unloading = new Set<string>();

  private readonly running = new Map<string, string>();

  private incarnation = 1;

  private fencing = 0;

  private reportHistory: PastReport[] = [];

  constructor(readonly options: FakeEngineOptions) {
    this.recordReport();
  }

  /** Starts a request; false when its adapter is not resident or the engine is down. */
  start(requestId: string, key: string): boolean {
    if (this.isDown || !this.ready.has(key)) return false;
    this.running.set(requestId, key);
    this.recordReport();
    return true;
  }

  end(requestId: string): void {
    this.running.delete(requestId);
    this.recordReport();
  }

  runningRequests(): number {
    return this.running.size;
  }

  isUnloading(key: string): boolean {
    return this.unloading.has(key);
  }

  isReady(key: string): boolean {
    return this.ready.has(key);
  }

  /** Restarts without resident adapters. */
  restart(): void {
    this.incarnation += 1;
    this.ready.clear();
    this.loading.clear();
    this.running.clear();
    this.reportHistory = [];
    this.recordReport();
  }

  client(): EngineClient {
    const unused = async (): Promise<never> => {
      throw new Error('not part of the fake');
    };
    return {
      order: (order) => this.order(order),
      report: async () => this.report(),
      generate: unused,
      cacheEvents: unused,
      exportKv: unused,
      importKv: unused,
      close: async () => undefined,
    };
  }

  private report(): EngineReport {
    if (this.isDown) throw new Error('down');
    const { timers, lagMs = 0 } = this.options;
    const visibleUntil = timers.now() - lagMs;
    let visible = this.reportHistory[0]!;
    for (const entry of this.reportHistory) if (entry.at <= visibleUntil) visible = entry;
    return visible.report;
  }

  private async order(order: EngineOrder): Promise<OrderResult> {
    const { timers, fencing = false, loadMs = 500, unloadMs = 5 } = this.options;
    if (this.isDown) return { outcome: OrderOutcome.Unknown };
    if (fencing && order.fencing < this.fencing) {
      this.fencedOrders += 1;
      return { outcome: OrderOutcome.Fenced };
    }
    this.fencing = Math.max(this.fencing, order.fencing);
    const fault = this.faults.shift();
    if (fault === OrderFault.LoseOrder) return { outcome: OrderOutcome.Unknown };
    const { incarnation } = this;
    if (order.kind === OrderKind.Load) {
      if (this.ready.size + this.loading.size >= this.options.slots) {
        return { outcome: OrderOutcome.Failed, reason: 'no slot' };
      }
      this.loading.add(order.subject);
      this.loadStarts.push(timers.now());
      this.recordReport();
    }
    if (order.kind === OrderKind.Role) {
      this.recordReport();
      return { outcome: OrderOutcome.Done };
    }
    if (order.kind === OrderKind.Unload) this.unloading.add(order.subject);
    await timers.sleep(order.kind === OrderKind.Load ? loadMs : unloadMs);
    this.unloading.delete(order.subject);
    if (incarnation !== this.incarnation) return { outcome: OrderOutcome.Failed, reason: 'restarted' };
    if (order.kind === OrderKind.Load) this.finishLoad(order.subject, fault === OrderFault.Fail);
    else this.unload(order.subject);
    if (fault === OrderFault.Fail) return { outcome: OrderOutcome.Failed, reason: 'failed partway' };
    return { outcome: fault === OrderFault.LoseResponse ? OrderOutcome.Unknown : OrderOutcome.Done };
  }

  private finishLoad(key: string, hasFailed: boolean): void {
    this.loading.delete(key);
    if (!hasFailed) {
      this.ready.add(key);
      this.loads.push(key);
    }
    this.recordReport();
  }

  private unload(key: string): void {
    const requests = [...this.running].filter(([, used]) => used === key).map(([id]) => id);
    if (requests.length > 0) this.violations.push(`unloaded ${key} while ${requests.join(', ')} ran`);
    this.ready.delete(key);
    this.recordReport();
  }

  /** Records the present state for later reports. */
  private recordReport(): void {
    const { timers } = this.options;
    const count = (key: string): number => [...this.running.values()].filter((used) => used === key).length;
    const report: EngineReport = {
      incarnation: String(this.incarnation),
      ageMs: 0,
      running: this.running.size,
      waiting: 0,
      slots: [
        ...[...this.ready].map((key) => ({ key, state: 'ready' as const, running: count(key) })),
        ...[...this.loading].map((key) => ({ key, state: 'loading' as const, running: 0 })),
      ],
      fencing: this.fencing,
      role: 'serve',
      batchFill: 0,
    };
    this.reportHistory.push({ at: timers.now(), report });
  }
}
