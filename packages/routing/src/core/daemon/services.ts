/**
 * The parts of a router daemon as services of its kernel.
 *
 * Read from top to bottom, {@link RouterServices.list} is what a daemon consists of and which part needs which; the
 * methods below it make the parts that need more than a constructor.
 */
import type { Server } from 'node:http';

import type { Metrics, Service, ServiceFinder, TimerHandle } from '@celeryyoke/core';
import { createMetrics } from '@celeryyoke/core';

import { ResidencyTable, Loader } from '../adapters/index.js';
import { AccountMetrics, AccountQuotas } from '../accounts/index.js';
import { EngineLeases, FleetSettling, PauseDetector } from '../ownership/index.js';
import { RepeatBudget } from '../budget/index.js';
import { ChannelPool } from '../channels/index.js';
import { Chooser, InFlightTable, ReplicaHealth } from '../choice/index.js';
import type { MemberRecord } from '../cluster/index.js';
import { Cluster, createTcpTransport, MemberState } from '../cluster/index.js';
import { ReplicaLimits } from '../limits/index.js';
import { DisseminationTree, readingRank, Topic } from '../dissemination/index.js';
import { PromptAdmission } from '../pacing/index.js';
import { CallerTimes, StreamMigrations, RequestMetrics, RequestServer } from '../requests/index.js';
import { FleetShare } from '../shares/index.js';
import { ReplicaRegistry, StoreWatcher, RecordKind, ReplicatedStore } from '../view/index.js';
import { listenForFigures, registerFigures } from './figures.js';
import { InFlightReporter } from './in-flight-reporter.js';
import { MemberLog } from './member-log.js';
import { PART } from './names.js';
import { PeerProtocol } from './peer-protocol.js';
import type { ReadinessServer } from './readiness.js';
import { listenForReadiness } from './readiness.js';
import type { RouterOptions } from './types.js';

/** How often leases are reviewed, in milliseconds. */
const REVIEW_MS = 100;
/** Age of what is heard of the fleet beyond which a daemon may be cut off from it, in milliseconds. */
const UP_TO_DATE_MS = 1500;

/** What changes while a daemon runs. */
export interface RouterState {
  /** Peers to ask first; a reload changes them. */
  seeds: readonly string[];
  /** Whether the daemon is shutting down. */
  isLeaving: boolean;
  /** Questions of the balancer that were answered with no since then. */
  refusedQuestions: number;
}

/** Makes the services of one daemon. */
export class RouterServices {
  private readonly budgets = new Map<string, RepeatBudget>();

  private readonly memberLog: MemberLog;

  /**
   * Makes the list's maker.
   * @param options - Settings, time, logs and the adapters to the platform.
   * @param state - Shared with the daemon.
   * @param kernel - Finds parts that are looked up only when they are used.
   */
  constructor(
    private readonly options: RouterOptions,
    private readonly state: RouterState,
    private readonly kernel: ServiceFinder,
  ) {
    const { log, timers } = options;
    this.memberLog = new MemberLog(log, timers, () => this.get<Cluster>(PART.cluster).alive().length);
  }

  /**
   * Lists the services in the order of their needs.
   * @returns What the kernel starts.
   */
  list(): Service[] {
    const { timers } = this.options;
    return [
      part(PART.view, [], () => new ReplicatedStore(timers)),
      part(PART.metrics, [], () => createMetrics()),
      part(
        PART.channels,
        [],
        () => new ChannelPool(),
        (pool) => pool.close(),
      ),
      part(PART.control, [PART.channels], (kernel) => this.options.control(kernel.get(PART.channels))),
      part(PART.inFlight, [], () => new InFlightTable(timers)),
      part(PART.health, [], () => new ReplicaHealth(timers)),
      part(
        PART.pauses,
        [],
        () => startPauses(this.options),
        (pauses) => pauses.stop(),
      ),
      part(PART.registry, [PART.view], (kernel) => new ReplicaRegistry(kernel.get(PART.view), timers)),
      part(PART.residency, [PART.registry], (kernel) => new ResidencyTable(kernel.get(PART.registry))),
      part(
        PART.cluster,
        [],
        () => this.makeCluster(),
        (cluster) => cluster.close(),
      ),
      part(
        PART.tree,
        [PART.cluster, PART.view, PART.residency],
        (kernel) => this.makeTree(kernel),
        (tree) => tree.stop(),
      ),
      part(PART.share, [PART.cluster, PART.tree], (kernel) => this.makeShare(kernel)),
      part(PART.settling, [PART.cluster, PART.tree], (kernel) => this.makeSettling(kernel)),
      part(
        PART.quotas,
        [PART.cluster, PART.tree, PART.share, PART.pauses, PART.registry, PART.settling],
        (kernel) => this.makeQuotas(kernel),
        (quotas) => quotas.stop(),
      ),
      part(PART.limits, [PART.cluster, PART.tree, PART.share, PART.registry], (kernel) =>
        this.makeLimits(kernel),
      ),
      part(
        PART.leases,
        [PART.cluster, PART.tree, PART.pauses, PART.registry, PART.settling],
        (kernel) => this.makeClaims(kernel),
        (leases) => leases.close(),
      ),
      part(PART.reviews, [PART.leases, PART.registry], startReviews(this.options), (timer) => timer.cancel()),
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
        ],
        (kernel) => this.makeLoader(kernel),
        (loader) => loader.close(),
      ),
      part(
        PART.reporter,
        [PART.cluster, PART.leases, PART.loader, PART.inFlight],
        (kernel) => this.makeReporter(kernel),
        (reporter) => reporter.stop(),
      ),
      part(
        PART.protocol,
        [
          PART.cluster,
          PART.tree,
          PART.view,
          PART.registry,
          PART.leases,
          PART.loader,
          PART.residency,
          PART.inFlight,
          PART.reporter,
        ],
        (kernel) => this.makeProtocol(kernel),
        (protocol) => protocol.stop(),
      ),
      part(
        PART.admission,
        [PART.cluster, PART.leases, PART.registry, PART.loader, PART.reporter, PART.protocol, PART.inFlight],
        (kernel) => this.makeAdmission(kernel),
      ),
      part(
        PART.watcher,
        [PART.view, PART.cluster, PART.tree, PART.protocol],
        (kernel) => this.startFollower(kernel),
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
          PART.tree,
          PART.cluster,
          PART.share,
        ],
        (kernel) => this.startRequests(kernel),
        (requests) => requests.cut(),
      ),
      part(
        PART.figures,
        [
          PART.metrics,
          PART.view,
          PART.cluster,
          PART.tree,
          PART.leases,
          PART.channels,
          PART.pauses,
          PART.requests,
          PART.registry,
        ],
        (kernel) => this.startFigures(kernel),
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

  private makeCluster(): Cluster {
    const { settings, timers, log } = this.options;
    const address = selfOf(this.options);
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
    const isOwn = address === selfOf(this.options);
    this.get<DisseminationTree>(PART.tree).publish(Topic.Member, record, isOwn);
    const isNewLife = before !== undefined && before.incarnation !== record.incarnation;
    if (state === MemberState.Ended || isNewLife) this.get<InFlightTable>(PART.inFlight).forgetPeer(address);
    if (!isOwn && (state !== before?.state || isNewLife)) this.memberLog.note(record);
  }

  private makeTree(kernel: ServiceFinder): DisseminationTree {
    const { timers, log } = this.options;
    const residency = kernel.get<ResidencyTable>(PART.residency);
    return new DisseminationTree({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      view: kernel.get(PART.view),
      timers,
      log,
      recent: () => residency.allRecent(),
      takeRecent: (replica, keys) => residency.takeRecent(replica, keys),
    });
  }

  private makeReporter(kernel: ServiceFinder): InFlightReporter {
    return new InFlightReporter({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      loader: kernel.get(PART.loader),
      inFlight: kernel.get(PART.inFlight),
      timers: this.options.timers,
    });
  }

  private makeProtocol(kernel: ServiceFinder): PeerProtocol {
    return new PeerProtocol({
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      registry: kernel.get(PART.registry),
      leases: kernel.get(PART.leases),
      loader: kernel.get(PART.loader),
      residency: kernel.get(PART.residency),
      inFlight: kernel.get(PART.inFlight),
      reporter: kernel.get(PART.reporter),
      timers: this.options.timers,
    });
  }

  private makeAdmission(kernel: ServiceFinder): PromptAdmission {
    const { timers, log } = this.options;
    const reporter = kernel.get<InFlightReporter>(PART.reporter);
    const protocol = kernel.get<PeerProtocol>(PART.protocol);
    const loader = kernel.get<Loader>(PART.loader);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    return new PromptAdmission({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      registry: kernel.get(PART.registry),
      timers,
      log,
      takeChanges: (replica) => reporter.takeChanges(replica),
      takeReport: (peer, report) => protocol.takeReport(peer, report),
      isResident: (replica, key) => loader.isResident(replica, key),
      counts: (replica) => inFlight.sum(replica),
    });
  }

  private makeShare(kernel: ServiceFinder): FleetShare {
    const { settings, timers } = this.options;
    return new FleetShare({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      seeds: () => this.state.seeds,
      isUpToDate: () => this.isUpToDate(),
      isFirstStart: settings.isFirstStart,
      windowMs: settings.budget.windowMs,
      timers,
    });
  }

  private makeSettling(kernel: ServiceFinder): FleetSettling {
    const cluster = kernel.get<Cluster>(PART.cluster);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    return new FleetSettling({
      alive: () => cluster.alive(),
      isInformed: () => tree.isPlaced,
      timers: this.options.timers,
    });
  }

  private makeQuotas(kernel: ServiceFinder): AccountQuotas {
    const { settings, timers, log } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const pauses = kernel.get<PauseDetector>(PART.pauses);
    const settling = kernel.get<FleetSettling>(PART.settling);
    return new AccountQuotas({
      self: selfOf(this.options),
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

  private makeLimits(kernel: ServiceFinder): ReplicaLimits {
    const { timers, log } = this.options;
    return new ReplicaLimits({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      share: kernel.get(PART.share),
      registry: kernel.get(PART.registry),
      timers,
      log,
    });
  }

  /** Whether this daemon has heard of the fleet a moment ago. */
  private isUpToDate(): boolean {
    const cluster = this.get<Cluster>(PART.cluster);
    const isHeard = cluster.alive().length <= 1 || cluster.heardAgoMs() < UP_TO_DATE_MS;
    return isHeard && this.get<DisseminationTree>(PART.tree).ageMs < UP_TO_DATE_MS;
  }

  private makeClaims(kernel: ServiceFinder): EngineLeases {
    const { settings, timers, log } = this.options;
    const cluster = kernel.get<Cluster>(PART.cluster);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const pauses = kernel.get<PauseDetector>(PART.pauses);
    const settling = kernel.get<FleetSettling>(PART.settling);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    const leases = new EngineLeases({
      self: selfOf(this.options),
      fleet: cluster,
      timers,
      leaseMs: settings.leaseMs,
      isFenced: settings.isFenced,
      isRecovering: () => pauses.isRecovering,
      hasSettled: () => settling.hasSettled(),
      isUpToDate: () => this.isUpToDate(),
      onGain: (lease) => {
        log.decide('lease.gained', `Gives orders to ${lease.replica}.`, {
          replica: lease.replica,
          token: lease.token,
        });
        tree.publish(Topic.EngineLease, lease);
        this.get<Loader>(PART.loader).gain(lease);
      },
      onLoss: (lease, reason) => {
        log.decide('lease.lost', `Gives no more orders to ${lease.replica}.`, {
          replica: lease.replica,
          token: lease.token,
          reason,
        });
        this.get<Loader>(PART.loader).lose(lease);
      },
    });
    registry.onReplica((id, entry) => {
      if (entry === undefined) leases.forget(id);
    });
    return leases;
  }

  private makeLoader(kernel: ServiceFinder): Loader {
    const { timers, log } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const loader = new Loader({
      self: selfOf(this.options),
      cluster: kernel.get(PART.cluster),
      leases: kernel.get(PART.leases),
      registry,
      residency: kernel.get(PART.residency),
      control: kernel.get(PART.control),
      isFenced: this.options.settings.isFenced,
      timers,
      log,
      publishHoldings: (told) => this.get<PeerProtocol>(PART.protocol).publishHoldings(told),
      publishStart: (start) => this.get<DisseminationTree>(PART.tree).publish(Topic.Start, start),
    });
    const channels = kernel.get<ChannelPool>(PART.channels);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      channels.forget(id);
      inFlight.forget(id);
    });
    return loader;
  }

  private startFollower(kernel: ServiceFinder): StoreWatcher {
    const { timers, log, source } = this.options;
    const view = kernel.get<ReplicatedStore>(PART.view);
    const cluster = kernel.get<Cluster>(PART.cluster);
    const tree = kernel.get<DisseminationTree>(PART.tree);
    const self = selfOf(this.options);
    view.onChange(({ record }) => {
      if (record?.kind !== RecordKind.AdapterVersion) return;
      const { model, adapter, version } = record.declared;
      log.decide('version.declared', `Version ${version} of ${model}/${adapter} was declared.`, {
        model,
        adapter,
        version,
      });
      this.get<Loader>(PART.loader).upgrade(model, adapter, version);
    });
    const watcher = new StoreWatcher({
      view,
      source,
      timers,
      rank: () => readingRank(self, cluster.alive(), (address) => cluster.member(address)?.zone),
      isAlone: () => cluster.alive().length <= 1,
      isFirstStart: this.options.settings.isFirstStart,
      random: Math.random,
      publish: (isNews) => tree.publishView(isNews),
      onSource: (isReachable, reason) =>
        log.warn(isReachable ? 'The platform answers again.' : `The platform does not answer: ${reason}.`),
      onTakeOver: ({ rank, ageMs }) =>
        log.decide('view.take-over', 'Reads the platform in place of those before it.', {
          rank,
          viewAgeMs: roundAge(ageMs),
          revision: view.upTo,
          peers: cluster.alive().length - 1,
        }),
    });
    watcher.start();
    return watcher;
  }

  private async startRequests(kernel: ServiceFinder): Promise<RequestServer> {
    const { settings, timers, log, dialect } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    const residency = kernel.get<ResidencyTable>(PART.residency);
    const inFlight = kernel.get<InFlightTable>(PART.inFlight);
    const health = kernel.get<ReplicaHealth>(PART.health);
    const loader = kernel.get<Loader>(PART.loader);
    const cluster = kernel.get<Cluster>(PART.cluster);
    const view = kernel.get<ReplicatedStore>(PART.view);
    const limits = kernel.get<ReplicaLimits>(PART.limits);
    const share = kernel.get<FleetShare>(PART.share);
    const chooser = new Chooser({
      registry,
      residency,
      inFlight,
      health,
      mayTake: (replica) => limits.mayTake(replica),
      zone: settings.zone,
      now: timers.now,
      random: Math.random,
    });
    registry.onReplica((id, entry, before) => {
      if (entry?.state === before?.state) return;
      const { service, state } = entry ?? {};
      const text = entry === undefined ? `Replica ${id} is gone.` : `Replica ${id} is ${entry.state}.`;
      log.decide('replica.state', text, {
        replica: id,
        service,
        state: state ?? 'gone',
        revision: view.upTo,
      });
    });
    registry.onTable(({ document }) =>
      log.decide('config.in-force', `Configuration ${document.version} is in force.`, {
        version: document.version,
        revision: view.upTo,
        viewAgeMs: roundAge(view.ageMs),
      }),
    );
    const ensure = loader.ensure.bind(loader);
    const server = new RequestServer({
      host: settings.host,
      port: settings.callerPort,
      registry,
      timers,
      log,
      parts: {
        dialect,
        chooser,
        pool: kernel.get(PART.channels),
        inFlight,
        health,
        timers,
        log,
        ensure,
        admission: kernel.get(PART.admission),
        quotas: kernel.get(PART.quotas),
        limits,
        accountMetrics: new AccountMetrics(kernel.get<Metrics>(PART.metrics)),
        callerTimes: new CallerTimes(),
        migrations: new StreamMigrations({
          registry,
          chooser,
          control: kernel.get(PART.control),
          timers,
          log,
          ensure,
        }),
        notHeld: (replica, key) => residency.drop(replica, key),
        metrics: new RequestMetrics(kernel.get<Metrics>(PART.metrics)),
        viewAgeMs: () => roundAge(view.ageMs),
        fleetShare: () => share.own(),
        budget: (service) => this.budget(service, share),
      },
    });
    await server.listen();
    await cluster.start();
    kernel.get<DisseminationTree>(PART.tree).start();
    return server;
  }

  private budget(service: string, share: FleetShare): RepeatBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const { settings, timers } = this.options;
    const made = new RepeatBudget({ bounds: settings.budget, share: () => share.own(), timers });
    this.budgets.set(service, made);
    return made;
  }

  private async startFigures(kernel: ServiceFinder): Promise<Server | undefined> {
    const { settings, droppedLines } = this.options;
    const metrics = kernel.get<Metrics>(PART.metrics);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    registerFigures({
      metrics,
      view: kernel.get(PART.view),
      cluster: kernel.get(PART.cluster),
      tree: kernel.get(PART.tree),
      leases: kernel.get(PART.leases),
      channels: kernel.get(PART.channels),
      pauses: kernel.get(PART.pauses),
      requests: kernel.get<RequestServer>(PART.requests),
      droppedLines,
      configVersion: () => registry.table?.document.version ?? 0,
    });
    if (settings.metricsPort === undefined) return undefined;
    return listenForFigures(settings.host, settings.metricsPort, metrics);
  }

  private startReadiness(kernel: ServiceFinder): Promise<ReadinessServer> {
    const { settings, isReadinessPath } = this.options;
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    return listenForReadiness({
      host: settings.host,
      port: settings.readinessPort,
      isReadinessPath,
      isReady: () => {
        if (this.state.isLeaving) this.state.refusedQuestions += 1;
        return !this.state.isLeaving && registry.table !== undefined;
      },
    });
  }

  private get<T>(name: string): T {
    return this.kernel.get<T>(name);
  }
}

/** An age for the log, in whole milliseconds. */
function roundAge(ageMs: number): number {
  return Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER));
}

/** Address of this daemon among its peers. */
function selfOf({ settings: { host, peerPort } }: RouterOptions): string {
  return `${host}:${peerPort}`;
}

/** One part of the daemon as a service of the kernel. */
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

/** Reviews the leases again and again. */
function startReviews({ timers }: RouterOptions): (kernel: ServiceFinder) => TimerHandle {
  return (kernel) => {
    const leases = kernel.get<EngineLeases>(PART.leases);
    const registry = kernel.get<ReplicaRegistry>(PART.registry);
    return timers.repeat(REVIEW_MS, () => leases.review(enginesOf(registry)));
  };
}

function startPauses({ timers, log }: RouterOptions): PauseDetector {
  const pauses = new PauseDetector(timers, (ms) =>
    log.warn(`This process stood still for ${Math.round(ms)} ms.`),
  );
  pauses.start();
  return pauses;
}

/** Incarnations of all engines. */
function* enginesOf(registry: ReplicaRegistry): Generator<string> {
  for (const { id, service } of registry.all())
    if (registry.table?.service(service)?.engine !== undefined) yield id;
}
