/**
 * Loads one adapter into its slot.
 *
 * The state of the slot shows the progress: reserved until the engine has accepted the load, then loading. A
 * report that is verified meanwhile also sets the state, and the load continues from there.
 *
 * The slot counts as loading until the engine reports the adapter as resident, however long that takes and
 * whoever still waits for it. An engine that is ordered to unload an adapter while loading it has nothing to
 * unload and answers done; the adapter becomes resident nevertheless, so releasing the slot meanwhile would
 * overcommit the engine.
 */
import type { LoadTimes } from './load-times.js';
import type { OrderTarget } from './orders.js';
import type { PendingLoad } from './queue.js';
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { adapterOf, SlotState } from './slots.js';
import type { EngineReport } from './types.js';
import { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Interval between polls of a load, in milliseconds: a tenth of a cold load, half of a warm one. */
const POLL_MS = 12;
/** Interval between polls when no request waits any more, or the engine is unreachable, in milliseconds. */
const IDLE_POLL_MS = 100;
/** Delay before retrying when the engine is occupied with another order, in milliseconds. */
const BUSY_RETRY_MS = 15;
/**
 * Longest time that requests wait for a load, in milliseconds. An overloaded store takes several times the
 * usual 250 ms.
 */
const LOAD_TIMEOUT_MS = 4000;
/**
 * Interval between reports requested to find out whether a newer version has replaced an older one, in
 * milliseconds.
 */
const REPLACEMENT_POLL_MS = 100;
/**
 * Share of the expected load time after which the first poll is sent. If the first poll were sent only after
 * the whole expected time, no shorter load time would ever be measured.
 */
const FIRST_POLL_SHARE = 0.85;

/** Outcomes of a poll after which requests continue to wait. */
const IN_PROGRESS: ReadonlySet<OrderOutcome> = new Set([
  OrderOutcome.Started,
  OrderOutcome.Busy,
  OrderOutcome.Unknown,
]);

/** Options of {@link AdapterLoad}. */
export interface AdapterLoadOptions {
  readonly session: EngineSession;
  readonly loadTimes: LoadTimes;
  readonly slot: Slot;
  /** The queued load with its waiting requests; undefined when a former owner started it. */
  readonly pending: PendingLoad | undefined;
}

/** Task that loads one adapter and follows it until it is resident. */
export class AdapterLoad {
  private readonly startedAt: number;

  /** Monotonic time at which the engine accepted the load. */
  private acceptedAt: number | undefined;

  private isFirstPoll = true;

  /** Requested version; a report may show that an older one is being loaded. */
  private readonly version: number;

  /** Number of verified reports when the engine accepted the load. */
  private reportsAtAcceptance = 0;

  /** Whether requests still wait for the load. */
  private isAwaited: boolean;

  /**
   * @param options - The slot is reserved, or a report showed it as loading.
   */
  constructor(private readonly options: AdapterLoadOptions) {
    const { session, slot, pending } = options;
    this.startedAt = session.context.timers.now();
    this.isAwaited = pending !== undefined;
    this.version = slot.version;
    slot.loadTask = this;
  }

  /**
   * Orders the load and follows it until the adapter is resident or the engine has not accepted the order.
   */
  async run(): Promise<void> {
    const { session, slot } = this.options;
    while (!session.isEnded && slot.loadTask === this) {
      if (slot.state === SlotState.Loading) await this.poll();
      else if (slot.state === SlotState.Reserved) await this.submit();
      else this.complete();
    }
    this.rejectRequests('This daemon no longer owns the engine.');
  }

  /** Sends the load order. */
  private async submit(): Promise<void> {
    const { session } = this.options;
    const { orders, slots, capacity } = session.context;
    // A report verified in the meantime may have added adapters that a former owner ordered.
    const isStillValid = (): boolean => this.isReserved && slots.occupied <= capacity();
    const outcome = this.isAwaited
      ? await orders.submit(OrderKind.Load, this.target(), isStillValid)
      : OrderOutcome.Refused;
    if (session.isEnded || !this.isReserved) return;
    if (outcome === OrderOutcome.Started) {
      this.accept();
      await this.pauseBeforePoll();
    } else if (outcome === OrderOutcome.Done) await this.handleDone();
    // Without a response, the next verified report shows whether the load was accepted.
    else if (outcome === OrderOutcome.Unknown) await this.waitForReport();
    else if (outcome === OrderOutcome.Busy && this.isAwaited && !this.hasTimedOut)
      await session.context.timers.sleep(BUSY_RETRY_MS);
    else this.revert(outcome);
  }

  private get isReserved(): boolean {
    const { slot } = this.options;
    return slot.loadTask === this && slot.state === SlotState.Reserved;
  }

  private accept(): void {
    const { session, slot } = this.options;
    session.context.slots.setState(slot, SlotState.Loading);
    this.acceptedAt = session.context.timers.now();
    this.reportsAtAcceptance = session.verifiedReports;
  }

  /**
   * Handles the response that the adapter is already resident. That is expected for a reload after a
   * request did not find the adapter. Otherwise the slot table disagrees with the engine, and a new report is
   * needed.
   */
  private async handleDone(): Promise<void> {
    const { session, slot } = this.options;
    if (slot.replacedVersion === slot.version) {
      slot.replacedVersion = undefined;
      slot.isConfirmedResident = true;
      this.complete();
      return;
    }
    session.context.orders.invalidate();
    await this.waitForReport();
  }

  /** Polls whether the load is done. */
  private async poll(): Promise<void> {
    const { session, slot } = this.options;
    if (slot.version < this.version)
      this.rejectRequests(`The engine is loading an older version of ${slot.key}.`);
    const outcome = await session.context.orders.poll(OrderKind.Load, this.target());
    if (session.isEnded || slot.state !== SlotState.Loading) return;
    if (outcome === OrderOutcome.Done) {
      slot.isConfirmedResident = true;
      this.complete();
      return;
    }
    if (!IN_PROGRESS.has(outcome)) this.rejectRequests(`The load order was answered ${outcome}.`);
    await this.pauseBeforePoll();
  }

  private get hasTimedOut(): boolean {
    return this.options.session.context.timers.now() - this.startedAt >= LOAD_TIMEOUT_MS;
  }

  /**
   * Returns the adapter and the exact version to order. An order without a version asks for the newest; if a
   * newer version were declared meanwhile, repeating such an order would start another load.
   */
  private target(): OrderTarget {
    const { slot } = this.options;
    return { ...adapterOf(slot), version: slot.version };
  }

  private async waitForReport(): Promise<void> {
    const { session } = this.options;
    const { timers } = session.context;
    const { verifiedReports: reportsBefore } = session;
    while (reportsBefore === session.verifiedReports && !session.isEnded) {
      if (this.hasTimedOut) this.rejectRequests('The engine did not respond to the load order in time.');
      await timers.sleep(BUSY_RETRY_MS);
    }
  }

  private async pauseBeforePoll(): Promise<void> {
    const { session, slot, loadTimes } = this.options;
    const { timers } = session.context;
    if (this.hasTimedOut) this.rejectRequests('The adapter did not load in time.');
    const pollMs = this.isAwaited ? POLL_MS : IDLE_POLL_MS;
    const isFirst = this.isFirstPoll && this.acceptedAt !== undefined;
    this.isFirstPoll = false;
    const estimatedMs = isFirst ? loadTimes.expectedMs(slot.key) * FIRST_POLL_SHARE : 0;
    await timers.sleep(Math.max(pollMs, estimatedMs));
  }

  private complete(): void {
    const { session, slot, pending } = this.options;
    const { slots, onLoaded } = session.context;
    slots.setState(slot, SlotState.Resident);
    slot.loadTask = undefined;
    if (pending !== undefined && this.isAwaited) {
      this.recordLoad(pending);
      this.isAwaited = false;
      pending.resolve();
    }
    if (slot.replacedVersion !== undefined) void this.releaseReplacedVersion();
    onLoaded(slot);
  }

  private recordLoad(pending: PendingLoad): void {
    const { session, slot, loadTimes } = this.options;
    const { timers, log, replica } = session.context;
    const tookMs = timers.now() - (this.acceptedAt ?? this.startedAt);
    log.detail('adapter.loaded', `Loaded ${slot.key}.`, {
      replica: replica.id,
      adapter: slot.key,
      version: slot.version,
      tookMs: Math.round(tookMs),
      queuedMs: Math.round(this.startedAt - pending.requestedAt),
      wasHeldBefore: loadTimes.wasLoadedBefore(slot.key),
    });
    // If the connection was lost meanwhile, the measured time says nothing about the load and would delay the
    // polls of later loads.
    const wasFollowedThroughout =
      this.acceptedAt !== undefined && this.reportsAtAcceptance === session.verifiedReports;
    if (wasFollowedThroughout) loadTimes.record(slot.key, tookMs);
  }

  /**
   * Releases the slot of the older version once a report shows that version as gone. The response that the
   * newer version is resident is not sufficient: if it belonged to another order, no sequence number would
   * reveal it.
   */
  private async releaseReplacedVersion(): Promise<void> {
    const { session, slot } = this.options;
    const { orders, timers, onSlotAvailable } = session.context;
    const { version } = slot;
    const isWaiting = (): boolean =>
      !session.isEnded &&
      slot.state === SlotState.Resident &&
      slot.version === version &&
      slot.replacedVersion !== undefined;
    while (isWaiting()) {
      await timers.sleep(REPLACEMENT_POLL_MS);
      const report = isWaiting() ? await orders.confirmResponses() : undefined;
      if (report === undefined || !isWaiting() || !showsResident(report, slot)) continue;
      slot.replacedVersion = undefined;
      onSlotAvailable();
    }
  }

  /** Restores the slot to its previous state after the engine has not accepted the load. */
  private revert(outcome: OrderOutcome): void {
    const { session, slot } = this.options;
    const { slots, onResidencyChange, onSlotAvailable } = session.context;
    const { replacedVersion, version } = slot;
    slot.loadTask = undefined;
    if (replacedVersion === undefined) session.releaseSlot(slot.key, `load not accepted: ${outcome}`);
    else {
      slots.setState(slot, replacedVersion < version ? SlotState.Resident : SlotState.Doubted);
      slot.version = replacedVersion;
      slot.replacedVersion = undefined;
      onResidencyChange();
    }
    this.rejectRequests(`The load of ${slot.key} was not accepted: ${outcome}.`);
    onSlotAvailable();
  }

  /** Rejects waiting requests, which then try another engine; the load itself is still followed. */
  private rejectRequests(reason: string): void {
    if (!this.isAwaited) return;
    this.isAwaited = false;
    this.options.pending?.reject(new AdapterUnavailable(reason));
  }
}

/**
 * Returns whether a report lists the adapter of a slot as resident in the slot's version or a newer one, and no
 * version of it as still loading.
 */
function showsResident({ models, loading }: EngineReport, { key, version }: Slot): boolean {
  const isLoading = loading.some(({ model, adapter }) => adapterKey(model, adapter) === key);
  if (isLoading) return false;
  return models.some(({ name, adapters }) =>
    adapters.some((resident) => adapterKey(name, resident.name) === key && resident.version >= version),
  );
}
