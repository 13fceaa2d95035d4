/**
 * Keeps the whole fleet within the rate limits that overloaded replicas declare in their responses.
 *
 * A daemon that sees a new limit publishes it. For each replica one daemon, found by rendezvous hashing, is
 * the coordinator: it spaces the requests of all daemons, which ask it for a permit before each request. A
 * daemon that can't reach the coordinator uses its own share of the rate, and the sides of a partition use
 * theirs.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { DisseminationTree } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import { rendezvousOwner } from '../ownership/index.js';
import type { FleetShare } from '../shares/index.js';
import type { ReplicaRegistry } from '../view/index.js';
import type { LimitFrame, PermitFrame } from './limit-codec.js';
import { decodeLimit, decodePermit, encodeLimit, encodePermit } from './limit-codec.js';
import { AttemptPacer } from './attempt-pacer.js';
import { SharedLimits } from './shared-limits.js';
import type { ReplicaLimitRow, AttemptPermit } from './types.js';

/** Timeout of a permit request. */
const PERMIT_TIMEOUT_MS = 40;
/**
 * Lowest rate of all daemons together, in requests per second: without requests nobody would see that a limit
 * ended.
 */
const MIN_FLEET_RATE = 0.2;
/** Smallest share of a rate by which one daemon spaces its requests. */
const MIN_SHARE = 0.001;
const GRANTED: AttemptPermit = { isGranted: true, waitMs: 0 };

/** Parts of the daemon that the limits use. */
export interface ReplicaLimitsOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'request' | 'handle'>;
  readonly share: Pick<FleetShare, 'partitionShare' | 'isolatedShare'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Tracks the rate limits of all replicas, and decides whether this daemon may send a request. */
export class ReplicaLimits {
  private readonly declared: SharedLimits;

  /** Pacers for the requests of all daemons, by replica, where this daemon is the coordinator. */
  private readonly fleetPacers = new Map<string, AttemptPacer>();

  /** Pacers at this daemon's own share of the rate, by replica, for when the coordinator can't be reached. */
  private readonly ownSharePacers = new Map<string, AttemptPacer>();

  /**
   * Monotonic times before which this daemon sends no request to a replica after a refusal, in milliseconds.
   */
  private readonly blockedUntil = new Map<string, number>();

  /**
   * Registers the handler of permit requests and the topic, and drops the state of replicas that are removed.
   */
  constructor(private readonly options: ReplicaLimitsOptions) {
    const { cluster } = options;
    this.declared = new SharedLimits({
      ...options,
      topic: Topic.ReplicaLimit,
      unit: 'requests',
      onEnded: (replica) => this.resetPacing(replica),
    });
    cluster.handle(MessageType.AttemptPermit, (_from, frame: LimitFrame) =>
      this.handleRequest(decodeLimit(frame)),
    );
  }

  /**
   * Updates the limit of a replica from a response, and publishes a change.
   * @param ratePerSecond - The limit in the response; undefined when it declares none.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   */
  updateFromResponse(replica: string, ratePerSecond: number | undefined, sentAt: number): void {
    this.declared.updateFromResponse(replica, ratePerSecond, sentAt);
  }

  /**
   * Returns whether this daemon may send a replica a request; false for a while after a permit was refused.
   */
  mayReceive(replica: string): boolean {
    if (this.declared.rate(replica) === undefined) return true;
    return (this.blockedUntil.get(replica) ?? 0) <= this.options.timers.now();
  }

  /**
   * Requests a permit for one request, where the replica declares a limit.
   * @returns Whether the request may be sent; if not, {@link mayReceive} is false for a while.
   */
  async admit(replica: string): Promise<boolean> {
    const row = this.declared.get(replica);
    if (row?.ratePerSecond === undefined) return true;
    if (!this.mayReceive(replica)) return false;
    const { isGranted, waitMs } = await this.permitFor(row);
    if (!isGranted) this.blockedUntil.set(replica, this.options.timers.now() + waitMs);
    return isGranted;
  }

  private permitFor(row: ReplicaLimitRow): AttemptPermit | Promise<AttemptPermit> {
    const { self, cluster } = this.options;
    const coordinator = rendezvousOwner(row.replica, cluster.aliveAddresses());
    return coordinator === undefined || coordinator === self
      ? this.permitFromFleetRate(row)
      : this.requestPermit(coordinator, row);
  }

  private async requestPermit(coordinator: string, row: ReplicaLimitRow): Promise<AttemptPermit> {
    const { cluster, log } = this.options;
    try {
      const response = await cluster.request(
        coordinator,
        MessageType.AttemptPermit,
        encodeLimit(row),
        PERMIT_TIMEOUT_MS,
      );
      this.ownSharePacers.delete(row.replica);
      return decodePermit(response as PermitFrame);
    } catch (err) {
      log.debug(`No permit decision from ${coordinator} for ${row.replica}: ${String(err)}.`);
      return this.permitFromOwnShare(row);
    }
  }

  /** Handles a permit request of a daemon, which may know a newer limit than this one. */
  private handleRequest(row: ReplicaLimitRow): PermitFrame {
    this.declared.merge(row);
    return encodePermit(this.permitFromFleetRate(this.declared.get(row.replica)!));
  }

  /** Spaces the requests of all daemons that can reach this one. */
  private permitFromFleetRate({ replica, ratePerSecond }: ReplicaLimitRow): AttemptPermit {
    if (ratePerSecond === undefined) return GRANTED;
    const share = this.options.share.partitionShare();
    return this.takeFrom(this.fleetPacers, replica, Math.max(MIN_FLEET_RATE, ratePerSecond * share));
  }

  private permitFromOwnShare({ replica, ratePerSecond }: ReplicaLimitRow): AttemptPermit {
    const share = Math.max(MIN_SHARE, this.options.share.isolatedShare());
    return this.takeFrom(this.ownSharePacers, replica, Math.max(MIN_FLEET_RATE, ratePerSecond!) * share);
  }

  private takeFrom(pacers: Map<string, AttemptPacer>, replica: string, ratePerSecond: number): AttemptPermit {
    const now = this.options.timers.now();
    const pacer = pacers.get(replica) ?? new AttemptPacer(ratePerSecond, now);
    pacers.set(replica, pacer);
    return pacer.tryAcquire(ratePerSecond, now);
  }

  private resetPacing(replica: string): void {
    this.fleetPacers.delete(replica);
    this.ownSharePacers.delete(replica);
    this.blockedUntil.delete(replica);
  }
}
