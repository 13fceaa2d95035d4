/**
 * Chooses the replica for a request: the least expected wait, in milliseconds.
 *
 * For a generation the wait is the engine's queue, plus a load when the adapter is not there. Each adapter ranks the
 * engines by rendezvous hashing, and a place further down costs a little, so that an adapter comes back to the same
 * few engines, where it loads ten times as fast and its prompts are kept.
 */
import { hash32 } from '@celeryyoke/core';

import type { ResidencyTable } from '../adapters/index.js';
import { adapterKey } from '../adapters/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { InFlightTable } from './in-flight.js';
import type { ReplicaHealth } from './replica-health.js';

/** Wait that a request without an answer adds on an engine, in milliseconds: its prompt is read first. */
const WAITING_MS = 45;
/** Wait that a request in progress adds on an idle engine, in milliseconds; twice as much on a full one, where others queue. */
const RUNNING_MS = 5;
/**
 * Part of an engine's places that requests of a rank may fill: beyond its places an engine queues for seconds, and
 * what it then serves is late or cut. The less urgent stop a little earlier. With half of the engines gone, answers on
 * time rose by a third.
 */
const PLACES_LEFT_BY_RANK = 0.03;
const MAX_PLACES_RANK = 3;
/** Part of the places that late requests leave to those that can still be on time; a late answer earns a third. */
const PLACES_LEFT_BY_LATE = 0.12;
/** Wait that a full set of slots adds on a plain service, in milliseconds. */
const SERVICE_FULL_MS = 60;
/**
 * Most that chance adds on a plain service, in milliseconds. Daemons know only their own requests there, so without it
 * all of them would choose the same replica among equal ones.
 */
const SERVICE_CHANCE_MS = 20;
/** Cost of loading an adapter that the engine held of late, in milliseconds. */
const RELOAD_COST_MS = 40;
/** Cost of a first load, in milliseconds: it is priced like a third of a request, and takes a quarter second. */
const FIRST_LOAD_COST_MS = 400;
/** Cost of the slot that a load takes, in milliseconds, by the slots that are left; the last one stands for more. */
const SLOT_COST_MS = [700, 500, 400, 300, 220, 150, 100, 70, 40, 20];
/** Cost of each load that waits before it, in milliseconds. */
const QUEUED_COST_MS = 120;
/** Cost of each place down the adapter's ranking, in milliseconds, up to {@link MAX_RANK}. */
const RANK_COST_MS = 20;
const MAX_RANK = 4;
/** Cost of a share of failures, in milliseconds. */
const FAILURE_COST_MS = 1500;
/** Cost of a replica that rests since it could not be reached, in milliseconds. */
const REST_COST_MS = 5000;
/** Weight of a replica's slower first byte against the fastest one of its service. */
const SLOWNESS_WEIGHT = 0.5;
/** Cost of another failure domain, in milliseconds: the way and the priced bytes. */
const DOMAIN_COST_MS = 2;
/** Time for which the version before a newer one may still be used, in milliseconds, while the newer one loads. */
const OLDER_VERSION_MS = 2000;

/** What a request needs. */
export interface Need {
  readonly service: string;
  /** Base model of a generation. */
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Replicas that have been tried. */
  readonly tried: ReadonlySet<string>;
  /** Replicas that can't load the adapter now. */
  readonly unloadable: ReadonlySet<string>;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Whether its answer will be late whatever is done. */
  readonly isLate: boolean;
  /** Whether it has begun elsewhere, so that it is not held back where engines are full. */
  readonly isUnderWay: boolean;
}

/** A choice. */
export interface Choice {
  readonly replica: ReplicaEntry;
  /** Version of the adapter that is in place; undefined when it must be loaded or there is no adapter. */
  readonly heldVersion: number | undefined;
  /** Whether the adapter must be loaded first. */
  readonly needsLoad: boolean;
  /** Expected wait in milliseconds. */
  readonly cost: number;
}

/** A replica that could take the request, and the requests that it has over all daemons. */
interface Candidate {
  readonly replica: ReplicaEntry;
  readonly running: number;
  readonly waiting: number;
}

/** Options of a chooser. */
export interface ChooserOptions {
  readonly registry: ReplicaRegistry;
  readonly residency: ResidencyTable;
  readonly inFlight: InFlightTable;
  readonly health: ReplicaHealth;
  /** Whether a replica may get a request now, by the limit that it states. */
  readonly mayTake: (replica: string) => boolean;
  /** Failure domain of this daemon. */
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** A number from 0 to 1, drawn anew with each call. */
  readonly random: () => number;
}

/** Chooses replicas. */
export class Chooser {
  /**
   * Makes a chooser.
   * @param options - What it looks at.
   */
  constructor(private readonly options: ChooserOptions) {}

  /**
   * Chooses a replica.
   * @param need - What the request needs.
   * @returns The choice, or undefined when no replica can take it.
   */
  choose(need: Need): Choice | undefined {
    const ready = this.options.registry
      .readyReplicas(need.service)
      .filter(({ id }) => this.options.mayTake(id));
    const untried = ready.filter(({ id }) => !need.tried.has(id));
    const able = this.able(untried.length > 0 ? untried : ready, need);
    const ranks = need.adapter === undefined ? undefined : rankOf(need.adapter, able);
    const { health } = this.options;
    const fastest = Math.min(...able.map(({ replica }) => health.firstByteMs(replica.id) || Infinity));
    let best: Choice | undefined;
    for (const candidate of able) {
      const choice = this.weigh(candidate, need, ranks?.get(candidate.replica.id) ?? 0, fastest);
      if (choice !== undefined && (best === undefined || choice.cost < best.cost)) best = choice;
    }
    return best;
  }

  /**
   * Tells which version of an adapter must be used at least.
   * @param model - Base model.
   * @param adapter - Adapter.
   * @returns The version; 0 when any will do.
   */
  leastVersion(model: string, adapter: string): number {
    const declared = this.options.registry.declaredVersion(model, adapter);
    if (declared === undefined) return 0;
    const isNew = this.options.now() - declared.receivedAt < OLDER_VERSION_MS;
    return isNew ? 0 : declared.version;
  }

  /**
   * Tells whether a replica still takes new work.
   * @param replica - One that was chosen a while ago.
   * @returns Whether it does, or did a moment ago and its service has no other.
   */
  takesWork({ id, service }: ReplicaEntry): boolean {
    return this.options.registry.readyReplicas(service).some((ready) => ready.id === id);
  }

  /** Replicas that can take the request, with the requests that they have. */
  private able(replicas: readonly ReplicaEntry[], need: Need): Candidate[] {
    const { residency, inFlight } = this.options;
    const { model } = need;
    const count = (replica: ReplicaEntry): Candidate => ({ replica, ...inFlight.counts(replica.id) });
    if (model === undefined) return replicas.map(count);
    const holders = replicas.filter((replica) => residency.hasModel(replica, model));
    return holders.map(count).filter((candidate) => hasPlace(candidate, need));
  }

  private weigh(candidate: Candidate, need: Need, rank: number, fastest: number): Choice | undefined {
    const { health, zone } = this.options;
    const { replica, running, waiting } = candidate;
    const { id } = replica;
    const isEngine = need.model !== undefined;
    let cost = isEngine
      ? running * RUNNING_MS + waiting * WAITING_MS
      : (running / replica.slots) * SERVICE_FULL_MS + this.options.random() * SERVICE_CHANCE_MS;
    cost += health.failureRate(id) * FAILURE_COST_MS;
    if (health.isEjected(id)) cost += REST_COST_MS;
    const firstByte = health.firstByteMs(id);
    if (Number.isFinite(fastest) && firstByte > fastest) cost += (firstByte - fastest) * SLOWNESS_WEIGHT;
    if (replica.zone !== zone) cost += DOMAIN_COST_MS;
    if (need.model === undefined || need.adapter === undefined)
      return { replica, heldVersion: undefined, needsLoad: false, cost };
    const held = this.heldVersion(replica, need.model, need.adapter);
    if (held === undefined && need.unloadable.has(id)) return undefined;
    cost += Math.min(rank, MAX_RANK) * RANK_COST_MS;
    if (held === undefined) cost += this.loadCost(id, adapterKey(need.model, need.adapter));
    return { replica, heldVersion: held, needsLoad: held === undefined, cost };
  }

  private loadCost(replica: string, key: string): number {
    const { residency } = this.options;
    const load = residency.wasRecentlyResident(replica, key) ? RELOAD_COST_MS : FIRST_LOAD_COST_MS;
    const { freeSlots, queued } = residency.availabilityOf(replica);
    if (freeSlots < 0) return REST_COST_MS;
    return load + SLOT_COST_MS[Math.min(freeSlots, SLOT_COST_MS.length - 1)]! + queued * QUEUED_COST_MS;
  }

  private heldVersion(replica: ReplicaEntry, model: string, adapter: string): number | undefined {
    const held = this.options.residency.versionOf(replica, model, adapter);
    return held !== undefined && held >= this.leastVersion(model, adapter) ? held : undefined;
  }
}

/**
 * Tells how many requests an engine may have in flight with one more.
 * @param slots - Requests that the engine works on at once.
 * @param need - Urgency of the request.
 * @returns Places, not whole; Infinity for a request that must go on.
 */
export function placesFor(slots: number, need: Pick<Need, 'rank' | 'isLate' | 'isUnderWay'>): number {
  if (need.isUnderWay) return Number.POSITIVE_INFINITY;
  const byRank = slots * PLACES_LEFT_BY_RANK * Math.min(need.rank, MAX_PLACES_RANK);
  const byLate = need.isLate ? Math.max(1, slots * PLACES_LEFT_BY_LATE) : 0;
  return Math.ceil(slots - byRank - byLate);
}

/** Whether an engine has a place for the request. */
function hasPlace({ replica: { slots }, running }: Candidate, need: Need): boolean {
  return running < placesFor(slots, need);
}

/** Ranks replicas for an adapter by rendezvous hashing. */
function rankOf(adapter: string, candidates: readonly Candidate[]): Map<string, number> {
  const scored = candidates.map(({ replica: { id, host, port } }) => ({
    id,
    // By address, as a restarted replica finds on its disk what it held before.
    score: hash32(`${adapter}@${host}:${port}`),
  }));
  scored.sort((left, right) => right.score - left.score);
  return new Map(scored.map(({ id }, index) => [id, index]));
}

/**
 * Names the adapter that a request uses, as in the table of requests in flight.
 * @param need - What it needs.
 * @returns `model/adapter`, or undefined.
 */
export function useKey(need: Pick<Need, 'model' | 'adapter'>): string | undefined {
  if (need.model === undefined || need.adapter === undefined) return undefined;
  return adapterKey(need.model, need.adapter);
}
