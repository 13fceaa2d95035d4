/**
 * Keeps the whole fleet within the slots of replicas that fall over when they have to reject many requests.
 *
 * While a replica declares how many rejections it bears, each request needs one of its slots. For each replica one
 * daemon, found by rendezvous hashing, grants them. A daemon that can't reach it uses its own share of the slots.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MemberState, MessageType } from '../cluster/index.js';
import type { DisseminationTree } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import { rendezvousOwner } from '../ownership/index.js';
import type { FleetShare } from '../shares/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { SharedLimits } from './shared-limits.js';
import type { SlotGrantFrame, SlotReleaseFrame, SlotRequestFrame } from './slot-codec.js';
import {
  decodeSlotGrant,
  decodeSlotRelease,
  decodeSlotRequest,
  encodeSlotGrant,
  encodeSlotRelease,
  encodeSlotRequest,
} from './slot-codec.js';
import { SlotCoordinator } from './slot-coordinator.js';
import type { SlotGrant, SlotRelease, SlotRequest } from './types.js';

/** Timeout of a request for slots. */
const GRANT_TIMEOUT_MS = 40;
/** Time after which a daemon that has used its own share of the slots looks again, in milliseconds. */
const OWN_SHARE_RETRY_MS = 20;

/** A request's right to be sent to a replica. */
export interface SlotPermit {
  /** Ends it; to be called once. */
  release(wasRejected: boolean): void;
}

/** Permit of a request that needs no slot. */
export const WITHOUT_SLOT: SlotPermit = { release: () => undefined };

/** This daemon's slots of one replica, and its requests that wait for one. */
interface OwnSlots {
  held: number;
  /** Monotonic time before which none is asked for, in milliseconds. */
  blockedUntil: number;
  waiting: ((isGranted: boolean) => void)[];
  isAsking: boolean;
}

/** Parts of the daemon that the permits use. */
export interface SlotPermitsOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'request' | 'send' | 'handle' | 'onMemberChange'>;
  readonly share: Pick<FleetShare, 'partitionShare' | 'isolatedShare'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica' | 'readyReplicas'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Slots of all replicas that declare a limit of rejections. */
export class SlotPermits {
  private readonly limits: SharedLimits;

  private readonly coordinator: SlotCoordinator;

  private readonly own = new Map<string, OwnSlots>();

  constructor(private readonly options: SlotPermitsOptions) {
    const { cluster, share, timers } = options;
    this.coordinator = new SlotCoordinator(timers, () => share.partitionShare());
    this.limits = new SharedLimits({
      ...options,
      topic: Topic.RejectionLimit,
      unit: 'rejections',
      onEnded: (replica) => this.forget(replica),
    });
    cluster.handle(MessageType.SlotRequest, ({ address }, frame: SlotRequestFrame) =>
      encodeSlotGrant(this.coordinator.grant(address, decodeSlotRequest(frame))),
    );
    cluster.handle(MessageType.SlotRelease, ({ address }, frame: SlotReleaseFrame) =>
      this.coordinator.release(address, decodeSlotRelease(frame)),
    );
    cluster.onMemberChange(({ address, state, incarnation }, before) => {
      const isNewProcess = before !== undefined && before.incarnation !== incarnation;
      if (state === MemberState.Ended || isNewProcess) this.coordinator.removeHolder(address);
    });
  }

  /** Updates the limit of a replica from a response, and publishes a change. */
  updateFromResponse(replica: string, rejectionsPerSecond: number | undefined, sentAt: number): void {
    this.limits.updateFromResponse(replica, rejectionsPerSecond, sentAt);
  }

  /** Returns whether this daemon may ask for a slot now; false for a while after it got none. */
  mayReceive(replica: string): boolean {
    return (this.own.get(replica)?.blockedUntil ?? 0) <= this.options.timers.now();
  }

  /**
   * Acquires a slot for one request, where the replica declares a limit.
   * @returns Undefined if none is free; {@link mayReceive} is false for a while then.
   */
  async acquire(replica: ReplicaEntry): Promise<SlotPermit | undefined> {
    if (this.rejectionsPerSecond(replica) === undefined) return WITHOUT_SLOT;
    if (!this.mayReceive(replica.id)) return undefined;
    const isGranted = await new Promise<boolean>((resolve) => {
      this.ownOf(replica.id).waiting.push(resolve);
      void this.ask(replica);
    });
    return isGranted ? this.permitFor(replica) : undefined;
  }

  /**
   * Returns the limit of a replica; one that has not responded yet is taken for as brittle as the others of its
   * service.
   */
  private rejectionsPerSecond({ id, service }: ReplicaEntry): number | undefined {
    const known = this.limits.get(id);
    if (known !== undefined) return known.ratePerSecond;
    const others = this.options.registry.readyReplicas(service);
    const rates = others.flatMap((other) => this.limits.rate(other.id) ?? []);
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  /** Asks for slots for all that wait; one request at a time, so that its count of slots is exact. */
  private async ask(replica: ReplicaEntry): Promise<void> {
    const own = this.ownOf(replica.id);
    if (own.isAsking) return;
    own.isAsking = true;
    while (own.waiting.length > 0) {
      const { waiting } = own;
      own.waiting = [];
      const { id, slots } = replica;
      const { granted, waitMs } = await this.requestSlots({
        replica: id,
        slots,
        held: own.held,
        wanted: waiting.length,
      });
      own.held += granted;
      if (granted < waiting.length) own.blockedUntil = this.options.timers.now() + waitMs;
      for (const [index, resolve] of waiting.entries()) resolve(index < granted);
    }
    own.isAsking = false;
  }

  private async requestSlots(request: SlotRequest): Promise<SlotGrant> {
    const { self, cluster, log } = this.options;
    const coordinator = this.coordinatorOf(request.replica);
    if (coordinator === self) return this.coordinator.grant(self, request);
    try {
      const frame = encodeSlotRequest(request);
      const response = await cluster.request(coordinator, MessageType.SlotRequest, frame, GRANT_TIMEOUT_MS);
      return decodeSlotGrant(response as SlotGrantFrame);
    } catch (err) {
      log.debug(`No slots of ${request.replica} from ${coordinator}: ${String(err)}.`);
      return this.grantFromOwnShare(request);
    }
  }

  private grantFromOwnShare({ slots, held, wanted }: SlotRequest): SlotGrant {
    const allowed = Math.max(1, Math.floor(slots * this.options.share.isolatedShare()));
    const granted = Math.max(0, Math.min(wanted, allowed - held));
    return { granted, waitMs: OWN_SHARE_RETRY_MS };
  }

  private permitFor(replica: ReplicaEntry): SlotPermit {
    return {
      release: (wasRejected) => {
        const own = this.own.get(replica.id);
        const rejectionsPerSecond = this.rejectionsPerSecond(replica);
        // What was held ends with the limit.
        if (own === undefined || rejectionsPerSecond === undefined) return;
        own.held -= 1;
        this.reportEnd({ replica: replica.id, rejectionsPerSecond, wasRejected });
      },
    };
  }

  private reportEnd(release: SlotRelease): void {
    const { self, cluster } = this.options;
    const coordinator = this.coordinatorOf(release.replica);
    if (coordinator === self) this.coordinator.release(self, release);
    else cluster.send(coordinator, MessageType.SlotRelease, encodeSlotRelease(release));
  }

  private coordinatorOf(replica: string): string {
    const { self, cluster } = this.options;
    return rendezvousOwner(replica, cluster.aliveAddresses()) ?? self;
  }

  private forget(replica: string): void {
    this.own.delete(replica);
    this.coordinator.forget(replica);
  }

  private ownOf(replica: string): OwnSlots {
    const known = this.own.get(replica);
    if (known !== undefined) return known;
    const created: OwnSlots = { held: 0, blockedUntil: 0, waiting: [], isAsking: false };
    this.own.set(replica, created);
    return created;
  }
}
