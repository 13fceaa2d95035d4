/**
 * Adapters over the whole fleet: the keepers of this daemon's engines, and the way to the daemons that keep the
 * others.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Claim, Claims } from '../authority/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Directory, ReplicaEntry, ReplicaStart } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { HoldingsBook } from './holdings.js';
import { Keeper } from './keeper.js';
import type { AdapterRef, EngineControl, Holdings, RoomLine, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable } from './types.js';

/** Options of the loader. */
export interface LoaderOptions {
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly claims: Claims;
  readonly directory: Directory;
  readonly holdings: HoldingsBook;
  readonly control: EngineControl;
  /** Whether engines refuse orders with older tokens. */
  readonly isFenced: boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Publishes what an engine of this daemon holds. */
  readonly publishHoldings: (holdings: Holdings) => void;
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
  private readonly keepers = new Map<string, Keeper>();

  /**
   * Makes a loader.
   * @param options - The fleet and the engines.
   */
  constructor(private readonly options: LoaderOptions) {
    options.directory.onReplica((id, entry) => {
      // What waits for a leaving engine must go elsewhere at once.
      if (entry?.state === ReplicaState.Leaving) this.drop(id);
    });
  }

  /**
   * Has an adapter on an engine, unless its load can't begin in time.
   * @param replica - The engine.
   * @param ref - The adapter.
   * @param urgency - Rank and longest waits.
   * @returns Whether it is in place; if not, the book of holdings knows how the engine's slots stand.
   * @throws AdapterUnavailable or Error when it can't be had there.
   */
  async ensure(replica: ReplicaEntry, ref: AdapterRef, urgency: Urgency): Promise<boolean> {
    const { claims, self, cluster, holdings } = this.options;
    const claim = claims.of(replica.id);
    if (claim === undefined) throw new AdapterUnavailable('Nobody gives this engine orders now.');
    holdings.useRoom(replica.id);
    const wanted: EnsureWanted = { ...ref, ...urgency, replica: replica.id };
    const line =
      claim.holder === self
        ? await this.ensureHere(wanted)
        : await cluster.request(claim.holder, MessageType.Ensure, wanted, urgency.timeoutMs);
    // MessagePack has no undefined.
    if (line === undefined || line === null) return true;
    holdings.takeRoom(line as RoomLine);
    return false;
  }

  /**
   * Has an adapter on an engine that this daemon keeps.
   * @param wanted - Engine, adapter, longest waits.
   * @returns Nothing when it is in place; how the slots stand when its turn has not come.
   * @throws AdapterUnavailable when it can't be had in time.
   */
  async ensureHere(wanted: EnsureWanted): Promise<RoomLine | undefined> {
    const { replica, model, adapter, version, isDoubted, timeoutMs } = wanted;
    const keeper = this.keepers.get(replica);
    if (keeper === undefined) throw new AdapterUnavailable('This daemon does not keep the engine.');
    const limit = new AbortController();
    const timedOut = this.options.timers.sleep(timeoutMs, limit.signal).then(
      () => {
        throw new AdapterUnavailable(`Not loaded within ${timeoutMs} ms.`);
      },
      () => undefined,
    );
    try {
      const ref = { model, adapter, version: version ?? undefined, isDoubted: isDoubted ?? false };
      return await Promise.race([keeper.ensure(ref, wanted), timedOut]);
    } finally {
      limit.abort();
    }
  }

  /**
   * Begins to keep an engine.
   * @param claim - This daemon's claim.
   */
  gain(claim: Claim): void {
    const { directory, claims, control, isFenced, timers, log, self } = this.options;
    const replica = directory.replica(claim.replica);
    const engine = replica && directory.table?.service(replica.service)?.engine;
    if (replica?.state !== ReplicaState.Ready || engine === undefined) return;
    const keeper = new Keeper({
      replica,
      engine,
      self,
      control,
      isFenced,
      timers,
      log,
      authority: () => claims.authority(replica.id),
      onFenced: (token) => claims.refused(replica.id, token),
      onHoldings: (holdings) => this.tell(holdings),
      onStart: (bornAt) => this.tellStart(replica, bornAt),
    });
    this.keepers.set(replica.id, keeper);
    void keeper.run();
  }

  /**
   * Ends to keep an engine.
   * @param claim - The claim that was lost.
   */
  lose(claim: Claim): void {
    this.drop(claim.replica);
  }

  /** Gives all engines up. */
  close(): void {
    for (const keeper of this.keepers.values()) keeper.stop();
    this.keepers.clear();
  }

  /**
   * Notes uses that a daemon told.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   * @param uses - Requests begun since it told last.
   */
  use(replica: string, key: string, uses: number): void {
    this.keepers.get(replica)?.use(key, uses);
  }

  /**
   * Tells the keepers how many requests run on each adapter.
   * @param running - Counts the requests of an engine by `model/adapter`.
   */
  refreshRunning(running: (replica: string) => ReadonlyMap<string, number>): void {
    const { log } = this.options;
    for (const [replica, keeper] of this.keepers) {
      keeper.setRunning(running(replica));
      if (log.hasDetails) log.detail('slots', keeper.describe(), { replica });
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
    for (const [replica, keeper] of this.keepers) {
      if (!keeper.holdsOlder(key, version)) continue;
      keeper.ensure({ model, adapter, version }, UPGRADE).catch((err: unknown) => {
        this.options.log.warn(`Version ${version} of ${key} did not load on ${replica}: ${String(err)}.`);
      });
    }
  }

  /**
   * Tells the keeper of an engine at once how many requests run on each adapter, so that a free slot is used.
   * @param replica - The engine.
   * @param running - Requests by `model/adapter`, over all daemons.
   */
  setRunning(replica: string, running: () => ReadonlyMap<string, number>): void {
    this.keepers.get(replica)?.setRunning(running());
  }

  /**
   * Tells whether an adapter is in place on an engine that this daemon keeps.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   * @returns Undefined when it is not known.
   */
  isResident(replica: string, key: string): boolean | undefined {
    return this.keepers.get(replica)?.isResident(key);
  }

  /** How the slots of this daemon's engines stand. */
  rooms(): RoomLine[] {
    return [...this.keepers.values()].map((keeper) => keeper.room());
  }

  /** What the engines of this daemon hold. */
  mine(): Holdings[] {
    const found: Holdings[] = [];
    for (const keeper of this.keepers.values()) {
      const holdings = keeper.holdings();
      if (holdings !== undefined) found.push(holdings);
    }
    return found;
  }

  /** All daemons hear at once that an engine has started again; each then holds it for a new one. */
  private tellStart({ id, name }: ReplicaEntry, bornAt: number): void {
    const { directory, log, publishStart } = this.options;
    if (!directory.noteStart({ name, bornAt })) return;
    log.decide('replica.started-again', `Replica ${id} has started again.`, { replica: id, bornAt });
    publishStart({ name, bornAt });
  }

  private drop(replica: string): void {
    this.keepers.get(replica)?.stop();
    this.keepers.delete(replica);
  }

  private tell(holdings: Holdings): void {
    this.options.holdings.take(holdings);
    this.options.publishHoldings(holdings);
  }
}
