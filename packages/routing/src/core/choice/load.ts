/** Requests in progress on each replica: this daemon's own at once, the others' as their heartbeats tell. */
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

interface Counts {
  running: number;
  waiting: number;
}

/** What a daemon tells of one adapter: replica, `model/adapter`, requests in progress, requests begun since it told last. */
export type UseLine = readonly [replica: string, key: string, running: number, begun: number];

interface Use {
  running: number;
  begun: number;
}

interface Told {
  at: number;
  loads: ReadonlyMap<string, Counts>;
  /** Requests in progress by replica and `model/adapter`. */
  readonly uses: Map<string, Map<string, number>>;
}

/** Told when the number of this daemon's requests on an adapter changes. */
export type UseListener = (replica: string, key: string, running: number) => void;

/** The book of requests in progress. */
export class LoadBook {
  private readonly own = new Map<string, Counts>();

  private readonly ownUses = new Map<string, Map<string, Use>>();

  private readonly told = new Map<string, Told>();

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
   * Takes what a peer told.
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
   * Takes a change of a peer's uses.
   * @param peer - Its address.
   * @param line - Replica, adapter and the requests in progress now.
   */
  takeUse(peer: string, [replica, key, running]: UseLine): void {
    const told = this.told.get(peer);
    if (told !== undefined) setUse(told, replica, key, running);
  }

  /**
   * Counts the requests on a replica, over all daemons.
   * @param replica - The replica.
   * @returns Those in progress, and those of them that have no answer yet.
   */
  counts(replica: string): { running: number; waiting: number } {
    const oldest = this.timers.now() - STALE_MS;
    const own = this.own.get(replica);
    const sum = { running: own?.running ?? 0, waiting: own?.waiting ?? 0 };
    for (const { at, loads } of this.told.values()) {
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

function setUse({ uses }: Told, replica: string, key: string, running: number): void {
  const byKey = uses.get(replica) ?? new Map<string, number>();
  uses.set(replica, byKey);
  if (running > 0) byKey.set(key, running);
  else byKey.delete(key);
}
