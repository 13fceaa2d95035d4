/** Requests in progress on each replica: this daemon's own at once, the others' as their heartbeats tell. */
import type { TimerService } from '@celeryyoke/core';

/** Age at which what a peer told no longer counts, in milliseconds: some heartbeats. */
const STALE_MS = 1500;

/** What a daemon tells of its requests on one replica: incarnation, requests in progress. */
export type LoadLine = readonly [replica: string, running: number];

/** What a daemon tells of one adapter: replica, `model/adapter`, requests in progress, requests begun since it told last. */
export type UseLine = readonly [replica: string, key: string, running: number, begun: number];

interface Use {
  running: number;
  begun: number;
}

interface Told {
  readonly at: number;
  readonly loads: ReadonlyMap<string, number>;
  readonly uses: readonly UseLine[];
}

/** The book of requests in progress. */
export class LoadBook {
  private readonly own = new Map<string, number>();

  private readonly ownUses = new Map<string, Map<string, Use>>();

  private readonly told = new Map<string, Told>();

  /**
   * Makes an empty book.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /**
   * Notes that a request begins.
   * @param replica - Where.
   * @param key - `model/adapter`, where it uses one.
   * @returns To be called once when it has ended.
   */
  begin(replica: string, key: string | undefined): () => void {
    this.own.set(replica, (this.own.get(replica) ?? 0) + 1);
    const use = key === undefined ? undefined : this.use(replica, key);
    if (use !== undefined) {
      use.running += 1;
      use.begun += 1;
    }
    return () => {
      const left = (this.own.get(replica) ?? 1) - 1;
      if (left > 0) this.own.set(replica, left);
      else this.own.delete(replica);
      if (use !== undefined) use.running -= 1;
    };
  }

  /**
   * Takes what a peer told.
   * @param peer - Its address.
   * @param loads - Its requests in progress.
   * @param uses - Its adapters in use.
   */
  take(peer: string, loads: readonly LoadLine[], uses: readonly UseLine[]): void {
    this.told.set(peer, { at: this.timers.now(), loads: new Map(loads), uses });
  }

  /**
   * Counts the requests in progress on a replica.
   * @param replica - The replica.
   * @returns Their number over all daemons.
   */
  running(replica: string): number {
    const oldest = this.timers.now() - STALE_MS;
    let sum = this.own.get(replica) ?? 0;
    for (const { at, loads } of this.told.values()) if (at > oldest) sum += loads.get(replica) ?? 0;
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
      if (at > oldest) for (const [id, key, running] of uses) if (id === replica) add(key, running);
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
    return { loads: [...this.own], uses };
  }

  private use(replica: string, key: string): Use {
    const byKey = this.ownUses.get(replica) ?? new Map<string, Use>();
    this.ownUses.set(replica, byKey);
    const use = byKey.get(key) ?? { running: 0, begun: 0 };
    byKey.set(key, use);
    return use;
  }
}
