/**
 * Requests in progress on each replica: this daemon's own at once, the others' as they are told.
 *
 * Of an engine each daemon tells the one that keeps it, which tells the sum to all: so what is told grows with the work
 * and not with the square of the daemons. Of a replica that nobody keeps, each daemon tells all others.
 */
import type { TimerService } from '@celeryyoke/core';

/** Age at which what a peer told no longer counts, in milliseconds: some heartbeats. */
const STALE_MS = 1500;

/** What a daemon tells of its requests on one replica: incarnation, requests in progress, those without an answer yet. */
export type LoadLine = readonly [replica: string, running: number, waiting: number];

/** A request in progress, as its journey reports it. */
export interface RunningNote {
  /** The first byte of its answer has come. */
  answered(): void;
  /** It has ended. */
  ended(): void;
}

/** Requests on a replica. */
export interface Counts {
  /** Those in progress. */
  running: number;
  /** Those of them that have no answer yet. */
  waiting: number;
}

/** What a daemon tells of one adapter: replica, `model/adapter`, requests in progress, requests begun since it told last. */
export type UseLine = readonly [replica: string, key: string, running: number, begun: number];

interface Use {
  running: number;
  begun: number;
}

/** What one daemon told of its requests. */
interface Told {
  at: number;
  readonly loads: Map<string, Counts>;
  /** Requests in progress by replica and `model/adapter`. */
  readonly uses: Map<string, Map<string, number>>;
}

/** What the keeper of an engine told of all daemons' requests, and this daemon's own part of it. */
interface Total extends Counts {
  readonly at: number;
  readonly own: Counts;
}

/** Told when the number of this daemon's requests on an adapter changes. */
export type UseListener = (replica: string, key: string, running: number) => void;

/** The book of requests in progress. */
export class LoadBook {
  private readonly own = new Map<string, Counts>();

  private readonly ownUses = new Map<string, Map<string, Use>>();

  /** By peer, its requests on engines that this daemon keeps. */
  private readonly told = new Map<string, Told>();

  /** By peer, its requests on replicas that nobody keeps. */
  private readonly open = new Map<string, Told>();

  /** By engine, what its keeper told. */
  private readonly totals = new Map<string, Total>();

  private readonly listeners: UseListener[] = [];

  /**
   * Makes an empty book.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /**
   * Subscribes to this daemon's own uses.
   * @param listener - Told of each change.
   */
  onUse(listener: UseListener): void {
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
    const use = key === undefined ? undefined : this.use(replica, key);
    if (use !== undefined) {
      use.running += 1;
      use.begun += 1;
      this.tellUse(replica, key!, use.running);
    }
    let isWaiting = true;
    const answered = (): void => {
      if (isWaiting) counts.waiting -= 1;
      isWaiting = false;
    };
    const ended = (): void => {
      answered();
      counts.running -= 1;
      if (use === undefined) return;
      use.running -= 1;
      this.tellUse(replica, key!, use.running);
    };
    return { answered, ended };
  }

  /**
   * Takes what a peer told of its requests on engines that this daemon keeps.
   * @param peer - Its address.
   * @param loads - Its requests in progress.
   * @param uses - Its adapters in use.
   */
  take(peer: string, loads: readonly LoadLine[], uses: readonly UseLine[]): void {
    const told: Told = { at: this.timers.now(), loads: countsOf(loads), uses: new Map() };
    this.told.set(peer, told);
    for (const [replica, key, running] of uses) setUse(told, replica, key, running);
  }

  /**
   * Takes a change of a peer's uses of an engine that this daemon keeps.
   * @param peer - Its address.
   * @param line - Replica, adapter and the requests in progress now.
   */
  takeUse(peer: string, [replica, key, running]: UseLine): void {
    const told = this.freshTold(peer);
    const before = setUse(told, replica, key, running);
    const counts = told.loads.get(replica) ?? { running: 0, waiting: 0 };
    counts.running = Math.max(0, counts.running + running - before);
    told.loads.set(replica, counts);
  }

  /**
   * Takes what a peer told of its requests on replicas that nobody keeps.
   * @param peer - Its address.
   * @param loads - Its requests in progress.
   */
  takeOpen(peer: string, loads: readonly LoadLine[]): void {
    this.open.set(peer, { at: this.timers.now(), loads: countsOf(loads), uses: new Map() });
  }

  /**
   * Takes what the keeper of an engine told of all daemons' requests there.
   * @param line - The engine and the sums.
   */
  takeTotal([replica, running, waiting]: LoadLine): void {
    const own = this.own.get(replica);
    const ownCounts = { running: own?.running ?? 0, waiting: own?.waiting ?? 0 };
    this.totals.set(replica, { at: this.timers.now(), running, waiting, own: ownCounts });
  }

  /**
   * Forgets a replica that is gone.
   * @param replica - The replica.
   */
  forget(replica: string): void {
    this.totals.delete(replica);
  }

  /**
   * Counts the requests on a replica, over all daemons.
   * @param replica - The replica.
   * @returns Those in progress, and those of them that have no answer yet.
   */
  counts(replica: string): Counts {
    const total = this.totals.get(replica);
    if (total === undefined || total.at <= this.timers.now() - STALE_MS) return this.sum(replica);
    // What has changed here since is known, and not yet in the sum.
    const own = this.own.get(replica);
    return {
      running: Math.max(own?.running ?? 0, total.running + (own?.running ?? 0) - total.own.running),
      waiting: Math.max(own?.waiting ?? 0, total.waiting + (own?.waiting ?? 0) - total.own.waiting),
    };
  }

  /**
   * Sums what each daemon told itself, for the engines that this daemon keeps.
   * @param replica - The replica.
   * @returns Requests in progress, and those of them that have no answer yet.
   */
  sum(replica: string): Counts {
    const oldest = this.timers.now() - STALE_MS;
    const own = this.own.get(replica);
    const sum = { running: own?.running ?? 0, waiting: own?.waiting ?? 0 };
    for (const book of [this.told, this.open])
      for (const { at, loads } of book.values()) {
        const told = at > oldest ? loads.get(replica) : undefined;
        if (told === undefined) continue;
        sum.running += told.running;
        sum.waiting += told.waiting;
      }
    return sum;
  }

  /**
   * Counts the requests in progress on each adapter of a replica.
   * @param replica - The replica.
   * @returns By `model/adapter`, over all daemons.
   */
  runningByAdapter(replica: string): Map<string, number> {
    const sums = new Map<string, number>();
    const add = (key: string, running: number): void => {
      if (running > 0) sums.set(key, (sums.get(key) ?? 0) + running);
    };
    for (const [key, { running }] of this.ownUses.get(replica) ?? []) add(key, running);
    const oldest = this.timers.now() - STALE_MS;
    for (const { at, uses } of this.told.values())
      if (at > oldest) for (const [key, running] of uses.get(replica) ?? []) add(key, running);
    return sums;
  }

  /**
   * Makes what this daemon tells, and forgets what has ended.
   * @returns Lines for replicas and for adapters.
   */
  tell(): { loads: LoadLine[]; uses: UseLine[] } {
    const uses: UseLine[] = [];
    for (const [replica, byKey] of this.ownUses) {
      for (const [key, use] of byKey) {
        uses.push([replica, key, use.running, use.begun]);
        use.begun = 0;
        if (use.running === 0) byKey.delete(key);
      }
      if (byKey.size === 0) this.ownUses.delete(replica);
    }
    const loads: LoadLine[] = [];
    for (const [replica, { running, waiting }] of this.own) {
      if (running > 0) loads.push([replica, running, waiting]);
      else this.own.delete(replica);
    }
    return { loads, uses };
  }

  /** What a peer told; nothing when that is too old. */
  private freshTold(peer: string): Told {
    const now = this.timers.now();
    const known = this.told.get(peer);
    if (known !== undefined && known.at > now - STALE_MS) return known;
    const told: Told = { at: now, loads: new Map(), uses: new Map() };
    this.told.set(peer, told);
    return told;
  }

  private tellUse(replica: string, key: string, running: number): void {
    for (const listener of this.listeners) listener(replica, key, running);
  }

  private use(replica: string, key: string): Use {
    const byKey = this.ownUses.get(replica) ?? new Map<string, Use>();
    this.ownUses.set(replica, byKey);
    const use = byKey.get(key) ?? { running: 0, begun: 0 };
    byKey.set(key, use);
    return use;
  }
}

function countsOf(lines: readonly LoadLine[]): Map<string, Counts> {
  return new Map(lines.map(([replica, running, waiting]) => [replica, { running, waiting }]));
}

/** Notes a use; returns the requests that were known before. */
function setUse({ uses }: Told, replica: string, key: string, running: number): number {
  const byKey = uses.get(replica) ?? new Map<string, number>();
  uses.set(replica, byKey);
  const before = byKey.get(key) ?? 0;
  if (running > 0) byKey.set(key, running);
  else byKey.delete(key);
  return before;
}
