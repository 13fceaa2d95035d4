/**
 * Requests in flight on each replica: this daemon's own, counted as they happen, and those of the other
 * daemons, as they are reported.
 *
 * Each daemon reports its requests on an engine to the engine's owner, which publishes the sum. So the
 * traffic grows with the requests and not with the number of daemons. Of a plain service each daemon knows
 * only its own requests.
 */
import type { TimerService } from '@celeryyoke/core';

/** Age at which a peer's report no longer counts: several intervals of full reports. */
const STALE_REPORT_MS = 3500;
/** Age at which a sum that an owner published no longer counts. */
const STALE_TOTAL_MS = 2500;

/** Numbers of requests on a replica. */
export interface RequestCounts {
  /** Requests in flight. */
  running: number;
  /** Those of them that have no response yet. */
  waiting: number;
}

/** A daemon's requests on one replica. */
export interface ReplicaInFlight extends Readonly<RequestCounts> {
  readonly replica: string;
}

/** A daemon's requests on one adapter of a replica. */
export interface AdapterInFlight {
  readonly replica: string;
  /** `model/adapter`. */
  readonly key: string;
  readonly running: number;
  /** Requests that have begun since the last report. */
  readonly begun: number;
}

/** A daemon's report to the owner of some engines. */
export interface InFlightReport {
  /** Whether it lists all of the daemon's requests there; if not, what it leaves out has not changed. */
  readonly isWhole: boolean;
  readonly replicas: readonly ReplicaInFlight[];
  readonly adapters: readonly AdapterInFlight[];
}

/** A request in flight; its execution calls these methods. */
export interface InFlightHandle {
  /** Records that the first byte of the response has arrived; further calls do nothing. */
  responseStarted(): void;
  /** Records that the request has ended; to be called once. */
  requestEnded(): void;
}

interface AdapterUse {
  running: number;
  begun: number;
}

/** The latest reports of one peer, merged. */
interface PeerReport {
  at: number;
  readonly replicas: Map<string, Readonly<RequestCounts>>;
  /** Requests in flight by replica and `model/adapter`. */
  readonly adapters: Map<string, Map<string, number>>;
}

/** The sum that an engine's owner published, and the part of it that was this daemon's when it arrived. */
interface PublishedTotal extends RequestCounts {
  readonly at: number;
  readonly own: Readonly<RequestCounts>;
}

/**
 * Called when this daemon's requests on a replica have changed; the key is undefined where there is no
 * adapter.
 */
export type InFlightListener = (replica: string, key: string | undefined) => void;

/** Counts requests in flight by replica and adapter. */
export class InFlightTable {
  private readonly ownCounts = new Map<string, RequestCounts>();

  private readonly ownAdapterUses = new Map<string, Map<string, AdapterUse>>();

  /** Requests of each peer on engines that this daemon owns. */
  private readonly peerReports = new Map<string, PeerReport>();

  /** Sums by engine, as their owners published them. */
  private readonly publishedTotals = new Map<string, PublishedTotal>();

  private readonly listeners: InFlightListener[] = [];

  constructor(private readonly timers: TimerService) {}

  /** Subscribes to changes of this daemon's own requests. */
  onChange(listener: InFlightListener): void {
    this.listeners.push(listener);
  }

  /**
   * Counts a new request.
   * @param key - `model/adapter`; undefined without an adapter.
   * @returns The handle on which the request's further steps are recorded.
   */
  begin(replica: string, key: string | undefined): InFlightHandle {
    const own = this.ownCounts.get(replica) ?? { running: 0, waiting: 0 };
    this.ownCounts.set(replica, own);
    own.running += 1;
    own.waiting += 1;
    const use = key === undefined ? undefined : this.ownUseOf(replica, key);
    if (use !== undefined) {
      use.running += 1;
      use.begun += 1;
    }
    this.notify(replica, key);
    let isUnanswered = true;
    const responseStarted = (): void => {
      if (!isUnanswered) return;
      isUnanswered = false;
      own.waiting -= 1;
      this.notify(replica, undefined);
    };
    const requestEnded = (): void => {
      responseStarted();
      own.running -= 1;
      if (use !== undefined) use.running -= 1;
      this.notify(replica, key);
    };
    return { responseStarted, requestEnded };
  }

  /**
   * Merges a peer's report on engines that this daemon owns; a full one replaces the earlier ones.
   * @param peer - Address of the peer.
   */
  mergeReport(peer: string, { isWhole, replicas, adapters }: InFlightReport): void {
    const now = this.timers.now();
    const known = this.peerReports.get(peer);
    const isUpdate = !isWhole && known !== undefined && known.at > now - STALE_REPORT_MS;
    const merged = isUpdate ? known : { at: now, replicas: new Map(), adapters: new Map() };
    this.peerReports.set(peer, merged);
    merged.at = now;
    for (const { replica, running, waiting } of replicas) merged.replicas.set(replica, { running, waiting });
    for (const row of adapters) setAdapterCount(merged, row);
  }

  /** Stores the sum of all daemons' requests on an engine, as its owner published it. */
  setPublishedTotal({ replica, running, waiting }: ReplicaInFlight): void {
    const { running: ownRunning = 0, waiting: ownWaiting = 0 } = this.ownCounts.get(replica) ?? {};
    const own = { running: ownRunning, waiting: ownWaiting };
    this.publishedTotals.set(replica, { at: this.timers.now(), running, waiting, own });
  }

  /** Removes a replica that no longer exists; this daemon's requests there count until they have ended. */
  removeReplica(replica: string): void {
    this.publishedTotals.delete(replica);
    if (this.ownAdapterUses.get(replica)?.size === 0) this.ownAdapterUses.delete(replica);
  }

  /** Removes the reports of a daemon whose process has ended, as its requests have ended with it. */
  removePeer(peer: string): void {
    this.peerReports.delete(peer);
  }

  /**
   * Returns the requests on a replica: the sum that its owner published, corrected by this daemon's changes
   * since. When there is no recent sum, this daemon's own requests and those reported to it.
   */
  countsOf(replica: string): RequestCounts {
    const total = this.publishedTotals.get(replica);
    if (total === undefined || total.at <= this.timers.now() - STALE_TOTAL_MS)
      return this.sumOfReports(replica);
    // The published sum does not contain this daemon's changes since it arrived.
    const own = this.ownCounts.get(replica);
    return {
      running: Math.max(own?.running ?? 0, total.running + (own?.running ?? 0) - total.own.running),
      waiting: Math.max(own?.waiting ?? 0, total.waiting + (own?.waiting ?? 0) - total.own.waiting),
    };
  }

  /**
   * Returns the sum of this daemon's requests on a replica and those that peers reported: the owner publishes
   * it.
   */
  sumOfReports(replica: string): RequestCounts {
    const oldest = this.timers.now() - STALE_REPORT_MS;
    const own = this.ownCounts.get(replica);
    const sum = { running: own?.running ?? 0, waiting: own?.waiting ?? 0 };
    for (const { at, replicas } of this.peerReports.values()) {
      const counts = at > oldest ? replicas.get(replica) : undefined;
      if (counts === undefined) continue;
      sum.running += counts.running;
      sum.waiting += counts.waiting;
    }
    return sum;
  }

  /**
   * Returns the requests in flight on each adapter of a replica, as its owner knows them from all daemons.
   * @returns By `model/adapter`.
   */
  runningByAdapter(replica: string): Map<string, number> {
    const sums = new Map<string, number>();
    const add = (key: string, running: number): void => {
      if (running > 0) sums.set(key, (sums.get(key) ?? 0) + running);
    };
    for (const [key, { running }] of this.ownAdapterUses.get(replica) ?? []) add(key, running);
    const oldest = this.timers.now() - STALE_REPORT_MS;
    for (const { at, adapters } of this.peerReports.values())
      if (at > oldest) for (const [key, running] of adapters.get(replica) ?? []) add(key, running);
    return sums;
  }

  /** Returns this daemon's requests on a replica. */
  ownCountsOf(replica: string): ReplicaInFlight {
    const { running = 0, waiting = 0 } = this.ownCounts.get(replica) ?? {};
    return { replica, running, waiting };
  }

  /**
   * Returns this daemon's requests on an adapter for a report, and resets those that have begun since the
   * last one.
   * @param key - `model/adapter`.
   */
  collectOwnAdapterUse(replica: string, key: string): AdapterInFlight {
    const use = this.ownAdapterUses.get(replica)?.get(key);
    if (use === undefined) return { replica, key, running: 0, begun: 0 };
    const { running, begun } = use;
    use.begun = 0;
    if (running === 0) this.ownAdapterUses.get(replica)!.delete(key);
    return { replica, key, running, begun };
  }

  /**
   * Returns the adapters of a replica on which this daemon has requests, or had some since its last report.
   */
  ownAdapterKeys(replica: string): string[] {
    return [...(this.ownAdapterUses.get(replica)?.keys() ?? [])];
  }

  /**
   * Returns the replicas on which this daemon has requests in flight, and removes the counts of the others.
   */
  ownReplicas(): string[] {
    for (const [replica, { running }] of this.ownCounts) if (running === 0) this.ownCounts.delete(replica);
    return [...this.ownCounts.keys()];
  }

  private notify(replica: string, key: string | undefined): void {
    for (const listener of this.listeners) listener(replica, key);
  }

  private ownUseOf(replica: string, key: string): AdapterUse {
    const byKey = this.ownAdapterUses.get(replica) ?? new Map<string, AdapterUse>();
    this.ownAdapterUses.set(replica, byKey);
    const use = byKey.get(key) ?? { running: 0, begun: 0 };
    byKey.set(key, use);
    return use;
  }
}

function setAdapterCount({ adapters }: PeerReport, { replica, key, running }: AdapterInFlight): void {
  const byKey = adapters.get(replica) ?? new Map<string, number>();
  adapters.set(replica, byKey);
  if (running > 0) byKey.set(key, running);
  else byKey.delete(key);
}
