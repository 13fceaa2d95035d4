/**
 * Chooses the replica for a request: the one with the lowest cost, which is the expected wait in milliseconds
 * plus penalties in the same unit.
 *
 * For a generation the wait is the engine's queue, plus a load when the adapter is not resident. Each adapter
 * ranks the engines by rendezvous hashing, and each further rank adds a small cost, so that an adapter
 * returns to the same few engines, where it loads ten times as fast and its prompts are cached.
 */
import { hash32 } from '@celeryyoke/core';

import type { ResidencyTable } from '../adapters/index.js';
import { adapterKey, COLD_LOAD_ESTIMATE_MS, WARM_LOAD_ESTIMATE_MS } from '../adapters/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { InFlightTable } from './in-flight.js';
import type { ReplicaHealth } from './replica-health.js';

/** Cost of each request without a response on an engine: its prefill runs first. */
const UNANSWERED_COST_MS = 45;
/**
 * Cost of each running request on an idle engine; it is twice as much on a full one, where requests queue.
 */
const RUNNING_COST_MS = 5;
/**
 * Share of an engine's slots that each step down in priority leaves free for the more urgent requests, which arrive
 * while the engine is full. Beyond its slots an engine queues requests for seconds.
 */
const RESERVED_SHARE_PER_RANK = 0.03;
const MAX_RESERVED_RANK = 3;
/** Cost of a replica of a plain service whose slots are all in use. */
const SERVICE_FULL_COST_MS = 60;
/**
 * Upper bound of the random cost on a plain service. Daemons know only their own requests there, so without
 * it all of them would choose the same one of several equal replicas.
 */
const SERVICE_JITTER_MS = 20;
/**
 * Expected delay of later loads by the slot that a load takes, by the number of free slots: without one, a load waits
 * until the requests of another adapter have ended. The last entry is for that number and above.
 */
const SLOT_COSTS_MS = [700, 500, 400, 300, 220, 150, 100, 70, 40, 20];
/** Cost of each load that is queued ahead. */
const QUEUED_LOAD_COST_MS = 120;
/** Cost of each rank of the adapter's rendezvous hashing, up to {@link MAX_HASH_RANK}. */
const HASH_RANK_COST_MS = 20;
const MAX_HASH_RANK = 4;
/** Cost of a failure rate of 1. */
const FAILURE_COST_MS = 1500;
/** Cost of a replica that is ejected, or whose owner can't reach it. */
const EJECTED_COST_MS = 5000;
/** Cost of each rank of a suspect's placement: more than all other costs together. */
const SUSPECT_RANK_COST_MS = 20_000;
/** Weight of the time by which a replica's first byte is later than that of the fastest candidate. */
const SLOWNESS_WEIGHT = 0.5;
/** Cost of a replica in another failure domain: a round trip between the two. */
const CROSS_DOMAIN_COST_MS = 2;
/** Time for which the previous version of an adapter may still be used while a newly declared one loads. */
const OLDER_VERSION_GRACE_MS = 2000;

/** What a request needs of a replica. */
export interface Need {
  readonly service: string;
  /** Base model of a generation. */
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Software version of the replica, for a stream that goes on; undefined if any will do. */
  readonly softwareVersion: string | undefined;
  /** Whether a stream begins that its caller may resume at any daemon. */
  readonly beginsResumable: boolean;
  /** Replicas that the request was already sent to; chosen again only when there is no other. */
  readonly tried: ReadonlySet<string>;
  /** Replicas that have repeatedly accepted no connection for the request; not chosen again while they are ejected. */
  readonly unreached: ReadonlySet<string>;
  /** Replicas that may be chosen; all when it is undefined. */
  readonly among?: ReadonlySet<string> | undefined;
  /** Replicas that can't load the adapter at present. */
  readonly cannotLoad: ReadonlySet<string>;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Whether it already ran on another replica, so that it may go to an engine without free slots. */
  readonly isUnderWay: boolean;
  /** Ranks replicas for a request under which one has crashed; undefined for any other request. */
  readonly rankForSuspect: ((replicas: readonly string[]) => ReadonlyMap<string, number>) | undefined;
}

/** The chosen replica, and whether the adapter must be loaded there. */
export interface Choice {
  readonly replica: ReplicaEntry;
  /** Version of the adapter that is resident; undefined when it must be loaded or there is no adapter. */
  readonly residentVersion: number | undefined;
  /** Whether the adapter must be loaded first. */
  readonly needsLoad: boolean;
  /** Time until the request may be sent to the replica, in milliseconds; undefined if it may be sent now. */
  readonly opensInMs?: number;
  /** Expected wait and penalties, in milliseconds. */
  readonly cost: number;
}

/** A replica that can take the request, and the requests that it has from all daemons. */
interface Candidate {
  readonly replica: ReplicaEntry;
  readonly running: number;
  readonly waiting: number;
}

/** Ranks of the candidates for a request, by replica; 0 is the best. */
interface CandidateRanks {
  /** By rendezvous hashing of its adapter; undefined without one. */
  readonly hash: ReadonlyMap<string, number> | undefined;
  /** By its placement as a suspect; undefined for any other request. */
  readonly suspect: ReadonlyMap<string, number> | undefined;
}

/** What a {@link Chooser} reads. */
export interface ChooserOptions {
  readonly registry: ReplicaRegistry;
  readonly residency: ResidencyTable;
  readonly inFlight: InFlightTable;
  readonly health: ReplicaHealth;
  /** Whether what the replica has declared allows another request now. */
  readonly mayReceive: (replica: string) => boolean;
  /** Time for which a replica wants no requests from this daemon, in milliseconds; 0 if it accepts them. */
  readonly backoffMs: (replica: string) => number;
  /** Returns the replicas of a service at which streams that their callers may resume should begin. */
  readonly establishedReplicas: (
    service: string,
    replicas: readonly ReplicaEntry[],
  ) => readonly ReplicaEntry[];
  /** Returns the time until a replica is one of them, in milliseconds; Infinity if that is not known. */
  readonly establishedInMs: (replica: ReplicaEntry) => number;
  /** Failure domain of this daemon. */
  readonly zone: string;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Returns a new random number from 0 to 1 on each call. */
  readonly random: () => number;
}

/**
 * Chooses replicas by cost from the shared state: residency of adapters, requests in flight, health, and
 * limits.
 */
export class Chooser {
  constructor(private readonly options: ChooserOptions) {}

  /**
   * Returns the replica with the lowest cost, or undefined when none can take the request. A stream that may be
   * resumed gets one that is not established only if no other can take it; beside established ones it has to wait
   * until the replica is established, as other daemons may still take their version for the only one.
   */
  choose(need: Need): Choice | undefined {
    const { establishedReplicas, establishedInMs } = this.options;
    const ready = this.readyReplicas(need);
    const established = need.beginsResumable ? establishedReplicas(need.service, ready) : ready;
    if (established.length === 0) return this.cheapest(ready, need);
    const choice = this.cheapest(established, need);
    if (choice !== undefined || established.length === ready.length) return choice;
    const later = this.cheapest(
      ready.filter((replica) => Number.isFinite(establishedInMs(replica))),
      need,
    );
    return later && { ...later, opensInMs: establishedInMs(later.replica) };
  }

  private cheapest(ready: readonly ReplicaEntry[], need: Need): Choice | undefined {
    const { health } = this.options;
    const candidates = this.candidatesFor(this.preferred(ready, need), need);
    const reachable = candidates.map(({ replica: { id } }) => id).filter((id) => !health.isEjected(id));
    const ranks = {
      hash: need.adapter === undefined ? undefined : rankByHash(need.adapter, candidates),
      suspect: need.rankForSuspect?.(reachable),
    };
    const fastestMs = Math.min(
      ...candidates.map(({ replica }) => health.firstByteMs(replica.id) || Infinity),
    );
    let best: Choice | undefined;
    for (const candidate of candidates) {
      const choice = this.evaluate(candidate, need, ranks, fastestMs);
      if (choice !== undefined && (best === undefined || choice.cost < best.cost)) best = choice;
    }
    return best;
  }

  /**
   * Replicas that the request was not sent to, if there are any. What is sent to a silent one may be read much later, so a
   * retry goes to one only if there is no other.
   */
  private preferred(ready: readonly ReplicaEntry[], { tried }: Need): readonly ReplicaEntry[] {
    const { health } = this.options;
    const untried = ready.filter(({ id }) => !tried.has(id));
    const isHeard = ({ id }: ReplicaEntry): boolean => !health.isEjected(id);
    if (tried.size === 0 || untried.some(isHeard)) return untried;
    const heard = ready.filter(isHeard);
    if (heard.length > 0) return heard;
    return untried.length > 0 ? untried : ready;
  }

  /** Replicas that accept the request. */
  private readyReplicas(need: Need): readonly ReplicaEntry[] {
    const { registry, mayReceive } = this.options;
    const { service, softwareVersion, among } = need;
    return registry
      .readyReplicas(service, softwareVersion)
      .filter(({ id }) => mayReceive(id) && (among?.has(id) ?? true) && !this.isOutOfReach(id, need));
  }

  /** Whether a replica has accepted no connection for the request and is ejected. */
  private isOutOfReach(replica: string, { unreached }: Need): boolean {
    return unreached.has(replica) && this.options.health.isEjected(replica);
  }

  /** Returns whether a service has replicas of a software version that are ready or left a moment ago. */
  hasVersion(service: string, softwareVersion: string): boolean {
    return this.options.registry.readyReplicas(service, softwareVersion).length > 0;
  }

  /** Returns the lowest version of an adapter that may be used; 0 when any may. */
  minVersion(model: string, adapter: string): number {
    const declared = this.options.registry.declaredVersion(model, adapter);
    if (declared === undefined) return 0;
    const isNew = this.options.now() - declared.receivedAt < OLDER_VERSION_GRACE_MS;
    return isNew ? 0 : declared.version;
  }

  /**
   * Returns whether a replica that was chosen a while ago still accepts requests, or stopped a moment ago and
   * its service has no other.
   * @param softwareVersion - See {@link Need.softwareVersion}.
   */
  acceptsRequests({ id, service }: ReplicaEntry, softwareVersion?: string): boolean {
    const { registry, mayReceive } = this.options;
    return (
      mayReceive(id) && registry.readyReplicas(service, softwareVersion).some((ready) => ready.id === id)
    );
  }

  /**
   * Returns the time until the first replica of a service ends its backoff, in milliseconds; 0 if not all of them
   * are in one.
   */
  backoffMs(service: string): number {
    const { registry, backoffMs } = this.options;
    const replicas = registry.readyReplicas(service);
    return replicas.length === 0 ? 0 : Math.min(...replicas.map(({ id }) => backoffMs(id)));
  }

  /**
   * Returns for how long a service has had no ready replica, in milliseconds.
   * @returns 0 if it has one, Infinity if none has been known.
   */
  absentMs(service: string): number {
    return this.options.registry.absentMs(service);
  }

  /** Returns the replicas that can take the request, with their requests in flight. */
  private candidatesFor(replicas: readonly ReplicaEntry[], need: Need): Candidate[] {
    const { residency, inFlight } = this.options;
    const { model } = need;
    const count = (replica: ReplicaEntry): Candidate => ({ replica, ...inFlight.countsOf(replica.id) });
    if (model === undefined) return replicas.map(count);
    const holders = replicas.filter((replica) => residency.hasModel(replica, model));
    return holders.map(count).filter((candidate) => hasFreeSlot(candidate, need));
  }

  private evaluate(
    candidate: Candidate,
    need: Need,
    ranks: CandidateRanks,
    fastestMs: number,
  ): Choice | undefined {
    const { health, zone } = this.options;
    const { replica, running, waiting } = candidate;
    const { id } = replica;
    const isEngine = need.model !== undefined;
    let cost = isEngine
      ? running * RUNNING_COST_MS + waiting * UNANSWERED_COST_MS
      : (running / replica.slots) * SERVICE_FULL_COST_MS + this.options.random() * SERVICE_JITTER_MS;
    cost += health.failureRate(id) * FAILURE_COST_MS;
    if (health.isEjected(id)) cost += EJECTED_COST_MS;
    const firstByteMs = health.firstByteMs(id);
    if (Number.isFinite(fastestMs) && firstByteMs > fastestMs)
      cost += (firstByteMs - fastestMs) * SLOWNESS_WEIGHT;
    if (replica.zone !== zone) cost += CROSS_DOMAIN_COST_MS;
    if (ranks.suspect !== undefined)
      cost += (ranks.suspect.get(id) ?? ranks.suspect.size) * SUSPECT_RANK_COST_MS;
    if (need.model === undefined || need.adapter === undefined)
      return { replica, residentVersion: undefined, needsLoad: false, cost };
    const version = this.usableVersion(replica, need.model, need.adapter);
    if (version === undefined && need.cannotLoad.has(id)) return undefined;
    cost += Math.min(ranks.hash?.get(id) ?? 0, MAX_HASH_RANK) * HASH_RANK_COST_MS;
    if (version === undefined) cost += this.loadCost(id, adapterKey(need.model, need.adapter));
    return { replica, residentVersion: version, needsLoad: version === undefined, cost };
  }

  private loadCost(replica: string, key: string): number {
    const { residency } = this.options;
    const load = residency.wasRecentlyResident(replica, key) ? WARM_LOAD_ESTIMATE_MS : COLD_LOAD_ESTIMATE_MS;
    const { freeSlots, queued } = residency.availabilityOf(replica);
    if (freeSlots < 0) return EJECTED_COST_MS;
    return (
      load + SLOT_COSTS_MS[Math.min(freeSlots, SLOT_COSTS_MS.length - 1)]! + queued * QUEUED_LOAD_COST_MS
    );
  }

  private usableVersion(replica: ReplicaEntry, model: string, adapter: string): number | undefined {
    const version = this.options.residency.versionOf(replica, model, adapter);
    return version !== undefined && version >= this.minVersion(model, adapter) ? version : undefined;
  }
}

/**
 * Returns the number of requests in flight from which on an engine gets no further request of this urgency.
 * @param slots - Requests that the engine works on at once.
 * @returns Infinity for a request that has already run elsewhere.
 */
export function maxInFlightFor(slots: number, need: Pick<Need, 'rank' | 'isUnderWay'>): number {
  if (need.isUnderWay) return Number.POSITIVE_INFINITY;
  const reservedByRank = slots * RESERVED_SHARE_PER_RANK * Math.min(need.rank, MAX_RESERVED_RANK);
  return Math.ceil(slots - reservedByRank);
}

function hasFreeSlot({ replica: { slots }, running }: Candidate, need: Need): boolean {
  return running < maxInFlightFor(slots, need);
}

/** Ranks replicas for an adapter by rendezvous hashing; 0 is the first. */
function rankByHash(adapter: string, candidates: readonly Candidate[]): Map<string, number> {
  const scored = candidates.map(({ replica: { id, host, port } }) => ({
    id,
    // By address, as a restarted replica has the adapters of its previous process on disk.
    score: hash32(`${adapter}@${host}:${port}`),
  }));
  scored.sort((left, right) => right.score - left.score);
  return new Map(scored.map(({ id }, index) => [id, index]));
}

/**
 * Returns the key under which the table of requests in flight counts the adapter of a request.
 * @returns `model/adapter`; undefined for a request without an adapter.
 */
export function requestAdapterKey(need: Pick<Need, 'model' | 'adapter'>): string | undefined {
  if (need.model === undefined || need.adapter === undefined) return undefined;
  return adapterKey(need.model, need.adapter);
}
