/** Messages between router daemons: the topics of the shared state, and the requests to owners of engines. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { EnsureRequest, EngineResidency, ResidencyTable, AdapterLoader } from '../adapters/index.js';
import type { LeavingReplica, ReplicaAvailability } from '../availability/index.js';
import { DeclarationSource } from '../availability/index.js';
import type { EngineLease, EngineLeases } from '../ownership/index.js';
import type { InFlightFrame, InFlightReport, InFlightTable } from '../choice/index.js';
import { decodeInFlight } from '../choice/index.js';
import type { Cluster, MemberFrame, MemberRecord } from '../cluster/index.js';
import { decodeMember, encodeMember, MessageType } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic, VersionedTable } from '../dissemination/index.js';
import type { ReplicaRegistry, ReplicaStart } from '../view/index.js';
import type { EngineLoadRow, ResidencyRow } from './engine-rows.js';
import { decodeEngineLoad, decodeResidency, encodeEngineLoad, encodeResidency } from './engine-rows.js';
import type { InFlightReporter } from './in-flight-reporter.js';

/** Interval at which an owner checks whether the load of its engines has changed, in milliseconds. */
const LOAD_CHECK_MS = 200;
/**
 * Maximum time between two load rows of an engine, in milliseconds, so that an old row shows that its owner
 * is gone.
 */
const MAX_LOAD_AGE_MS = 800;

/** Parts of the daemon that the protocol connects with its peers. */
export interface PeerProtocolOptions {
  readonly cluster: Cluster;
  readonly tree: DisseminationTree;
  readonly registry: ReplicaRegistry;
  readonly availability: ReplicaAvailability;
  readonly leases: EngineLeases;
  readonly loader: AdapterLoader;
  readonly residency: ResidencyTable;
  readonly inFlight: InFlightTable;
  readonly reporter: InFlightReporter;
  readonly timers: TimerService;
}

interface PublishedLoad {
  readonly row: EngineLoadRow;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Declarations that only this daemon may have read; entries reach all daemons, and peers tell each other. */
const OWN_SOURCES: ReadonlySet<DeclarationSource> = new Set([
  DeclarationSource.Report,
  DeclarationSource.Response,
]);

/** Publishes what this daemon owns, and merges what its peers publish and report. */
export class PeerProtocol {
  private readonly loadRows: VersionedTable<EngineLoadRow>;

  private readonly residencyRows: VersionedTable<ResidencyRow>;

  /** Last load row that this daemon published, by engine. */
  private readonly lastPublished = new Map<string, PublishedLoad>();

  private sequence = 0;

  private readonly loadTimer: TimerHandle;

  /** Registers the topics and the message handlers. */
  constructor(private readonly options: PeerProtocolOptions) {
    const { cluster, registry, availability, loader, tree, timers } = options;
    const isListed = (replica: string): boolean => registry.replica(replica) !== undefined;
    this.loadRows = new VersionedTable(isListed);
    this.residencyRows = new VersionedTable(isListed);
    tree.register(Topic.Member, this.memberTopic());
    tree.register(Topic.EngineLease, this.leaseTopic());
    tree.register(Topic.EngineLoad, this.loadTopic());
    tree.register(Topic.Residency, this.residencyTopic());
    tree.register(Topic.ReplicaStart, this.startTopic());
    tree.register(Topic.ReplicaLeaving, this.leavingTopic());
    availability.onLeaving((leaving, source) => {
      if (OWN_SOURCES.has(source)) tree.publish(Topic.ReplicaLeaving, leaving);
    });
    cluster.handle(MessageType.EnsureAdapter, (_from, wanted: EnsureRequest) => loader.ensureLocally(wanted));
    cluster.handle(MessageType.InFlightReport, ({ address }, frame: InFlightFrame) =>
      this.mergeReport(address, decodeInFlight(frame)),
    );
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.loadRows.forget(id);
      this.residencyRows.forget(id);
      this.lastPublished.delete(id);
    });
    this.loadTimer = timers.repeat(LOAD_CHECK_MS, () => this.publishLoads());
  }

  /** Cancels the timer. */
  stop(): void {
    this.loadTimer.cancel();
  }

  /**
   * Merges a peer's report of its requests on engines that this daemon owns.
   * @param peer - Address of the peer.
   */
  mergeReport(peer: string, report: InFlightReport): void {
    const { inFlight, loader } = this.options;
    inFlight.mergeReport(peer, report);
    for (const { replica, key, begun } of report.adapters)
      if (begun > 0) loader.recordUses(replica, key, begun);
    for (const { replica } of report.replicas)
      loader.setRunning(replica, () => inFlight.runningByAdapter(replica));
  }

  /** Publishes the resident models and adapters of an engine that this daemon owns. */
  publishResidency(residency: EngineResidency): void {
    const row: ResidencyRow = { ...residency, sequence: this.nextSequence() };
    this.residencyRows.merge(row);
    this.options.tree.publish(Topic.Residency, row);
  }

  private publishLoads(): void {
    const { leases, loader, inFlight, timers } = this.options;
    loader.refreshRunning((replica) => inFlight.runningByAdapter(replica));
    const slots = new Map(
      loader.slotAvailability().map((availability) => [availability.replica, availability]),
    );
    const now = timers.now();
    for (const { replica, token } of leases.ownLeases()) {
      const { freeSlots, queued } = slots.get(replica) ?? { freeSlots: 0, queued: 0 };
      const row = { replica, token, sequence: 0, freeSlots, queued, ...inFlight.sumOfReports(replica) };
      const last = this.lastPublished.get(replica);
      if (last !== undefined && now - last.at < MAX_LOAD_AGE_MS && isSameLoad(last.row, row)) continue;
      this.publishLoad({ ...row, sequence: this.nextSequence() }, now);
    }
  }

  private publishLoad(row: EngineLoadRow, at: number): void {
    this.lastPublished.set(row.replica, { row, at });
    this.loadRows.merge(row);
    this.applyLoad(row);
    this.options.tree.publish(Topic.EngineLoad, row);
  }

  private applyLoad(row: EngineLoadRow): void {
    const { residency, inFlight } = this.options;
    residency.updateAvailability(row);
    inFlight.setPublishedTotal(row);
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  private memberTopic(): TopicHandler<MemberRecord> {
    const { cluster } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ address }) => address,
      merge: (record) => cluster.merge(record),
      snapshot: () => cluster.memberRecords(),
      encode: encodeMember,
      decode: (frame) => decodeMember(frame as MemberFrame),
    };
  }

  private leaseTopic(): TopicHandler<EngineLease> {
    const { leases, reporter } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ replica }) => replica,
      merge: (lease) => {
        const isNew = leases.merge(lease);
        if (isNew) reporter.reportToOwner(lease.replica);
        return isNew;
      },
      snapshot: () => leases.allLeases(),
      encode: ({ replica, holder, token }) => [replica, holder, token],
      decode: (frame) => {
        const [replica, holder, token] = frame as [string, string, number];
        return { replica, holder, token };
      },
    };
  }

  private loadTopic(): TopicHandler<EngineLoadRow> {
    return {
      isUrgent: false,
      keyOf: ({ replica }) => replica,
      merge: (row) => {
        const isNew = this.loadRows.merge(row);
        if (isNew) this.applyLoad(row);
        return isNew;
      },
      snapshot: () => this.loadRows.snapshot(),
      encode: encodeEngineLoad,
      decode: decodeEngineLoad,
    };
  }

  private residencyTopic(): TopicHandler<ResidencyRow> {
    return {
      isUrgent: false,
      keyOf: ({ replica }) => replica,
      merge: (row) => {
        const isNew = this.residencyRows.merge(row);
        if (isNew) this.options.residency.updateResidency(row);
        return isNew;
      },
      snapshot: () => this.residencyRows.snapshot(),
      encode: encodeResidency,
      decode: decodeResidency,
    };
  }

  private leavingTopic(): TopicHandler<LeavingReplica> {
    const { availability, registry, timers } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ replica }) => replica,
      merge: ({ replica, since }) => availability.recordLeaving(replica, DeclarationSource.Peer, since),
      snapshot: () =>
        availability.leavingReplicas().filter(({ replica }) => registry.replica(replica) !== undefined),
      // Daemons have different clocks, so the age is sent.
      encode: ({ replica, since }) => [replica, Math.round(timers.now() - since)],
      decode: (frame) => {
        const [replica, ageMs] = frame as [string, number];
        return { replica, since: timers.now() - ageMs };
      },
    };
  }

  private startTopic(): TopicHandler<ReplicaStart> {
    const { registry } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ name }) => name,
      merge: (start) => registry.recordStart(start),
      snapshot: () => [],
      encode: ({ name, bornAt }) => [name, bornAt],
      decode: (frame) => {
        const [name, bornAt] = frame as [string, number];
        return { name, bornAt };
      },
    };
  }
}

function isSameLoad(left: EngineLoadRow, right: EngineLoadRow): boolean {
  return (
    left.token === right.token &&
    left.freeSlots === right.freeSlots &&
    left.queued === right.queued &&
    left.running === right.running &&
    left.waiting === right.waiting
  );
}
