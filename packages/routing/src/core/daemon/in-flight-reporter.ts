/** Tells each daemon that keeps engines of this daemon's requests there. */
import type { Loader } from '../adapters/index.js';
import type { Claims } from '../authority/index.js';
import type { LoadBook, LoadLine, UseLine } from '../choice/index.js';
import type { Cluster, Member } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';

/** What a daemon tells the keeper of some engines of its requests there. */
export interface KeptLoads {
  readonly loads: LoadLine[];
  readonly uses: UseLine[];
}

/** What the telling uses of the daemon. */
export interface LoadTellingParts {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Cluster;
  readonly claims: Claims;
  readonly loader: Loader;
  readonly loads: LoadBook;
}

/** What this daemon tells the keepers of engines, and hears as one. */
export class LoadTelling {
  /** Daemons that were last told of requests on their engines. */
  private toldKeepers: readonly string[] = [];

  /**
   * Makes one that has told nothing.
   * @param parts - The daemon's parts.
   */
  constructor(private readonly parts: LoadTellingParts) {}

  /**
   * Tells each keeper of this daemon's requests on its engines.
   * @returns The requests on replicas that nobody keeps, for all.
   */
  tell(): LoadLine[] {
    const { cluster, loads } = this.parts;
    const told = loads.tell();
    const byKeeper = new Map<string, KeptLoads>();
    // One that was told of requests hears also that there are none any more.
    for (const keeper of this.toldKeepers) byKeeper.set(keeper, { loads: [], uses: [] });
    const open = this.sortLoads(told.loads, byKeeper);
    this.sortUses(told.uses, byKeeper);
    for (const [keeper, kept] of byKeeper) cluster.send(keeper, MessageType.Loads, kept);
    this.toldKeepers = [...byKeeper].filter(([, kept]) => kept.loads.length > 0).map(([keeper]) => keeper);
    return open;
  }

  /**
   * Takes what a peer tells of its requests on this daemon's engines.
   * @param from - The peer.
   * @param kept - Its requests.
   */
  take(from: Member, { loads, uses }: KeptLoads): void {
    this.parts.loads.take(from.address, loads, uses);
    for (const [replica, key, , begun] of uses) this.parts.loader.use(replica, key, begun);
  }

  private sortLoads(lines: readonly LoadLine[], byKeeper: Map<string, KeptLoads>): LoadLine[] {
    const { claims, self } = this.parts;
    const open: LoadLine[] = [];
    for (const line of lines) {
      const keeper = claims.of(line[0])?.holder;
      if (keeper === undefined) open.push(line);
      else if (keeper !== self) keptBy(keeper, byKeeper).loads.push(line);
    }
    return open;
  }

  private sortUses(lines: readonly UseLine[], byKeeper: Map<string, KeptLoads>): void {
    const { claims, loader, self } = this.parts;
    for (const line of lines) {
      const [replica, key, , begun] = line;
      const keeper = claims.of(replica)?.holder;
      if (keeper === self) loader.use(replica, key, begun);
      else if (keeper !== undefined) keptBy(keeper, byKeeper).uses.push(line);
    }
  }
}

function keptBy(keeper: string, byKeeper: Map<string, KeptLoads>): KeptLoads {
  const kept = byKeeper.get(keeper) ?? { loads: [], uses: [] };
  byKeeper.set(keeper, kept);
  return kept;
}
