/**
 * Loads adapters on any engine of the fleet: through the engine's owner in this daemon, or by a request to
 * the daemon that owns it.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineLease, EngineLeases } from '../ownership/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { ReplicaRegistry, ReplicaEntry, ReplicaStart } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { ResidencyTable } from './residency.js';
import { EngineOwner } from './engine-owner.js';
import type { AdapterRef, EngineControl, EngineResidency, SlotAvailability, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable } from './types.js';

/** Options of the loader. */
export interface AdapterLoaderOptions {
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly leases: EngineLeases;
  readonly registry: ReplicaRegistry;
  readonly residency: ResidencyTable;
  readonly control: EngineControl;
  /** Whether engines reject orders with older fencing tokens. */
  readonly isFenced: boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Whether what an engine has declared allows orders now. */
  readonly acceptsOrders: (replica: string) => boolean;
  /** Publishes the models and adapters resident on an engine that this daemon owns. */
  readonly publishResidency: (residency: EngineResidency) => void;
  /** Publishes that a replica has restarted. */
  readonly publishStart: (start: ReplicaStart) => void;
}

/** Body of the request to the daemon that owns an engine. */
export interface EnsureRequest extends AdapterRef, Urgency {
  readonly replica: string;
}

/** Urgency of loading a newer version: the same as the most urgent request. */
const UPGRADE_URGENCY: Urgency = {
  rank: 0,
  waitedMs: 0,
  lastCallMs: 5000,
  patienceMs: 5000,
  timeoutMs: 5000,
};

/** Makes adapters resident on engines, through local or remote owners. */
export class AdapterLoader {
  private readonly owners = new Map<string, EngineOwner>();

  constructor(private readonly options: AdapterLoaderOptions) {
    options.registry.onReplica((id, entry) => {
      // Requests that wait for a leaving engine must go elsewhere immediately.
      if (entry?.state === ReplicaState.Leaving) this.removeOwner(id);
    });
  }

  /**
   * Makes an adapter resident on an engine, unless its load can't start in time.
   * @returns Whether the adapter is resident; if not, the residency table has the engine's slot availability.
   * @throws AdapterUnavailable or Error when the adapter can't be loaded there.
   */
  async ensure(replica: ReplicaEntry, ref: AdapterRef, urgency: Urgency): Promise<boolean> {
    const { leases, self, cluster, residency } = this.options;
    const lease = leases.leaseOf(replica.id);
    if (lease === undefined) throw new AdapterUnavailable('The engine has no owner at present.');
    residency.reserveSlot(replica.id);
    const request: EnsureRequest = { ...ref, ...urgency, replica: replica.id };
    const availability =
      lease.holder === self
        ? await this.ensureLocally(request)
        : await cluster.request(lease.holder, MessageType.EnsureAdapter, request, urgency.timeoutMs);
    // MessagePack has no undefined.
    if (availability === undefined || availability === null) return true;
    residency.updateAvailability(availability as SlotAvailability);
    return false;
  }

  /**
   * Makes an adapter resident on an engine that this daemon owns.
   * @returns Undefined when the adapter is resident; the slot availability when its load could not start in
   *   time.
   * @throws AdapterUnavailable when the adapter can't be loaded within its timeout.
   */
  async ensureLocally(request: EnsureRequest): Promise<SlotAvailability | undefined> {
    const { replica, model, adapter, version, isDoubted, timeoutMs } = request;
    const owner = this.owners.get(replica);
    if (owner === undefined) throw new AdapterUnavailable('This daemon does not own the engine.');
    const timerAbort = new AbortController();
    const timedOut = this.options.timers.sleep(timeoutMs, timerAbort.signal).then(
      () => {
        throw new AdapterUnavailable(`The adapter was not loaded within ${timeoutMs} ms.`);
      },
      () => undefined,
    );
    try {
      const ref = { model, adapter, version: version ?? undefined, isDoubted: isDoubted ?? false };
      return await Promise.race([owner.ensure(ref, request), timedOut]);
    } finally {
      timerAbort.abort();
    }
  }

  /** Starts the owner of an engine whose lease this daemon has acquired. */
  startOwner(lease: EngineLease): void {
    const { registry, leases, control, isFenced, timers, log, self, acceptsOrders, publishStart } =
      this.options;
    const replica = registry.replica(lease.replica);
    const engine = replica && registry.table?.service(replica.service)?.engine;
    if (replica?.state !== ReplicaState.Ready || engine === undefined) return;
    const owner = new EngineOwner({
      replica,
      engine,
      self,
      control,
      isFenced,
      timers,
      log,
      fencingToken: () => leases.tokenForOrder(replica.id),
      onOrder: () => leases.recordOrder(replica.id),
      acceptsOrders: () => acceptsOrders(replica.id),
      onFenced: (token) => leases.handleRefusedToken(replica.id, token),
      onResidencyChange: (residency) => this.publishResidency(residency),
      onRestart: (bornAt) => publishStart({ name: replica.name, bornAt }),
    });
    this.owners.set(replica.id, owner);
    void owner.run();
  }

  /** Stops the owner of an engine whose lease this daemon has lost. */
  stopOwner(lease: EngineLease): void {
    this.removeOwner(lease.replica);
  }

  /** Stops all owners. */
  close(): void {
    for (const owner of this.owners.values()) owner.stop();
    this.owners.clear();
  }

  /**
   * Records requests that a daemon has reported for an adapter.
   * @param key - `model/adapter`.
   * @param uses - Requests started since its previous report.
   */
  recordUses(replica: string, key: string, uses: number): void {
    this.owners.get(replica)?.recordUses(key, uses);
  }

  /**
   * Updates the number of running requests per adapter on all engines of this daemon.
   * @param running - Returns an engine's running requests by `model/adapter`.
   */
  refreshRunning(running: (replica: string) => ReadonlyMap<string, number>): void {
    const { log } = this.options;
    for (const [replica, owner] of this.owners) {
      owner.setRunning(running(replica));
      if (log.hasDetails) log.detail('slots', owner.describeSlots(), { replica });
    }
  }

  /** Loads a newer version of an adapter on every engine of this daemon that holds an older one. */
  upgrade(model: string, adapter: string, version: number): void {
    const key = adapterKey(model, adapter);
    for (const [replica, owner] of this.owners) {
      if (!owner.hasOlderVersion(key, version)) continue;
      owner.ensure({ model, adapter, version }, UPGRADE_URGENCY).catch((err: unknown) => {
        this.options.log.warn(
          `Version ${version} of ${key} could not be loaded on ${replica}: ${String(err)}.`,
        );
      });
    }
  }

  /**
   * Updates the number of running requests on one engine immediately, so that a slot that has become
   * evictable is used.
   * @param running - Returns running requests by `model/adapter`, over all daemons.
   */
  setRunning(replica: string, running: () => ReadonlyMap<string, number>): void {
    this.owners.get(replica)?.setRunning(running());
  }

  /**
   * Returns whether an adapter is resident on an engine that this daemon owns.
   * @param key - `model/adapter`.
   * @returns Undefined when it is not known.
   */
  isResident(replica: string, key: string): boolean | undefined {
    return this.owners.get(replica)?.isResident(key);
  }

  /** Returns the slot availability of this daemon's engines. */
  slotAvailability(): SlotAvailability[] {
    return [...this.owners.values()].map((owner) => owner.slotAvailability());
  }

  /** Returns what is resident on this daemon's engines, as far as it is known. */
  residencies(): EngineResidency[] {
    const residencies: EngineResidency[] = [];
    for (const owner of this.owners.values()) {
      const residency = owner.residency();
      if (residency !== undefined) residencies.push(residency);
    }
    return residencies;
  }

  private removeOwner(replica: string): void {
    this.owners.get(replica)?.stop();
    this.owners.delete(replica);
  }

  private publishResidency(residency: EngineResidency): void {
    this.options.residency.updateResidency(residency);
    this.options.publishResidency(residency);
  }
}
