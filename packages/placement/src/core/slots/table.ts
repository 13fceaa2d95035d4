/** The table of an engine's slots: leases, waiting requests, and what may make room. */
import { CeleryyokeError } from '@celeryyoke/core';

import type { AdapterKey, LoadWant, RoomView, SlotView, VictimView } from '../policy/index.js';
import { SlotState } from '../policy/index.js';
import type { LoadPlan, SlotRequest, SlotTable, SlotTableOptions } from './types.js';

/** How many slots that may be given up an engine tells of. */
const VICTIMS_TOLD = 4;

/** A slot and the leases on it. */
class Slot {
  readonly leases = new Map<string, SlotRequest>();

  readonly loadedAt: number;

  lastUsedAt: number;

  uses = 0;

  /** Requests that the engine's last report showed. */
  private reportedRunning = 0;

  /** When that report was asked for. */
  private reportedAt = -Infinity;

  constructor(
    readonly key: AdapterKey,
    public state: SlotState,
    now: number,
  ) {
    this.loadedAt = now;
    this.lastUsedAt = now;
  }

  /** Grants a lease. */
  grant(req: SlotRequest, now: number): void {
    this.leases.set(req.id, req);
    this.uses += 1;
    this.lastUsedAt = now;
  }

  /** Changes the state. */
  become(state: SlotState, now: number): void {
    this.state = state;
    this.lastUsedAt = now;
  }

  /** Notes what the engine's report shows. */
  note(running: number, takenAt: number): void {
    if (takenAt <= this.reportedAt) return;
    this.reportedAt = takenAt;
    this.reportedRunning = running;
  }

  /** Whether a report that is young enough shows nothing running. */
  isReportedQuiet(lagMs: number): boolean {
    return this.reportedRunning === 0 && this.reportedAt >= this.lastUsedAt + lagMs;
  }
}

interface Waiter {
  readonly req: SlotRequest;
  readonly since: number;
}

/** Requests that wait for one key, and the load that they want; the want is kept until they change. */
interface WaitList {
  readonly waiters: Map<string, Waiter>;
  want: LoadWant | undefined;
}

class EngineSlotTable implements SlotTable {
  readonly engine: string;

  private readonly slots = new Map<AdapterKey, Slot>();

  private readonly waits = new Map<AdapterKey, WaitList>();

  /** Key of each request that runs or waits. */
  private readonly requests = new Map<string, AdapterKey>();

  private reserved: ReadonlySet<AdapterKey> = new Set();

  private waitingCount = 0;

  constructor(private readonly options: SlotTableOptions) {
    this.engine = options.engine;
  }

  views(): readonly SlotView[] {
    return [...this.slots.values()].map((slot) => this.view(slot));
  }

  state(key: AdapterKey): SlotState | undefined {
    return this.slots.get(key)?.state;
  }

  load(): { readonly running: number; readonly waiting: number } {
    return { running: this.requests.size - this.waitingCount, waiting: this.waitingCount };
  }

  lease(req: SlotRequest, now: number): boolean {
    if (this.requests.has(req.id)) return this.slots.get(req.key)?.leases.has(req.id) ?? false;
    this.requests.set(req.id, req.key);
    const slot = this.slots.get(req.key);
    if (slot?.state === SlotState.Ready) {
      slot.grant(req, now);
      return true;
    }
    this.wait(req, now);
    return false;
  }

  restore(req: SlotRequest, now: number): void {
    if (this.requests.has(req.id)) return;
    const slot = this.slots.get(req.key) ?? new Slot(req.key, SlotState.Ready, now);
    this.slots.set(req.key, slot);
    this.requests.set(req.id, req.key);
    slot.grant(req, now);
  }

  release(id: string, now: number): void {
    const key = this.requests.get(id);
    if (key === undefined) return;
    this.requests.delete(id);
    const slot = this.slots.get(key);
    if (slot?.leases.delete(id)) {
      slot.lastUsedAt = now;
      return;
    }
    this.stopWaiting(key, id);
  }

  releaseHolder(holder: string, now: number): void {
    const held: string[] = [];
    for (const slot of this.slots.values()) {
      for (const req of slot.leases.values()) if (req.holder === holder) held.push(req.id);
    }
    for (const { waiters } of this.waits.values()) {
      for (const { req } of waiters.values()) if (req.holder === holder) held.push(req.id);
    }
    for (const id of held) this.release(id, now);
  }

  redirect(key: AdapterKey): readonly SlotRequest[] {
    const taken = this.takeWaiters(key);
    for (const req of taken) this.requests.delete(req.id);
    return taken;
  }

  reserve(keys: ReadonlySet<AdapterKey>): void {
    this.reserved = keys;
  }

  wants(now: number): readonly LoadWant[] {
    const wants: LoadWant[] = [];
    for (const [key, list] of this.waits) {
      if (this.slots.has(key)) continue;
      list.want ??= this.want(key, list.waiters, now);
      wants.push(list.want);
    }
    return wants;
  }

  room(now: number): RoomView {
    const { engine, model, slots, batch } = this.options;
    const victims = this.victims(now).slice(0, VICTIMS_TOLD);
    const { running } = this.load();
    return { engine, model, free: slots - this.slots.size, victims, running, batch, warmth: 1 };
  }

  plan(key: AdapterKey, now: number): LoadPlan | undefined {
    if (this.slots.has(key)) return undefined;
    if (this.slots.size < this.options.slots) return { key, victim: undefined };
    const victim = this.victims(now)[0];
    return victim && { key, victim: victim.key };
  }

  unloadStarted(key: AdapterKey, now: number): void {
    const slot = this.require(key);
    if (!this.mayGo(slot)) throw new CeleryyokeError('Internal', { reason: `slot of ${key} is in use` });
    slot.become(SlotState.Unloading, now);
  }

  unloadEnded(key: AdapterKey, ok: boolean, now: number): readonly SlotRequest[] {
    const slot = this.slots.get(key);
    if (slot?.state !== SlotState.Unloading) return [];
    if (!ok) return this.becomeReady(slot, now);
    this.slots.delete(key);
    return [];
  }

  loadStarted(key: AdapterKey, now: number): void {
    if (this.slots.has(key) || this.slots.size >= this.options.slots) {
      throw new CeleryyokeError('Internal', { reason: `no free slot for ${key}` });
    }
    this.slots.set(key, new Slot(key, SlotState.Loading, now));
  }

  loadEnded(key: AdapterKey, ok: boolean, now: number): readonly SlotRequest[] {
    const slot = this.slots.get(key);
    if (slot?.state !== SlotState.Loading) return [];
    if (ok) return this.becomeReady(slot, now);
    this.slots.delete(key);
    return [];
  }

  reported(running: ReadonlyMap<AdapterKey, number>, takenAt: number): void {
    for (const slot of this.slots.values()) {
      slot.note(running.get(slot.key) ?? 0, takenAt);
    }
  }

  adopt(keys: readonly AdapterKey[], now: number): void {
    for (const key of keys) {
      if (!this.slots.has(key)) this.slots.set(key, new Slot(key, SlotState.Ready, now));
    }
  }

  restarted(): void {
    for (const slot of this.slots.values()) {
      for (const id of slot.leases.keys()) this.requests.delete(id);
    }
    this.slots.clear();
  }

  private wait(req: SlotRequest, now: number): void {
    const list = this.waits.get(req.key) ?? { waiters: new Map<string, Waiter>(), want: undefined };
    list.waiters.set(req.id, { req, since: now });
    list.want = undefined;
    this.waits.set(req.key, list);
    this.waitingCount += 1;
  }

  private stopWaiting(key: AdapterKey, id: string): void {
    const list = this.waits.get(key);
    if (!list?.waiters.delete(id)) return;
    list.want = undefined;
    this.waitingCount -= 1;
    if (list.waiters.size === 0) this.waits.delete(key);
  }

  private takeWaiters(key: AdapterKey): SlotRequest[] {
    const list = this.waits.get(key);
    if (list === undefined) return [];
    this.waits.delete(key);
    this.waitingCount -= list.waiters.size;
    return [...list.waiters.values()].map(({ req }) => req);
  }

  private becomeReady(slot: Slot, now: number): readonly SlotRequest[] {
    slot.become(SlotState.Ready, now);
    const granted = this.takeWaiters(slot.key);
    for (const req of granted) slot.grant(req, now);
    return granted;
  }

  private require(key: AdapterKey): Slot {
    const slot = this.slots.get(key);
    if (slot === undefined) throw new CeleryyokeError('Internal', { reason: `no slot holds ${key}` });
    return slot;
  }

  private view(slot: Slot): SlotView {
    const { key, state, loadedAt, lastUsedAt, uses } = slot;
    const waiting = this.waits.get(key)?.waiters.size ?? 0;
    const reserved = this.reserved.has(key);
    return { key, state, running: slot.leases.size, waiting, reserved, loadedAt, lastUsedAt, uses };
  }

  /** Whether nothing leases, waits for, reserves or runs on a slot. */
  private mayGo(slot: Slot): boolean {
    if (slot.state !== SlotState.Ready || slot.leases.size > 0) return false;
    if (this.reserved.has(slot.key) || this.waits.has(slot.key)) return false;
    const { reportLagMs } = this.options;
    return reportLagMs === undefined || slot.isReportedQuiet(reportLagMs);
  }

  private victims(now: number): VictimView[] {
    const { policy } = this.options;
    const victims: VictimView[] = [];
    for (const slot of this.slots.values()) {
      if (this.mayGo(slot)) victims.push({ key: slot.key, value: policy.keepValue(this.view(slot), now) });
    }
    return victims.sort((left, right) => left.value - right.value);
  }

  private want(key: AdapterKey, waiting: ReadonlyMap<string, Waiter>, now: number): LoadWant {
    let oldestAt = Infinity;
    let deadlineAt = Infinity;
    let priority = -Infinity;
    for (const { req, since } of waiting.values()) {
      oldestAt = Math.min(oldestAt, since);
      deadlineAt = Math.min(deadlineAt, req.deadlineAt);
      priority = Math.max(priority, req.priority);
    }
    const { engine, model, policy } = this.options;
    const popularity = policy.popularity(key, now);
    const common = { engine, model, key, replica: false, eventAt: undefined, popularity };
    return { ...common, waiting: waiting.size, oldestAt, deadlineAt, priority };
  }
}

/**
 * Makes the table of an engine with nothing loaded.
 * @param options - The engine and the policy.
 * @returns The table.
 */
export function createSlotTable(options: SlotTableOptions): SlotTable {
  return new EngineSlotTable(options);
}
