/**
 * Keeps the fleet within the rates that replicas in need state.
 *
 * Whoever hears of a limit publishes it. One daemon for each replica, found by rendezvous hashing, spaces the requests of
 * all to it; the others ask that daemon before each send. One that can't reach it sends its own part of the rate, and the
 * sides of a partition their parts.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import { rendezvousOwner } from '../ownership/index.js';
import type { FleetShare } from '../shares/index.js';
import type { ReplicaRegistry } from '../view/index.js';
import type { LimitFrame, PermitFrame } from './limit-codec.js';
import { decodeLimit, decodePermit, encodeLimit, encodePermit } from './limit-codec.js';
import { LimitTable } from './limit-table.js';
import { SendPacer } from './send-pacer.js';
import type { ReplicaLimitRow, SendPermit } from './types.js';

/** Longest wait for the answer of the daemon that spaces the requests, in milliseconds. */
const ANSWER_MS = 40;
/** Least rate of all daemons together, in requests a second: without any request nobody hears that a limit is over. */
const LEAST_RATE = 0.2;
/** Least part of a rate that one daemon spaces its requests by. */
const LEAST_PART = 0.001;
const GRANTED: SendPermit = { isGranted: true, waitMs: 0 };

/** What the limits use of the daemon. */
export interface ReplicaLimitsOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'alive' | 'request' | 'handle'>;
  readonly share: Pick<FleetShare, 'side' | 'one'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** The limits of all replicas. */
export class ReplicaLimits {
  private readonly table: LimitTable;

  /** Requests of all daemons to the replicas that fall to this one. */
  private readonly pacers = new Map<string, SendPacer>();

  /** This daemon's own part of the rates, for when the daemon that spaces the requests can't be reached. */
  private readonly ownParts = new Map<string, SendPacer>();

  /** Monotonic times before which replicas take no further request of this daemon, in milliseconds. */
  private readonly blockedUntil = new Map<string, number>();

  /**
   * Registers the message and the topic.
   * @param options - The daemon's parts.
   */
  constructor(private readonly options: ReplicaLimitsOptions) {
    const { cluster, tree, registry, timers } = options;
    this.table = new LimitTable(timers);
    cluster.handle(MessageType.AttemptPermit, (_from, frame: LimitFrame) =>
      this.handleRequest(decodeLimit(frame)),
    );
    tree.register(Topic.ReplicaLimit, this.topic());
    registry.onReplica((id, entry) => {
      if (entry === undefined) this.forget(id);
    });
  }

  /**
   * Learns from an answer of a replica.
   * @param replica - One start of it.
   * @param ratePerSecond - The limit that the answer names; undefined when it names none.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   */
  noteAnswer(replica: string, ratePerSecond: number | undefined, sentAt: number): void {
    const row = this.table.noteAnswer(replica, ratePerSecond, sentAt);
    if (row === undefined) return;
    this.tell(row);
    this.options.tree.publish(Topic.ReplicaLimit, row);
  }

  /**
   * Tells whether a replica may get a request of this daemon, as far as is known without asking.
   * @param replica - One start of it.
   * @returns False for a while after a refusal.
   */
  mayTake(replica: string): boolean {
    if (this.table.rate(replica) === undefined) return true;
    return (this.blockedUntil.get(replica) ?? 0) <= this.options.timers.now();
  }

  /**
   * Asks for leave to send one request.
   * @param replica - One start of a replica.
   * @returns Whether it may be sent; if not, the replica takes none for a while.
   */
  async admit(replica: string): Promise<boolean> {
    const row = this.table.get(replica);
    if (row?.ratePerSecond === undefined) return true;
    if (!this.mayTake(replica)) return false;
    const { isGranted, waitMs } = await this.permit(row);
    if (!isGranted) this.blockedUntil.set(replica, this.options.timers.now() + waitMs);
    return isGranted;
  }

  private permit(row: ReplicaLimitRow): SendPermit | Promise<SendPermit> {
    const { self, cluster } = this.options;
    const keeper = rendezvousOwner(row.replica, cluster.alive());
    return keeper === undefined || keeper === self ? this.pace(row) : this.ask(keeper, row);
  }

  private async ask(keeper: string, row: ReplicaLimitRow): Promise<SendPermit> {
    const { cluster, log } = this.options;
    try {
      const answer = await cluster.request(keeper, MessageType.AttemptPermit, encodeLimit(row), ANSWER_MS);
      this.ownParts.delete(row.replica);
      return decodePermit(answer as PermitFrame);
    } catch (err) {
      log.debug(`${keeper} does not say whether ${row.replica} takes a request: ${String(err)}.`);
      return this.paceOwnPart(row);
    }
  }

  /** Answers a daemon that may have heard of the limit before this one. */
  private handleRequest(row: ReplicaLimitRow): PermitFrame {
    this.takeRow(row);
    return encodePermit(this.pace(this.table.get(row.replica)!));
  }

  /** Spaces the requests of all daemons that reach this one. */
  private pace({ replica, ratePerSecond }: ReplicaLimitRow): SendPermit {
    if (ratePerSecond === undefined) return GRANTED;
    const part = this.options.share.side();
    return this.take(this.pacers, replica, Math.max(LEAST_RATE, ratePerSecond * part));
  }

  private paceOwnPart({ replica, ratePerSecond }: ReplicaLimitRow): SendPermit {
    const part = Math.max(LEAST_PART, this.options.share.one());
    return this.take(this.ownParts, replica, Math.max(LEAST_RATE, ratePerSecond!) * part);
  }

  private take(pacers: Map<string, SendPacer>, replica: string, ratePerSecond: number): SendPermit {
    const now = this.options.timers.now();
    const pacer = pacers.get(replica) ?? new SendPacer(ratePerSecond, now);
    pacers.set(replica, pacer);
    return pacer.take(ratePerSecond, now);
  }

  private takeRow(row: ReplicaLimitRow): boolean {
    const isNews = this.table.merge(row);
    if (isNews) this.tell(row);
    return isNews;
  }

  private tell({ replica, ratePerSecond, version }: ReplicaLimitRow): void {
    if (ratePerSecond === undefined) this.forgetPace(replica);
    const text =
      ratePerSecond === undefined
        ? `Replica ${replica} states no limit any more.`
        : `Replica ${replica} takes ${ratePerSecond} requests a second.`;
    this.options.log.decide('replica.limit', text, { replica, ratePerSecond, version });
  }

  private forgetPace(replica: string): void {
    this.pacers.delete(replica);
    this.ownParts.delete(replica);
    this.blockedUntil.delete(replica);
  }

  private forget(replica: string): void {
    this.table.forget(replica);
    this.forgetPace(replica);
  }

  private topic(): TopicHandler<ReplicaLimitRow> {
    const { registry } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ replica }) => replica,
      merge: (row) => this.takeRow(row),
      snapshot: () => this.table.rows().filter(({ replica }) => registry.replica(replica) !== undefined),
      encode: encodeLimit,
      decode: (wire) => decodeLimit(wire as LimitFrame),
    };
  }
}
