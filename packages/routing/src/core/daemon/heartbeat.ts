/** Heartbeats and the other messages between router daemons: what each part tells and takes. */
import type { DecisionLog } from '@celeryyoke/core';

import type { EnsureWanted, Holdings, HoldingsBook, Loader } from '../adapters/index.js';
import type { Claim, Claims } from '../authority/index.js';
import type { LoadBook, UseLine } from '../choice/index.js';
import type { Cluster, Member } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Delta, Directory, SharedView } from '../view/index.js';
import type { EngineState, HeartbeatFrame } from './heartbeat-codec.js';
import { decodeHeartbeat, encodeHeartbeat } from './heartbeat-codec.js';
import type { KeptLoads } from './load-telling.js';
import { LoadTelling } from './load-telling.js';

/** The parts that talk. */
export interface TalkingParts {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Cluster;
  readonly view: SharedView;
  readonly directory: Directory;
  readonly claims: Claims;
  readonly loader: Loader;
  readonly holdings: HoldingsBook;
  readonly loads: LoadBook;
  readonly log: DecisionLog;
}

/** What the parts of the daemons tell each other. */
export class Conversation {
  /** Revision up to which each peer's view is complete, by its last word. */
  private readonly peerUpTo = new Map<string, number>();

  private readonly loadTelling: LoadTelling;

  /**
   * Registers the handlers of all messages.
   * @param parts - The parts that talk.
   */
  constructor(private readonly parts: TalkingParts) {
    const { cluster, claims, holdings, loader, view } = parts;
    this.loadTelling = new LoadTelling(parts);
    cluster.handle(MessageType.Heartbeat, (from, frame: HeartbeatFrame) => this.takeHeartbeat(from, frame));
    cluster.handle(MessageType.Delta, (from, delta: Delta) => this.takeDelta(from, delta));
    cluster.handle(MessageType.DeltaWanted, (from, upTo: number) => {
      cluster.send(from.address, MessageType.Delta, view.since(upTo));
    });
    cluster.handle(MessageType.Claim, (_from, claim: Claim) => claims.take(claim));
    cluster.handle(MessageType.Holdings, (_from, told: Holdings) => holdings.take(told));
    cluster.handle(MessageType.Recent, (_from, [replica, keys]: [string, string[]]) =>
      holdings.takeRecent(replica, keys),
    );
    cluster.handle(MessageType.Use, (from, line: UseLine) => {
      parts.loads.takeUse(from.address, line);
      loader.use(line[0], line[1], line[3]);
      this.refreshKeeper(line[0]);
    });
    cluster.handle(MessageType.Start, (_from, [name, bornAt]: [string, number]) => {
      parts.directory.noteStart(name, bornAt);
    });
    parts.loads.onUse((replica, key, running) => this.tellUse(replica, key, running));
    cluster.handle(MessageType.Loads, (from, kept: KeptLoads) => this.loadTelling.take(from, kept));
    cluster.handle(MessageType.Ensure, (_from, wanted: EnsureWanted) => loader.ensureHere(wanted));
  }

  /**
   * Makes a heartbeat.
   * @returns Its body.
   */
  heartbeat(): HeartbeatFrame {
    const { view, loads, loader } = this.parts;
    const open = this.loadTelling.tell();
    loader.refreshRunning((replica) => loads.runningByAdapter(replica));
    const ageMs = Number.isFinite(view.ageMs) ? Math.round(view.ageMs) : -1;
    return encodeHeartbeat({ upTo: view.upTo, ageMs, open, engines: this.engines() });
  }

  /** The engines that this daemon gives orders to. */
  private engines(): EngineState[] {
    const { loads, claims, loader, holdings } = this.parts;
    const rooms = new Map(loader.rooms().map((line) => [line[0], line]));
    return claims.mine().map(({ replica, token }) => {
      const [, room, queued] = rooms.get(replica) ?? [replica, 0, 0];
      holdings.takeRoom([replica, room, queued]);
      return { replica, token, room, queued, ...loads.sum(replica) };
    });
  }

  /**
   * Tells a peer whose link came up what only changes are told of otherwise.
   * @param address - The peer.
   */
  welcome(address: string): void {
    const { cluster, claims, holdings, loader } = this.parts;
    for (const line of holdings.allRecent()) cluster.send(address, MessageType.Recent, line);
    for (const claim of claims.mine()) cluster.send(address, MessageType.Claim, claim);
    for (const told of loader.mine()) cluster.send(address, MessageType.Holdings, told);
  }

  /** Gives the peers what this daemon has read and they have not. */
  publish(): void {
    const { view, cluster } = this.parts;
    for (const address of cluster.alive()) {
      const known = this.peerUpTo.get(address);
      if (known === undefined || known >= view.upTo) continue;
      cluster.send(address, MessageType.Delta, view.since(known));
      this.peerUpTo.set(address, view.upTo);
    }
  }

  /** Tells the keeper of an engine of a change at once; the others hear of it with the next heartbeat. */
  private tellUse(replica: string, key: string, running: number): void {
    const { claims, cluster } = this.parts;
    const holder = claims.of(replica)?.holder;
    if (holder === undefined) return;
    if (holder === this.parts.self) this.refreshKeeper(replica);
    else cluster.send(holder, MessageType.Use, [replica, key, running, 0] satisfies UseLine);
  }

  private refreshKeeper(replica: string): void {
    const { loader, loads } = this.parts;
    loader.setRunning(replica, () => loads.runningByAdapter(replica));
  }

  private takeHeartbeat(from: Member, frame: HeartbeatFrame): void {
    const { view, loads, cluster } = this.parts;
    const { upTo, ageMs, open, engines } = decodeHeartbeat(frame);
    this.peerUpTo.set(from.address, upTo);
    loads.takeOpen(from.address, open);
    for (const engine of engines) this.takeEngine(from, engine);
    if (ageMs >= 0) view.confirm(upTo, ageMs);
    if (upTo > view.upTo) cluster.send(from.address, MessageType.DeltaWanted, view.upTo);
  }

  private takeEngine(
    { address }: Member,
    { replica, token, room, queued, running, waiting }: EngineState,
  ): void {
    const { claims, holdings, loads } = this.parts;
    claims.take({ replica, holder: address, token });
    holdings.takeRoom([replica, room, queued]);
    loads.takeTotal([replica, running, waiting]);
  }

  private takeDelta(from: Member, delta: Delta): void {
    const { view, cluster } = this.parts;
    if (!view.apply(delta)) cluster.send(from.address, MessageType.DeltaWanted, view.upTo);
    else view.confirm(delta.upTo, 0);
  }
}
