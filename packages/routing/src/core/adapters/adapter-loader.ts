/**
 * Adapters over the whole fleet: the owners of this daemon's engines, and the way to the daemons that keep the
 * others.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineLease, EngineLeases } from '../ownership/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { ReplicaRegistry, ReplicaEntry, ReplicaStart } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { ResidencyTable } from './residency.js';
import { EngineOwner } from './engine-owner.js';
import type { AdapterRef, EngineControl, Holdings, SlotAvailability, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable } from './types.js';

/** Options of the loader. */
export interface LoaderOptions {
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly leases: EngineLeases;
  readonly registry: ReplicaRegistry;
  readonly residency: ResidencyTable;
  readonly control: EngineControl;
  /** Whether engines refuse orders with older tokens. */
  readonly isFenced: boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Publishes what an engine of this daemon holds. */
  readonly publishHoldings: (residency: Holdings) => void;
  /** Publishes that a replica has started again. */
  readonly publishStart: (start: ReplicaStart) => void;
}

/** Body of a request to the daemon that keeps an engine. */
export interface EnsureWanted extends AdapterRef, Urgency {
  readonly replica: string;
}

/** How urgent the load of a newer version is: as the most urgent request. */
const UPGRADE: Urgency = {
  rank: 0,
  waitedMs: 0,
  dueInMs: 0,
  lastCallMs: 0,
  patienceMs: 5000,
  timeoutMs: 5000,
};

/** Has adapters loaded, here or through another daemon. */
export class Loader {
  private readonly owners = new Map<string, EngineOwner>();

  /**
   * Makes a loader.
   * @param options - The fleet and the engines.
   */
  constructor(private readonly options: LoaderOptions) {
    options.registry.onReplica((id, entry) => {
      // What waits for a leaving engine must go elsewhere at once.
      if (entry?.state === ReplicaState.Leaving) this.drop(id);
    });
  }

  /**
   * Has an adapter on an engine, unless its load can't begin in time.
   * @param replica - The engine.
   * @param ref - The adapter.
   * @param urgency - Rank and longest waits.
   * @returns Whether it is in place; if not, the residency table knows the engine's free slots.
   * @throws AdapterUnavailable or Error when it can't be had there.
   */
  async ensure(replica: ReplicaEntry, ref: AdapterRef, urgency: Urgency): Promise<boolean> {
    const { leases, self, cluster, residency } = this.options;
    const lease = leases.of(replica.id);
    if (lease === undefined) throw new AdapterUnavailable('Nobody gives this engine orders now.');
    residency.takeSlot(replica.id);
    const wanted: EnsureWanted = { ...ref, ...urgency, replica: replica.id };
    const slots =
      lease.holder === self
        ? await this.ensureHere(wanted)
        : await cluster.request(lease.holder, MessageType.Ensure, wanted, urgency.timeoutMs);
    // MessagePack has no undefined.
    if (slots === undefined || slots === null) return true;
    residency.updateSlots(slots as SlotAvailability);
    return false;
  }

  /**
   * Has an adapter on an engine that this daemon keeps.
   * @param wanted - Engine, adapter, longest waits.
   * @returns Nothing when it is in place; how the slots stand when its turn has not come.
   * @throws AdapterUnavailable when it can't be had in time.
   */
  async ensureHere(wanted: EnsureWanted): Promise<SlotAvailability | undefined> {
    const { replica, model, adapter, version, isDoubted, timeoutMs } = wanted;
    const owner = this.owners.get(replica);
    if (owner === undefined) throw new AdapterUnavailable('This daemon does not keep the engine.');
    const limit = new AbortController();
    const timedOut = this.options.timers.sleep(timeoutMs, limit.signal).then(
      () => {
        throw new AdapterUnavailable(`Not loaded within ${timeoutMs} ms.`);
      },
      () => undefined,
    );
    try {
      const ref = { model, adapter, version: version ?? undefined, isDoubted: isDoubted ?? false };
      return await Promise.race([owner.ensure(ref, wanted), timedOut]);
    } finally {
      limit.abort();
    }
  }

  /**
   * Begins to keep an engine.
   * @param lease - This daemon's lease.
   */
  gain(lease: EngineLease): void {
    const { registry, leases, control, isFenced, timers, log, self } = this.options;
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
      authority: () => leases.authority(replica.id),
      onFenced: (token) => leases.refused(replica.id, token),
      onHoldings: (residency) => this.tell(residency),
      onStart: (bornAt) => this.tellStart(replica, bornAt),
    });
    this.owners.set(replica.id, owner);
    void owner.run();
  }

  /**
   * Ends to keep an engine.
   * @param lease - The lease that was lost.
   */
  lose(lease: EngineLease): void {
    this.drop(lease.replica);
  }

  /** Gives all engines up. */
  close(): void {
    for (const owner of this.owners.values()) owner.stop();
    this.owners.clear();
  }

  /**
   * Notes uses that a daemon told.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   * @param uses - Requests begun since it told last.
   */
  use(replica: string, key: string, uses: number): void {
    this.owners.get(replica)?.use(key, uses);
  }

  /**
   * Tells the owners how many requests run on each adapter.
   * @param running - Counts the requests of an engine by `model/adapter`.
   */
  refreshRunning(running: (replica: string) => ReadonlyMap<string, number>): void {
    const { log } = this.options;
    for (const [replica, owner] of this.owners) {
      owner.setRunning(running(replica));
      if (log.hasDetails) log.detail('slots', owner.describe(), { replica });
    }
  }

  /**
   * Replaces an adapter everywhere it is held in an older version.
   * @param model - Base model.
   * @param adapter - Adapter.
   * @param version - Its newest version.
   */
  upgrade(model: string, adapter: string, version: number): void {
    const key = adapterKey(model, adapter);
    for (const [replica, owner] of this.owners) {
      if (!owner.holdsOlder(key, version)) continue;
      owner.ensure({ model, adapter, version }, UPGRADE).catch((err: unknown) => {
        this.options.log.warn(`Version ${version} of ${key} did not load on ${replica}: ${String(err)}.`);
      });
    }
  }

  /**
   * Tells the owner of an engine at once how many requests run on each adapter, so that a free slot is used.
   * @param replica - The engine.
   * @param running - Requests by `model/adapter`, over all daemons.
   */
  setRunning(replica: string, running: () => ReadonlyMap<string, number>): void {
    this.owners.get(replica)?.setRunning(running());
  }

  /**
   * Tells whether an adapter is in place on an engine that this daemon keeps.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   * @returns Undefined when it is not known.
   */
  isResident(replica: string, key: string): boolean | undefined {
    return this.owners.get(replica)?.isResident(key);
  }

  /** How the slots of this daemon's engines stand. */
  slots(): SlotAvailability[] {
    return [...this.owners.values()].map((owner) => owner.availability());
  }

  /** What the engines of this daemon hold. */
  mine(): Holdings[] {
    const found: Holdings[] = [];
    for (const owner of this.owners.values()) {
      const residency = owner.residency();
      if (residency !== undefined) found.push(residency);
    }
    return found;
  }

  /** All daemons hear at once that an engine has started again; each then holds it for a new one. */
  private tellStart({ id, name }: ReplicaEntry, bornAt: number): void {
    const { registry, log, publishStart } = this.options;
    if (!registry.noteStart({ name, bornAt })) return;
    log.decide('replica.started-again', `Replica ${id} has started again.`, { replica: id, bornAt });
    publishStart({ name, bornAt });
  }

  private drop(replica: string): void {
    this.owners.get(replica)?.stop();
    this.owners.delete(replica);
  }

  private tell(residency: Holdings): void {
    this.options.residency.take(residency);
    this.options.publishHoldings(residency);
  }
}
