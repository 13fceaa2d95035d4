/**
 * Defines the parts of a router daemon as services of its kernel.
 *
 * {@link RouterServices.list} lists the parts and their dependencies; the methods below it create the parts
 * that need more than a constructor call.
 */
import type { Server } from 'node:http';

import type { ListenerState, Metrics, Service, ServiceFinder, TimerHandle } from '@celeryyoke/core';
import { createMetrics, probeListener } from '@celeryyoke/core';

import type { EngineControl } from '../adapters/index.js';
import { ResidencyTable, AdapterLoader } from '../adapters/index.js';
import { AccountMetrics, AccountQuotas } from '../accounts/index.js';
import type { ReplicaAvailability } from '../availability/index.js';
import { IncarnationProofs, StreamOrigins, VersionHistory } from '../origins/index.js';
import { EngineLeases, FleetSettling, PauseDetector } from '../ownership/index.js';
import { LateArrivals, RetryBudgets } from '../budget/index.js';
import { BufferBudget } from '../buffers/index.js';
import { ChannelPool, ExchangeError, ExchangePurpose } from '../channels/index.js';
import { Chooser, InFlightTable, ReplicaHealth } from '../choice/index.js';
import type { MemberRecord } from '../cluster/index.js';
import { Cluster, createTcpTransport, MemberState } from '../cluster/index.js';
import type { ReplicaLimitsOptions, SlotPermitsOptions } from '../limits/index.js';
import { ReplicaLimits, SlotPermits } from '../limits/index.js';
import { DisseminationTree, storeReaderRank, Topic } from '../dissemination/index.js';
import { PromptAdmission } from '../pacing/index.js';
import { CutOffTable, PathMonitor, PeerWitness, ReachabilityTable } from '../paths/index.js';
import { EndProofs, PresenceCheck, RelayServer, UpstreamSender } from '../relays/index.js';
import {
  StreamMigrator,
  RequestMetrics,
  RequestServer,
  Shutdown,
  WaitQueues,
  WorkTimes,
} from '../requests/index.js';
import { FleetShare } from '../shares/index.js';
import { AttemptLedger, CrashDetector, ReplicaEnds, SuspectRegistry } from '../suspects/index.js';
import type { ReplicaEntry, ReplicaStart } from '../view/index.js';
import { ReplicaRegistry, StoreWatcher, RecordKind, ReplicatedStore } from '../view/index.js';
import { startMetricsServer, registerMetrics } from './metrics.js';
import { InFlightReporter } from './in-flight-reporter.js';
import { MemberLog } from './member-log.js';
import { PART } from './part-names.js';
import { PeerProtocol } from './peer-protocol.js';
import type { ReadinessServer } from './readiness.js';
import { startReadinessServer } from './readiness.js';
import type { RouterOptions } from './types.js';
import { createAvailability, createChannels, createControl } from './upstreams.js';

/** Interval at which the daemon tries to claim engines that have no owner, in milliseconds. */
const LEASE_REVIEW_MS = 100;
/**
 * Maximum age of a daemon's information about the fleet, in milliseconds; beyond it, the daemon may be
 * partitioned.
 */
const MAX_FLEET_VIEW_AGE_MS = 1500;
/** Time in which an engine responds to a request for its report, in milliseconds; it needs no slot for that. */
const RESPONSE_TIMEOUT_MS = 150;

/** Pause after a report that could not be read, in milliseconds. */
const REPORT_PAUSE_MS = 100;

/** State of a daemon that its parts share with its reload and its shutdown. */
export interface RouterState {
  /** Peers to contact first; a reload replaces them. */
  seeds: readonly string[];
  /** Whether the daemon is shutting down. */
  isLeaving: boolean;
  /** Number of readiness probes that got status 503 since the shutdown began. */
  failedProbes: number;
}

/** Creates the services of one daemon. */
export class RouterServices {
  private readonly memberLog: MemberLog;

  /**
   * @param kernel - Finds parts at the time of use, where a dependency in the list would be circular.
   */
  constructor(
    private readonly options: RouterOptions,
    private readonly state: RouterState,
    private readonly kernel: ServiceFinder,
  ) {
    const { log, timers } = options;
    this.memberLog = new MemberLog(
      log,
      timers,
      () => this.get<Cluster>(PART.cluster).aliveAddresses().length,
    );
  }

  /** Services in the order of their dependencies, for the kernel to start. */
  list(): Service[] {
    const { timers } = this.options;
    return [
      part(
        PART.memberLog,
        [],
        () => this.memberLog,
        (memberLog) => memberLog.stop(),
      ),
      part(
        PART.view,
        [],
        () => new ReplicatedStore(timers),
        (view) => view.stop(),
      ),
      part(PART.metrics, [], () => createMetrics()),
      part(PART.availability, [], () => createAvailability(this.options)),
      part(
        PART.channels,
        [PART.availability],
        (kernel) =>
          createChannels(this.options, kernel, {
            onResponse: (replica) => this.recordResponse(replica),
            onRefused: (replica) => this.get<LateArrivals>(PART.lateArrivals).recordEnded(replica),
            reachability: () => this.get(PART.reachability),
            paths: () => this.get(PART.paths),
          }),
        (pool) => pool.close(),
      ),
      part(PART.control, [PART.channels, PART.availability], (kernel) => createControl(this.options, kernel)),
      part(PART.inFlight, [], () => new InFlightTable(timers)),
      part(PART.health, [], () => new ReplicaHealth(timers)),
      part(
        PART.pauseDetector,
        [],
        () => startPauseDetector(this.options),
        (pauses) => pauses.stop(),
      ),
      part(
        PART.registry,
        [PART.view, PART.availability],
        (kernel) => new ReplicaRegistry(kernel.get(PART.view), kernel.get(PART.availability), timers),
      ),
      part(
        PART.reachability,
        [PART.registry],
        (kernel) =>
          new ReachabilityTable({ registry: kernel.get(PART.registry), timers, log: this.options.log }),
      ),
      part(PART.residency, [PART.registry], (kernel) => new ResidencyTable(kernel.get(PART.registry))),
      part(
        PART.cluster,
        [PART.memberLog],
        () => this.createCluster(),
        (cluster) => cluster.close(),
      ),
      part(
        PART.tree,
        [PART.cluster, PART.view, PART.residency],
        (kernel) => this.createTree(kernel),
        (tree) => tree.stop(),
      ),
      part(PART.share, [PART.cluster, PART.tree], (kernel) => this.createShare(kernel)),
      part(
        PART.budgets,
        [PART.share, PART.pauseDetector],
        (kernel) => this.createBudgets(kernel),
        (budgets) => budgets.stop(),
      ),
      part(PART.lateArrivals, [PART.registry], (kernel) => this.createLateArrivals(kernel)),
      part(PART.settling, [PART.cluster, PART.tree], (kernel) => this.createSettling(kernel)),
      part(
        PART.quotas,
        [PART.cluster, PART.tree, PART.share, PART.pauseDetector, PART.registry, PART.settling],
        (kernel) => this.createQuotas(kernel),
        (quotas) => quotas.stop(),
      ),
      part(
        PART.versionHistory,
        [PART.cluster, PART.registry, PART.view, PART.settling, PART.pauseDetector],
        (kernel) => this.createVersionHistory(kernel),
        (history) => history.stop(),
      ),
      part(
        PART.incarnations,
        [PART.registry, PART.control, PART.tree],
        (kernel) => this.createIncarnations(kernel),
        (incarnations) => incarnations.stop(),
      ),
      part(PART.endProofs, [PART.channels, PART.registry, PART.control, PART.tree], (kernel) =>
        this.createEndProofs(kernel),
      ),
      part(
        PART.origins,
        [PART.cluster, PART.versionHistory],
        (kernel) => this.createOrigins(kernel),
        (origins) => origins.stop(),
      ),
      part(PART.limits, [PART.cluster, PART.tree, PART.share, PART.registry], (kernel) =>
        this.createLimits(kernel),
      ),
      part(PART.slotPermits, [PART.cluster, PART.tree, PART.share, PART.registry], (kernel) =>
        this.createSlotPermits(kernel),
      ),
      part(PART.cutOffs, [PART.cluster, PART.tree], (kernel) => this.createCutOffs(kernel)),
      part(PART.witness, [PART.cluster, PART.cutOffs, PART.pauseDetector], (kernel) =>
        this.createWitness(kernel),
      ),
      part(
        PART.paths,
        [
          PART.registry,
          PART.health,
          PART.cutOffs,
          PART.channels,
          PART.control,
          PART.witness,
          PART.pauseDetector,
        ],
        (kernel) => this.createPaths(kernel),
        (paths) => paths.stop(),
      ),
      part(
        PART.sender,
        [PART.cluster, PART.channels, PART.cutOffs, PART.paths, PART.availability, PART.endProofs],
        (kernel) => this.createSender(kernel),
      ),
      part(PART.crashDetector, [PART.channels], (kernel) => this.createCrashDetector(kernel)),
      part(
        PART.relays,
        [PART.cluster, PART.channels, PART.registry, PART.crashDetector, PART.endProofs],
        (kernel) => this.createRelays(kernel),
      ),
      part(PART.attempts, [], () => new AttemptLedger(timers)),
      part(
        PART.suspects,
        [PART.cluster, PART.tree, PART.crashDetector, PART.attempts, PART.health],
        (kernel) => this.createSuspects(kernel),
        (suspects) => suspects.stop(),
      ),
      part(
        PART.replicaEnds,
        [PART.registry, PART.attempts, PART.suspects, PART.witness, PART.paths, PART.pauseDetector],
        (kernel) => this.createReplicaEnds(kernel),
        (ends) => ends.stop(),
      ),
      part(
        PART.leases,
        [PART.cluster, PART.tree, PART.pauseDetector, PART.registry, PART.settling, PART.cutOffs, PART.paths],
        (kernel) => this.createLeases(kernel),
        (leases) => leases.close(),
      ),
      part(PART.leaseReviews, [PART.leases, PART.registry], startLeaseReviews(this.options), (timer) =>
        timer.cancel(),
      ),
      part(
        PART.loader,
        [
          PART.cluster,
          PART.leases,
          PART.registry,
          PART.residency,
          PART.inFlight,
          PART.channels,
          PART.control,
          PART.availability,
          PART.suspects,
          PART.reachability,
          PART.paths,
        ],
        (kernel) => this.createLoader(kernel),
        (loader) => loader.close(),
      ),
      part(
        PART.reporter,
        [PART.cluster, PART.leases, PART.loader, PART.inFlight],
        (kernel) => this.createReporter(kernel),
        (reporter) => reporter.stop(),
      ),
      part(
        PART.protocol,
        [
          PART.cluster,
          PART.tree,
          PART.view,
          PART.registry,
          PART.availability,
          PART.leases,
          PART.loader,
          PART.residency,
          PART.inFlight,
          PART.reporter,
        ],
        (kernel) => this.createProtocol(kernel),
        (protocol) => protocol.stop(),
      ),
      part(
        PART.admission,
        [PART.cluster, PART.leases, PART.registry, PART.loader, PART.reporter, PART.protocol, PART.inFlight],
        (kernel) => this.createAdmission(kernel),
      ),
      part(
        PART.watcher,
        [PART.view, PART.cluster, PART.tree, PART.protocol, PART.versionHistory],
        (kernel) => this.startWatcher(kernel),
        (watcher) => watcher.stop(),
      ),
      part(
        PART.requests,
        [
          PART.metrics,
          PART.view,
          PART.registry,
          PART.residency,
          PART.inFlight,
          PART.health,
          PART.channels,
          PART.control,
          PART.loader,
          PART.admission,
          PART.quotas,
          PART.limits,
          PART.slotPermits,
          PART.availability,
          PART.suspects,
          PART.attempts,
          PART.sender,
          PART.paths,
          PART.tree,
          PART.cluster,
          PART.share,
          PART.budgets,
          PART.lateArrivals,
          PART.versionHistory,
          PART.origins,
          PART.incarnations,
        ],
        (kernel) => this.startRequestServer(kernel),
        (requests) => requests.closeAllConnections(),
      ),
      part(
        PART.metricsServer,
        [
          PART.metrics,
          PART.view,
          PART.cluster,
          PART.tree,
          PART.leases,
          PART.channels,
          PART.pauseDetector,
          PART.requests,
          PART.suspects,
          PART.origins,
          PART.registry,
        ],
        (kernel) => this.startMetrics(kernel),
        (server) => server?.close(),
      ),
      part(
        PART.readiness,
        [PART.requests, PART.registry],
        (kernel) => this.startReadiness(kernel),
        (server) => {
          server.close();
        },
      ),
    ];
  }

  private createCluster(): Cluster {
    const { settings, timers, log } = this.options;
    const address = addressOf(this.options);
    return new Cluster({
      self: { address, zone: settings.zone, incarnation: timers.wall() },
      seeds: () => this.state.seeds,
      timers,
      transport: createTcpTransport(address, timers),
      log,
      onChange: (record, before) => this.handleMember(record, before),
    });
  }

  private handleMember(record: MemberRecord, before: MemberRecord | undefined): void {
    const { address, state } = record;
    const isOwn = address === addressOf(this.options);
    this.get<DisseminationTree>(PART.tree).publish(Topic.Member, record, isOwn);
    const isNewIncarnation = before !== undefined && before.incarnation !== record.incarnation;
    if (state === MemberState.Ended || isNewIncarnation)
      this.get<InFlightTable>(PART.inFlight).removePeer(address);
    if (!isOwn && (state !== before?.state || isNewIncarnation)) this.memberLog.record(record);
  }

  private createTree(kernel: ServiceFinder): DisseminationTree {
    const { timers, log } = this.options;
    const residency = kernel.get<ResidencyTable>(PART.residency);
    return new DisseminationTree({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      view: kernel.get(PART.view),
      timers,
      log,
      recent: () => residency.recentAdapters(),
      mergeRecent: (replica, keys) => residency.mergeRecent(replica, keys),
    });
  }

  private createReporter(kernel: ServiceFinder): InFlightReporter {
    return new InFlightReporter({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      loader: kernel.get(PART.loader),
      inFlight: kernel.get(PART.inFlight),
      timers: this.options.timers,
    });
  }

  private createProtocol(kernel: ServiceFinder): PeerProtocol {
    return new PeerProtocol({
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      registry: kernel.get(PART.registry),
      availability: kernel.get(PART.availability),
      leases: kernel.get(PART.leases),
      loader: kernel.get(PART.loader),
      residency: kernel.get(PART.residency),
      inFlight: kernel.get(PART.inFlight),
      reporter: kernel.get(PART.reporter),
      timers: this.options.timers,
    });
  }

  private createAdmission(kernel: ServiceFinder): PromptAdmission {
    const { timers, log } = this.options;
    const reporter = kernel.get<InFlightReporter>(PART.reporter);
    const protocol = kernel.get<PeerProtocol>(PART.protocol);
    const loader = kernel.get<AdapterLoader>(PART.loader);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    return new PromptAdmission({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      registry: kernel.get(PART.registry),
      timers,
      log,
      takeChanges: (replica) => reporter.takeChanges(replica),
      mergeReport: (peer, report) => protocol.mergeReport(peer, report),
      isResident: (replica, key) => loader.isResident(replica, key),
      counts: (replica) => inFlight.sumOfReports(replica),
    });
  }

  private createShare(kernel: ServiceFinder): FleetShare {
    const { settings, timers } = this.options;
    return new FleetShare({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      seeds: () => this.state.seeds,
      isUpToDate: () => this.isUpToDate(),
      isFirstStart: settings.isFirstStart,
      windowMs: settings.budget.windowMs,
      timers,
    });
  }

  private createBudgets(kernel: ServiceFinder): RetryBudgets {
    const { settings, timers, log } = this.options;
    const share = kernel.get<FleetShare>(PART.share);
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    return new RetryBudgets({
      bounds: settings.budget,
      share: () => share.ownShare(),
      resumedAt: () => pauses.suspensionEndedAt,
      timers,
      log: log.part('budget'),
    });
  }

  private createLateArrivals(kernel: ServiceFinder): LateArrivals {
    const { settings, timers } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const lateArrivals = new LateArrivals({
      timers,
      goneAfterMs: settings.budget.windowMs,
      isListed: (replica) => registry.replica(replica) !== undefined,
    });
    registry.onReplica((id, entry) => {
      if (entry === undefined) lateArrivals.recordRemoved(id);
      else lateArrivals.recordListed(entry);
    });
    return lateArrivals;
  }

  /** Passes on that a replica has responded. */
  private recordResponse(replica: string): void {
    this.get<SuspectRegistry>(PART.suspects).recordResponse(replica);
    this.get<LateArrivals>(PART.lateArrivals).recordHeard(replica);
  }

  private createSettling(kernel: ServiceFinder): FleetSettling {
    const cluster = kernel.get<Cluster>(PART.cluster);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    return new FleetSettling({
      alive: () => cluster.aliveAddresses(),
      hasSharedState: () => tree.hasSharedState,
      timers: this.options.timers,
    });
  }

  private createQuotas(kernel: ServiceFinder): AccountQuotas {
    const { settings, timers, log } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    const settling = kernel.get<FleetSettling>(PART.settling);
    return new AccountQuotas({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      windowMs: settings.quotaWindowMs,
      timers,
      log,
      account: (name) => registry.table?.account(name),
      isSettled: () => settling.hasSettled() && !pauses.isRecovering,
      share: kernel.get(PART.share),
      seeds: () => this.state.seeds,
      isFirstStart: settings.isFirstStart,
    });
  }

  private createVersionHistory(kernel: ServiceFinder): VersionHistory {
    const { settings, source, timers, log } = this.options;
    const settling = kernel.get<FleetSettling>(PART.settling);
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    return new VersionHistory({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      registry: kernel.get(PART.registry),
      view: kernel.get(PART.view),
      timers,
      log,
      resumedAt: () => pauses.resumedAt,
      hasSettled: () => settling.hasSettled(),
      source,
      replicaWriteIntervalMs: settings.replicaWriteIntervalMs,
    });
  }

  private createOrigins(kernel: ServiceFinder): StreamOrigins {
    const { timers, log } = this.options;
    return new StreamOrigins({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      history: kernel.get(PART.versionHistory),
      timers,
      log,
    });
  }

  private createIncarnations(kernel: ServiceFinder): IncarnationProofs {
    const proofs = new IncarnationProofs({
      isRunning: (replica) => this.isRunning(replica),
      timers: this.options.timers,
    });
    kernel.get<ReplicaRegistry>(PART.registry).onReplica((id, entry) => {
      if (entry === undefined) proofs.forget(id);
    });
    return proofs;
  }

  private createEndProofs(kernel: ServiceFinder): EndProofs {
    const { timers, log } = this.options;
    const channels = kernel.get<ChannelPool>(PART.channels);
    const presence = new PresenceCheck({
      identities: kernel.get(PART.control),
      probe: (replica, timeoutMs) => this.probe(replica, timeoutMs),
      isRunning: (replica) => this.isRunning(replica),
      log,
    });
    return new EndProofs({
      presenceOf: (replica) => presence.presenceOf(replica),
      isConnectedSince: (replica, at) => channels.isConnectedSince(replica, at),
      timers,
      log,
    });
  }

  /** Whether the listed incarnation of a replica still runs, as its own report shows. */
  private async isRunning(replica: ReplicaEntry): Promise<boolean | undefined> {
    const { name, bornAt, models } = replica;
    // Without a stated start, a restart has another name, which the request says and a replica checks.
    if (bornAt === undefined) return true;
    // A plain replica may report nothing, so that it can't be told from one that has restarted.
    const isTrusted = models === undefined;
    try {
      const reportedStart = await this.readStart(replica);
      if (reportedStart === undefined) return isTrusted;
      this.publishStart({ name, bornAt: reportedStart });
      return reportedStart === bornAt;
    } catch (err) {
      const { log, timers } = this.options;
      log.debug(`Failed to read the report of ${name}: ${String(err)}.`);
      if (isTrusted && !(err instanceof ExchangeError)) return true;
      await timers.sleep(REPORT_PAUSE_MS);
      return undefined;
    }
  }

  /** Reads the start that a replica reports, on a new connection: kept ones may be dead, or lead to a process that has ended. */
  private async readStart(replica: ReplicaEntry): Promise<number | undefined> {
    const connection = this.get<EngineControl>(PART.control).connect(replica, () => undefined);
    try {
      return (await connection.report()).bornAt;
    } finally {
      connection.close();
    }
  }

  /** Publishes a start of a replica to all daemons if it is news; each then treats it as a new replica. */
  private publishStart(start: ReplicaStart): void {
    if (!this.get<ReplicaRegistry>(PART.registry).recordStart(start)) return;
    const { name, bornAt } = start;
    this.options.log.decide('replica.started-again', `Replica ${name} has restarted.`, {
      replica: name,
      bornAt,
    });
    this.get<DisseminationTree>(PART.tree).publish(Topic.ReplicaStart, start);
  }

  private createLimits(kernel: ServiceFinder): ReplicaLimits {
    return new ReplicaLimits(this.limitsOptions(kernel));
  }

  private createSlotPermits(kernel: ServiceFinder): SlotPermits {
    return new SlotPermits(this.limitsOptions(kernel));
  }

  private limitsOptions(kernel: ServiceFinder): ReplicaLimitsOptions & SlotPermitsOptions {
    const { timers, log } = this.options;
    return {
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      share: kernel.get(PART.share),
      registry: kernel.get(PART.registry),
      timers,
      log,
    };
  }

  private createCutOffs(kernel: ServiceFinder): CutOffTable {
    return new CutOffTable({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      timers: this.options.timers,
    });
  }

  private createWitness(kernel: ServiceFinder): PeerWitness {
    const { timers, log } = this.options;
    return new PeerWitness({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      table: kernel.get(PART.cutOffs),
      heardAgoMs: (replica) => this.get<PathMonitor>(PART.paths).heardAgoMs(replica),
      resumedAgoMs: () => timers.now() - kernel.get<PauseDetector>(PART.pauseDetector).resumedAt,
      canReach: (service) => this.get<PathMonitor>(PART.paths).canReach(service),
      timers,
      log,
      random: Math.random,
    });
  }

  private createPaths(kernel: ServiceFinder): PathMonitor {
    const { timers, log } = this.options;
    const channels = kernel.get<ChannelPool>(PART.channels);
    // A check may still be in progress when the daemon has stopped and its parts can't be found any more.
    const control = kernel.get<EngineControl>(PART.control);
    const witness = kernel.get<PeerWitness>(PART.witness);
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    const paths = new PathMonitor({
      registry: kernel.get(PART.registry),
      health: kernel.get(PART.health),
      table: kernel.get(PART.cutOffs),
      probe: (replica, timeoutMs, holdMs) => this.probe(replica, timeoutMs, holdMs),
      askPeers: (service, replicas, mustConnect) => witness.ask(service, replicas, mustConnect),
      requestResponse: (replica) => this.requestResponse(control, replica),
      isRecovering: () => pauses.isRecovering,
      closeIdle: (replica) => channels.closeIdle(replica),
      timers,
      log,
      random: Math.random,
    });
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    // Connections that were open before may never carry anything again.
    paths.onCut((service) => registry.readyReplicas(service).forEach(({ id }) => channels.closeIdle(id)));
    return paths;
  }

  /** Requests the report of an engine; resolves to whether it has come, when it has or had time to. */
  private async requestResponse(control: EngineControl, replica: ReplicaEntry): Promise<boolean> {
    const { timers, log } = this.options;
    const end = new AbortController();
    const wait = timers.sleep(RESPONSE_TIMEOUT_MS, end.signal).then(
      () => false,
      () => true,
    );
    if (replica.models !== undefined)
      control.report(replica).then(
        () => end.abort(),
        (err: unknown) => log.debug(`No report of ${replica.id}: ${String(err)}.`),
      );
    return wait;
  }

  private createSender(kernel: ServiceFinder): UpstreamSender {
    const { settings, timers, dialect } = this.options;
    return new UpstreamSender({
      self: addressOf(this.options),
      zone: settings.zone,
      pool: kernel.get(PART.channels),
      cluster: kernel.get(PART.cluster),
      monitor: kernel.get(PART.paths),
      table: kernel.get(PART.cutOffs),
      availability: kernel.get(PART.availability),
      readDeclaration: (status, headers, requestId) => dialect.readDeclaration(status, headers, requestId),
      isRunning: (replica) => this.isRunning(replica),
      ends: kernel.get(PART.endProofs),
      timers,
      random: Math.random,
    });
  }

  private createRelays(kernel: ServiceFinder): RelayServer {
    const { timers, log } = this.options;
    return new RelayServer({
      cluster: kernel.get(PART.cluster),
      pool: kernel.get(PART.channels),
      registry: kernel.get(PART.registry),
      detector: kernel.get(PART.crashDetector),
      isRunning: (replica) => this.isRunning(replica),
      ends: kernel.get(PART.endProofs),
      isLeaving: () => this.state.isLeaving,
      timers,
      log,
    });
  }

  private createCrashDetector(kernel: ServiceFinder): CrashDetector {
    const { timers } = this.options;
    const channels = kernel.get<ChannelPool>(PART.channels);
    return new CrashDetector({
      timers,
      isConnected: (replica) => channels.isConnected(replica),
      probe: (replica, timeoutMs) => this.probe(replica, timeoutMs),
    });
  }

  /** Connects to a replica once, from this daemon's address. */
  private probe({ host, port }: ReplicaEntry, timeoutMs: number, holdMs?: number): Promise<ListenerState> {
    const { settings, timers } = this.options;
    return probeListener({ host, port, localAddress: settings.host }, timers, timeoutMs, holdMs);
  }

  private createReplicaEnds(kernel: ServiceFinder): ReplicaEnds {
    const { timers, log } = this.options;
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    return new ReplicaEnds({
      registry: kernel.get(PART.registry),
      attempts: kernel.get(PART.attempts),
      suspects: kernel.get(PART.suspects),
      witness: kernel.get(PART.witness),
      paths: kernel.get(PART.paths),
      isRecovering: () => pauses.isRecovering,
      timers,
      log,
    });
  }

  private createSuspects(kernel: ServiceFinder): SuspectRegistry {
    const { timers, log } = this.options;
    const suspects = new SuspectRegistry({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      detector: kernel.get(PART.crashDetector),
      attempts: kernel.get(PART.attempts),
      timers,
      log,
    });
    const health = kernel.get<ReplicaHealth>(PART.health);
    suspects.onEnded((replica, at) => health.recordEnd(replica, at));
    suspects.onRefuted((replica) => health.recordReturn(replica));
    return suspects;
  }

  /** Whether this daemon has recently received messages from its peers and the shared state. */
  private isUpToDate(): boolean {
    const cluster = this.get<Cluster>(PART.cluster);
    const hasRecentMessages =
      cluster.aliveAddresses().length <= 1 || cluster.sinceLastReceivedMs() < MAX_FLEET_VIEW_AGE_MS;
    return hasRecentMessages && this.get<DisseminationTree>(PART.tree).rootBatchAgeMs < MAX_FLEET_VIEW_AGE_MS;
  }

  private createLeases(kernel: ServiceFinder): EngineLeases {
    const { settings, timers, log } = this.options;
    const cluster = kernel.get<Cluster>(PART.cluster);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const pauses = kernel.get<PauseDetector>(PART.pauseDetector);
    const settling = kernel.get<FleetSettling>(PART.settling);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    const cutOffs = kernel.get<CutOffTable>(PART.cutOffs);
    const leases = new EngineLeases({
      self: addressOf(this.options),
      fleet: cluster,
      timers,
      leaseMs: settings.leaseMs,
      isFenced: settings.isFenced,
      isRecovering: () => pauses.isRecovering,
      hasSettled: () => settling.hasSettled(),
      isUpToDate: () => this.isUpToDate(),
      isCutOff: (address, replica) => {
        const service = registry.replica(replica)?.service;
        return service !== undefined && cutOffs.isCutOff(address, service);
      },
      onGain: (lease) => {
        log.decide('lease.gained', `Acquired the lease of ${lease.replica}.`, {
          replica: lease.replica,
          token: lease.token,
        });
        tree.publish(Topic.EngineLease, lease);
        this.get<AdapterLoader>(PART.loader).startOwner(lease);
      },
      onLoss: (lease, reason) => {
        log.decide('lease.lost', `Lost the lease of ${lease.replica}.`, {
          replica: lease.replica,
          token: lease.token,
          reason,
        });
        this.get<AdapterLoader>(PART.loader).stopOwner(lease);
      },
    });
    registry.onReplica((id, entry) => {
      if (entry === undefined) leases.forget(id);
    });
    kernel.get<PathMonitor>(PART.paths).onCut(() => leases.resignUnreachable());
    return leases;
  }

  private createLoader(kernel: ServiceFinder): AdapterLoader {
    const { timers, log } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const availability = kernel.get<ReplicaAvailability>(PART.availability);
    const loader = new AdapterLoader({
      self: addressOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      registry,
      residency: kernel.get(PART.residency),
      control: kernel.get(PART.control),
      isFenced: this.options.settings.isFenced,
      timers,
      log,
      acceptsOrders: (replica) => availability.accepts(replica, ExchangePurpose.Order),
      publishResidency: (residency) => this.get<PeerProtocol>(PART.protocol).publishResidency(residency),
      publishStart: (start) => this.publishStart(start),
    });
    const channels = kernel.get<ChannelPool>(PART.channels);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      channels.closeIdle(id);
      inFlight.removeReplica(id);
    });
    return loader;
  }

  private startWatcher(kernel: ServiceFinder): StoreWatcher {
    const { timers, log, source } = this.options;
    const view = kernel.get<ReplicatedStore>(PART.view);
    const cluster = kernel.get<Cluster>(PART.cluster);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    const self = addressOf(this.options);
    view.onChange(({ record }) => {
      if (record?.kind !== RecordKind.AdapterVersion) return;
      const { model, adapter, version } = record.declared;
      log.decide('version.declared', `Version ${version} of ${model}/${adapter} was declared.`, {
        model,
        adapter,
        version,
      });
      this.get<AdapterLoader>(PART.loader).upgrade(model, adapter, version);
    });
    const watcher = new StoreWatcher({
      view,
      source,
      timers,
      rank: () => storeReaderRank(self, cluster.aliveAddresses(), (address) => cluster.member(address)?.zone),
      isAlone: () => cluster.aliveAddresses().length <= 1,
      isFirstStart: this.options.settings.isFirstStart,
      random: Math.random,
      publish: (hasChanges) => tree.publishView(hasChanges),
      onReachabilityChange: (isReachable, reason) =>
        log.warn(
          isReachable ? 'The platform is reachable again.' : `The platform is unreachable: ${reason}.`,
        ),
      onList: ({ isHistoryLost, from, upTo, epoch }) =>
        log.decide('view.listed', 'Read all of the platform’s records.', {
          isHistoryLost,
          revision: from,
          listedRevision: upTo,
          epoch,
          viewAgeMs: roundAge(view.ageMs),
        }),
      onFirstList: () => {
        void kernel.get<VersionHistory>(PART.versionHistory).askStore();
      },
      onTakeOver: ({ rank, ageMs }) =>
        log.decide('view.take-over', 'Took over reading the platform’s records for the fleet.', {
          rank,
          viewAgeMs: roundAge(ageMs),
          revision: view.upTo,
          epoch: view.epoch,
          peers: cluster.aliveAddresses().length - 1,
        }),
    });
    watcher.start();
    return watcher;
  }

  private async startRequestServer(kernel: ServiceFinder): Promise<RequestServer> {
    const { settings, timers, log, dialect } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const residency = kernel.get<ResidencyTable>(PART.residency);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    const health = kernel.get<ReplicaHealth>(PART.health);
    const loader = kernel.get<AdapterLoader>(PART.loader);
    const cluster = kernel.get<Cluster>(PART.cluster);
    const view = kernel.get<ReplicatedStore>(PART.view);
    const limits = kernel.get<ReplicaLimits>(PART.limits);
    const slotPermits = kernel.get<SlotPermits>(PART.slotPermits);
    const availability = kernel.get<ReplicaAvailability>(PART.availability);
    const share = kernel.get<FleetShare>(PART.share);
    const history = kernel.get<VersionHistory>(PART.versionHistory);
    const chooser = new Chooser({
      registry,
      residency,
      inFlight,
      health,
      backoffMs: (replica) => availability.backoffMs(replica),
      mayReceive: (replica) =>
        availability.accepts(replica, ExchangePurpose.Request) &&
        limits.mayReceive(replica) &&
        slotPermits.mayReceive(replica),
      establishedReplicas: (service, replicas) => history.establishedReplicas(service, replicas),
      establishedInMs: (replica) => history.establishedInMs(replica),
      zone: settings.zone,
      now: timers.now,
      random: Math.random,
    });
    registry.onReplica((id, entry, before) => {
      if (entry?.state === before?.state) return;
      const { service, softwareVersion } = entry ?? before ?? {};
      const text = entry === undefined ? `Replica ${id} was removed.` : `Replica ${id} is ${entry.state}.`;
      log.decide('replica.state', text, {
        replica: id,
        service,
        softwareVersion,
        state: entry?.state ?? 'gone',
        revision: view.upTo,
        epoch: view.epoch,
        viewAgeMs: roundAge(view.ageMs),
      });
    });
    registry.onHeldBack((id, forMs) =>
      log.decide(
        'replica.held-back',
        `Replica ${id} had been removed before the store came back from a copy.`,
        {
          replica: id,
          forMs: Math.round(forMs),
          epoch: view.epoch,
        },
      ),
    );
    view.onEpoch(({ before, epoch }) =>
      log.decide('view.epoch', 'The platform’s store has come back from a copy.', {
        epoch,
        epochBefore: before.epoch,
        revisionBefore: before.revision,
        viewAgeMs: roundAge(view.ageMs),
      }),
    );
    registry.onTable(({ document }) =>
      log.decide('config.in-force', `Configuration ${document.version} is in force.`, {
        version: document.version,
        revision: view.upTo,
        epoch: view.epoch,
        viewAgeMs: roundAge(view.ageMs),
      }),
    );
    const ensure = loader.ensure.bind(loader);
    const server = new RequestServer({
      host: settings.host,
      port: settings.callerPort,
      maxDescriptors: settings.maxDescriptors,
      registry,
      timers,
      log,
      parts: {
        dialect,
        chooser,
        sender: kernel.get(PART.sender),
        paths: kernel.get(PART.paths),
        inFlight,
        health,
        timers,
        log,
        ensure,
        admission: kernel.get(PART.admission),
        quotas: kernel.get(PART.quotas),
        limits,
        slotPermits,
        availability,
        suspects: kernel.get(PART.suspects),
        attempts: kernel.get(PART.attempts),
        origins: kernel.get(PART.origins),
        incarnations: kernel.get(PART.incarnations),
        registry,
        accountMetrics: new AccountMetrics(kernel.get<Metrics>(PART.metrics)),
        workTimes: new WorkTimes(timers),
        waitQueues: new WaitQueues(timers),
        callerDeadlines: history.deadlines,
        migrator: new StreamMigrator({
          registry,
          chooser,
          control: kernel.get(PART.control),
          acceptsStream: (replica) => availability.accepts(replica, ExchangePurpose.Continuation),
          timers,
          log,
          ensure,
        }),
        markAbsent: (replica, key) => residency.markAbsent(replica, key),
        buffers: new BufferBudget(),
        shutdown: new Shutdown(),
        metrics: new RequestMetrics(kernel.get<Metrics>(PART.metrics)),
        viewAgeMs: () => roundAge(view.ageMs),
        fleetShare: () => share.ownShare(),
        budget: (service) => kernel.get<RetryBudgets>(PART.budgets).of(service),
        lateArrivals: kernel.get(PART.lateArrivals),
      },
    });
    await server.listen();
    await cluster.start();
    kernel.get<DisseminationTree>(PART.tree).start();
    return server;
  }

  private async startMetrics(kernel: ServiceFinder): Promise<Server | undefined> {
    const { settings, source, droppedLines } = this.options;
    const metrics = kernel.get<Metrics>(PART.metrics);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    registerMetrics({
      metrics,
      view: kernel.get(PART.view),
      source,
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      leases: kernel.get(PART.leases),
      channels: kernel.get(PART.channels),
      pauses: kernel.get(PART.pauseDetector),
      requests: kernel.get<RequestServer>(PART.requests),
      suspects: kernel.get<SuspectRegistry>(PART.suspects),
      origins: kernel.get<StreamOrigins>(PART.origins),
      droppedLines,
      configVersion: () => registry.table?.document.version ?? 0,
    });
    if (settings.metricsPort === undefined) return undefined;
    return startMetricsServer(settings.host, settings.metricsPort, metrics, this.options);
  }

  private startReadiness(kernel: ServiceFinder): Promise<ReadinessServer> {
    const { settings, isReadinessPath, timers, log } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    return startReadinessServer({
      host: settings.host,
      port: settings.readinessPort,
      timers,
      log,
      isReadinessPath,
      isReady: () => {
        if (this.state.isLeaving) this.state.failedProbes += 1;
        return !this.state.isLeaving && registry.table !== undefined;
      },
    });
  }

  private get<T>(name: string): T {
    return this.kernel.get<T>(name);
  }
}

/** Rounds an age to whole milliseconds for the log; an infinite one becomes the largest safe integer. */
function roundAge(ageMs: number): number {
  return Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER));
}

/** Address at which peers reach this daemon. */
function addressOf({ settings: { host, peerPort } }: RouterOptions): string {
  return `${host}:${peerPort}`;
}

/**
 * Wraps a part of the daemon as a service of the kernel.
 * @param stop - Called with the value that `start` returned; not called if the part never started or the value
 * is undefined.
 */
function part<T>(
  name: string,
  needs: readonly string[],
  start: (kernel: ServiceFinder) => T | Promise<T>,
  stop?: (value: T) => void,
): Service {
  let value: T | undefined;
  return {
    name,
    needs,
    async start(kernel) {
      value = await start(kernel);
      return value;
    },
    stop() {
      if (value !== undefined) stop?.(value);
    },
  };
}

/** Returns the start function of a timer that regularly tries to claim engines that have no owner. */
function startLeaseReviews({ timers }: RouterOptions): (kernel: ServiceFinder) => TimerHandle {
  return (kernel) => {
    const leases = kernel.get<EngineLeases>(PART.leases);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    return timers.repeat(LEASE_REVIEW_MS, () => leases.claimUnowned(enginesOf(registry)));
  };
}

function startPauseDetector({ timers, log }: RouterOptions): PauseDetector {
  const pauses = new PauseDetector(timers, (ms) =>
    log.warn(`This process was paused for ${Math.round(ms)} ms.`),
  );
  pauses.start();
  return pauses;
}

/** Ids of all registered replicas whose service has an engine in the configuration. */
function* enginesOf(registry: ReplicaRegistry): Generator<string> {
  for (const { id, service } of registry.all())
    if (registry.table?.service(service)?.engine !== undefined) yield id;
}
