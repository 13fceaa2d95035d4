/**
 * Requests in flight on each replica: this daemon's own at once, the others' as they are told.
 *
 * Of an engine each daemon tells its owner, which publishes the sum; so what is told grows with the work and not with
 * the number of daemons. Of a plain service each daemon knows its own requests only.
 */
import type { TimerService } from '@celeryyoke/core';

/** Age at which what a peer told no longer counts, in milliseconds: some whole reports. */
const STALE_REPORT_MS = 3500;
/** Age at which an owner's sum no longer counts, in milliseconds. */
const STALE_TOTAL_MS = 2500;

/** Requests on a replica. */
export interface Counts {
  /** Those in flight. */
  running: number;
  /** Those of them that have no answer yet. */
  waiting: number;
}

/** A daemon's requests on one replica. */
export interface ReplicaInFlight extends Readonly<Counts> {
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

/** What a daemon tells the owner of some engines. */
export interface InFlightReport {
  /** Whether it names all of the daemon's requests there; if not, what it leaves out has not changed. */
  readonly isWhole: boolean;
  readonly replicas: readonly ReplicaInFlight[];
  readonly adapters: readonly AdapterInFlight[];
}

/** A request in flight, as its execution reports it. */
export interface RunningNote {
  /** The first byte of its answer has come. */
  answered(): void;
  /** It has ended. */
  ended(): void;
}

interface OwnUse {
  running: number;
  begun: number;
}

/** What one daemon told of its requests. */
interface Reported {
  at: number;
  readonly replicas: Map<string, Readonly<Counts>>;
  /** Requests in flight by replica and `model/adapter`. */
  readonly adapters: Map<string, Map<string, number>>;
}

/** What the owner of an engine told of all daemons' requests, and this daemon's own part of it. */
interface Total extends Counts {
  readonly at: number;
  readonly own: Readonly<Counts>;
}

/** Told when this daemon's requests on a replica have changed; the adapter is undefined where there is none. */
export type InFlightListener = (replica: string, key: string | undefined) => void;

/** Requests in flight. */
export class InFlightTable {
  private readonly own = new Map<string, Counts>();

  private readonly ownUses = new Map<string, Map<string, OwnUse>>();

  /** By peer, its requests on engines that this daemon owns. */
  private readonly reported = new Map<string, Reported>();

  /** By engine, what its owner told. */
  private readonly totals = new Map<string, Total>();

  private readonly listeners: InFlightListener[] = [];

  /**
   * Makes an empty table.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /**
   * Subscribes to this daemon's own requests.
   * @param listener - Told of each change.
   */
  onChange(listener: InFlightListener): void {
    this.listeners.push(listener);
  }

  /**
   * Notes that a request begins.
   * @param replica - Where.
   * @param key - `model/adapter`, where it uses one.
   * @returns To be told of its further steps.
   */
  begin(replica: string, key: string | undefined): RunningNote {
    const counts = this.own.get(replica) ?? { running: 0, waiting: 0 };
    this.own.set(replica, counts);
    counts.running += 1;
    counts.waiting += 1;
    const use = key === undefined ? undefined : this.useOf(replica, key);
    if (use !== undefined) {
      use.running += 1;
      use.begun += 1;
    }
    this.notify(replica, key);
    let isWaiting = true;
    const answered = (): void => {
      if (!isWaiting) return;
      isWaiting = false;
      counts.waiting -= 1;
      this.notify(replica, undefined);
    };
    const ended = (): void => {
      answered();
      counts.running -= 1;
      if (use !== undefined) use.running -= 1;
      this.notify(replica, key);
    };
    return { answered, ended };
  }

  /**
   * Takes what a peer told of its requests on engines that this daemon owns.
   * @param peer - Its address.
   * @param report - Its requests.
   */
  take(peer: string, { isWhole, replicas, adapters }: InFlightReport): void {
    const now = this.timers.now();
    const known = this.reported.get(peer);
    const isKept = !isWhole && known !== undefined && known.at > now - STALE_REPORT_MS;
    const reported = isKept ? known : { at: now, replicas: new Map(), adapters: new Map() };
    this.reported.set(peer, reported);
    reported.at = now;
    for (const { replica, running, waiting } of replicas)
      reported.replicas.set(replica, { running, waiting });
    for (const line of adapters) setUse(reported, line);
  }

  /**
   * Takes what the owner of an engine told of all daemons' requests there.
   * @param total - The engine and the sums.
   */
  takeTotal({ replica, running, waiting }: ReplicaInFlight): void {
    const { running: ownRunning = 0, waiting: ownWaiting = 0 } = this.own.get(replica) ?? {};
    const own = { running: ownRunning, waiting: ownWaiting };
    this.totals.set(replica, { at: this.timers.now(), running, waiting, own });
  }

  /**
   * Forgets a replica that is gone.
   * @param replica - The replica.
   */
  forget(replica: string): void {
    this.totals.delete(replica);
    if (this.ownUses.get(replica)?.size === 0) this.ownUses.delete(replica);
  }

  /**
   * Forgets a daemon whose process has ended, as its requests have ended with it.
   * @param peer - Its address.
   */
  forgetPeer(peer: string): void {
    this.reported.delete(peer);
  }

  /**
   * Counts the requests on a replica, over all daemons as far as their owner told.
   * @param replica - The replica.
   * @returns Those in flight, and those of them that have no answer yet.
   */
  counts(replica: string): Counts {
    const total = this.totals.get(replica);
    if (total === undefined || total.at <= this.timers.now() - STALE_TOTAL_MS) return this.sum(replica);
    // What has changed here since is known, and not yet in the sum.
    const own = this.own.get(replica);
    return {
      running: Math.max(own?.running ?? 0, total.running + (own?.running ?? 0) - total.own.running),
      waiting: Math.max(own?.waiting ?? 0, total.waiting + (own?.waiting ?? 0) - total.own.waiting),
    };
  }

  /**
   * Sums what each daemon told itself, for the engines that this daemon owns.
   * @param replica - The replica.
   * @returns Requests in flight, and those of them that have no answer yet.
   */
  sum(replica: string): Counts {
    const oldest = this.timers.now() - STALE_REPORT_MS;
    const own = this.own.get(replica);
    const sum = { running: own?.running ?? 0, waiting: own?.waiting ?? 0 };
    for (const { at, replicas } of this.reported.values()) {
      const told = at > oldest ? replicas.get(replica) : undefined;
      if (told === undefined) continue;
      sum.running += told.running;
      sum.waiting += told.waiting;
    }
    return sum;
  }

  /**
   * Counts the requests in flight on each adapter of a replica.
   * @param replica - The replica.
   * @returns By `model/adapter`, over all daemons.
   */
  runningByAdapter(replica: string): Map<string, number> {
    const sums = new Map<string, number>();
    const add = (key: string, running: number): void => {
      if (running > 0) sums.set(key, (sums.get(key) ?? 0) + running);
    };
    for (const [key, { running }] of this.ownUses.get(replica) ?? []) add(key, running);
    const oldest = this.timers.now() - STALE_REPORT_MS;
    for (const { at, adapters } of this.reported.values())
      if (at > oldest) for (const [key, running] of adapters.get(replica) ?? []) add(key, running);
    return sums;
  }

  /**
   * Tells this daemon's requests on one replica.
   * @param replica - The replica.
   * @returns Requests in flight.
   */
  ownOf(replica: string): ReplicaInFlight {
    const { running = 0, waiting = 0 } = this.own.get(replica) ?? {};
    return { replica, running, waiting };
  }

  /**
   * Tells this daemon's requests on one adapter; those begun count as told from then on.
   * @param replica - The replica.
   * @param key - `model/adapter`.
   * @returns Requests in flight.
   */
  takeOwnUse(replica: string, key: string): AdapterInFlight {
    const use = this.ownUses.get(replica)?.get(key);
    if (use === undefined) return { replica, key, running: 0, begun: 0 };
    const { running, begun } = use;
    use.begun = 0;
    if (running === 0) this.ownUses.get(replica)!.delete(key);
    return { replica, key, running, begun };
  }

  /** Adapters of a replica on which this daemon has requests, or had since it told last. */
  ownKeys(replica: string): string[] {
    return [...(this.ownUses.get(replica)?.keys() ?? [])];
  }

  /** Replicas on which this daemon has requests in flight; forgets the others. */
  ownReplicas(): string[] {
    for (const [replica, { running }] of this.own) if (running === 0) this.own.delete(replica);
    return [...this.own.keys()];
  }

  private notify(replica: string, key: string | undefined): void {
    for (const listener of this.listeners) listener(replica, key);
  }

  private useOf(replica: string, key: string): OwnUse {
    const byKey = this.ownUses.get(replica) ?? new Map<string, OwnUse>();
    this.ownUses.set(replica, byKey);
    const use = byKey.get(key) ?? { running: 0, begun: 0 };
    byKey.set(key, use);
    return use;
  }
}

function setUse({ adapters }: Reported, { replica, key, running }: AdapterInFlight): void {
  const byKey = adapters.get(replica) ?? new Map<string, number>();
  adapters.set(replica, byKey);
  if (running > 0) byKey.set(key, running);
  else byKey.delete(key);
}
