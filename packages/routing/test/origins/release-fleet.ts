/** A fleet on the virtual clock whose replicas get another software version while one daemon is out of step. */
import type { ReplicaEntry, ReplicaStart, StreamBindingDependencies } from '@celeryyoke/routing';
import {
  FleetSettling,
  PauseDetector,
  ReplicaRegistry,
  replicaId,
  StreamBinding,
  StreamOrigins,
  Topic,
  VersionHistory,
} from '@celeryyoke/routing';

import { createAvailability, engineEntry, log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import { WatchingFleet } from '../fleet/watching-fleet.js';

export const SERVICE = 'engines';
/** Time that callers wait, in milliseconds. */
const CALLER_TIMEOUT_MS = 15_000;
/** Id of the last event that a caller has when its stream breaks. */
const LAST_EVENT_ID = 2;
/** Replica that the store of the tests lists from the start. */
const FIRST_NAME = 'e1';
const COLD_START_MS = 12_000;
/** Time in which a replica reports, in milliseconds. */
const REPORT_MS = 5;

/** The process that runs under the name of a replica. */
interface EngineProcess {
  readonly softwareVersion: string;
  readonly bornAt: number;
}

/** A stream that a replica has begun. */
export interface BegunStream {
  readonly id: string;
  /** What it was asked for with, which determines the owners of its record. */
  readonly body: string;
  /** Version of the process that has begun it. */
  readonly softwareVersion: string;
  /** Whether the daemon that passed it on took another process for the one that began it. */
  readonly isMistaken: boolean;
}

/** How a take-up ended. */
export enum TakeUp {
  /** Every replica that the daemon may choose goes on with the stream. */
  Continued = 'continued',
  Refused = 'refused',
  /** A replica that the daemon may choose has another version than the one that began the stream. */
  Joined = 'joined',
}

/** What one daemon knows of streams and versions. */
interface StreamParts extends StreamBindingDependencies {
  readonly origins: StreamOrigins;
  readonly registry: ReplicaRegistry;
  readonly history: VersionHistory;
  readonly pauses: PauseDetector;
}

/** The daemons, the store, and the processes that its entries tell of. */
export class ReleaseFleet {
  readonly watching: WatchingFleet;

  private readonly parts = new Map<string, StreamParts>();

  /** Processes that run, by the name of the replica. */
  private readonly processes = new Map<string, EngineProcess>();

  private streamCount = 0;

  constructor() {
    this.watching = new WatchingFleet({
      onDaemon: (daemon) => this.parts.set(daemon.address, this.createParts(daemon)),
      onFirstList: ({ address }) => {
        void this.parts.get(address)!.history.askStore();
      },
    });
    this.watching.store.hasWholeHistory = true;
  }

  get timers() {
    return this.watching.fleet.timers;
  }

  /** Starts daemons and replicas, and waits until the daemons know them. */
  async start(daemonCount: number, names: readonly string[], softwareVersion: string): Promise<void> {
    this.watching.store.put(FIRST_NAME, undefined);
    for (const name of names) this.startReplica(name, softwareVersion);
    await this.watching.settle(daemonCount);
    await this.timers.advance(COLD_START_MS);
  }

  /**
   * Starts a process, also under the name of one before.
   * @param listedAfterMs - Time until the store has its entry, in milliseconds.
   */
  startReplica(name: string, softwareVersion: string, listedAfterMs = 0): void {
    const bornAt = this.timers.now() + 1;
    this.processes.set(name, { softwareVersion, bornAt });
    const entry = { ...engineEntry(replicaId(name, bornAt)), name, bornAt, softwareVersion };
    if (listedAfterMs === 0) this.watching.store.put(name, entry);
    else this.timers.after(listedAfterMs, () => this.watching.store.put(name, entry));
  }

  /** Removes a replica's entry; its process ends later. */
  removeReplica(name: string, endsAfterMs: number): void {
    this.watching.store.put(name, undefined);
    this.timers.after(endsAfterMs, () => this.processes.delete(name));
  }

  /** Replicas to which a daemon may send what begins a stream. */
  replicasOf(daemon: TestDaemon): readonly ReplicaEntry[] {
    return this.partsOf(daemon).registry.readyReplicas(SERVICE);
  }

  /**
   * Begins a stream that breaks after a while.
   * @returns Undefined if the daemon passes nothing of its response on.
   */
  begin(
    daemon: TestDaemon,
    replica: ReplicaEntry,
    body: string,
    breaksAfterMs: number,
  ): BegunStream | undefined {
    const runs = this.processes.get(replica.name);
    this.streamCount += 1;
    const id = `s${this.streamCount}`;
    const binding = this.bind(daemon, body, { id, lastEventId: undefined, firstAttempt: undefined });
    if (runs === undefined || !this.isProved(binding, replica)) return undefined;
    binding.begin(replica, this.prove(daemon, replica));
    this.timers.after(breaksAfterMs, () => binding.end(false));
    const { softwareVersion } = runs;
    return { id, body, softwareVersion, isMistaken: softwareVersion !== replica.softwareVersion };
  }

  /** Proves, with a report, which process has begun a stream, and publishes a start that the report shows. */
  private async prove(daemon: TestDaemon, { name, bornAt }: ReplicaEntry): Promise<boolean> {
    await this.timers.sleep(REPORT_MS);
    const runs = this.processes.get(name);
    if (runs === undefined) return false;
    const start = { name, bornAt: runs.bornAt };
    if (this.partsOf(daemon).registry.recordStart(start)) daemon.tree.publish(Topic.ReplicaStart, start);
    return runs.bornAt === bornAt;
  }

  /** Whether a process runs that could go on with a stream. */
  canContinue({ softwareVersion }: BegunStream): boolean {
    return [...this.processes.values()].some((runs) => runs.softwareVersion === softwareVersion);
  }

  /**
   * Has a caller resume a stream at a daemon.
   * @param timeoutMs - Time left until the deadline, in milliseconds.
   */
  async takeUp(
    daemon: TestDaemon,
    stream: BegunStream,
    timeoutMs: number = CALLER_TIMEOUT_MS,
  ): Promise<TakeUp> {
    const head = { id: `${stream.id}-again`, lastEventId: LAST_EVENT_ID, firstAttempt: stream.id };
    const binding = this.bind(daemon, stream.body, head, timeoutMs);
    await binding.resume();
    if (binding.isStuck) return TakeUp.Refused;
    const serving = this.partsOf(daemon)
      .registry.readyReplicas(SERVICE, binding.softwareVersion)
      .filter((replica) => this.isProved(binding, replica))
      .map(({ name }) => this.processes.get(name)?.softwareVersion)
      .filter((version) => version !== undefined);
    if (serving.some((version) => version !== stream.softwareVersion)) return TakeUp.Joined;
    return serving.length > 0 ? TakeUp.Continued : TakeUp.Refused;
  }

  /** Number of owners that a daemon asks for the record of a stream. */
  async ownersAsked(daemon: TestDaemon, body: string): Promise<number> {
    const { askedCount } = await this.partsOf(daemon).origins.lookUp({ request: body, attempt: undefined });
    return askedCount;
  }

  stop(): void {
    for (const { history, origins, pauses } of this.parts.values()) {
      history.stop();
      origins.stop();
      pauses.stop();
    }
    this.watching.stop();
    for (const daemon of this.watching.fleet.running()) daemon.kill();
  }

  private partsOf({ address }: TestDaemon): StreamParts {
    return this.parts.get(address)!;
  }

  private bind(
    daemon: TestDaemon,
    body: string,
    head: { id: string; lastEventId: number | undefined; firstAttempt: string | undefined },
    timeoutMs: number = CALLER_TIMEOUT_MS,
  ): StreamBinding {
    const deadline = this.timers.now() + timeoutMs;
    return new StreamBinding(this.partsOf(daemon), {
      head: { ...head, waitMs: undefined },
      route: { name: 'resume', timeoutMs: CALLER_TIMEOUT_MS },
      account: undefined,
      arrivedAt: this.timers.now(),
      unreadMs: 0,
      service: SERVICE,
      fingerprint: () => body,
      lastCallMs: () => deadline - this.timers.now(),
    });
  }

  /** Whether the incarnation that an entry tells of runs, where that has to be proved. */
  private isProved(binding: StreamBinding, replica: ReplicaEntry): boolean {
    const needsProof = binding.versionToProve(replica) !== undefined;
    return !needsProof || this.processes.get(replica.name)?.bornAt === replica.bornAt;
  }

  private createParts(daemon: TestDaemon): StreamParts {
    const { address: self, cluster, view } = daemon;
    const timers = timersOf(this.watching.fleet.network, self);
    const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
    daemon.tree.register<ReplicaStart>(Topic.ReplicaStart, {
      isUrgent: true,
      keyOf: ({ name }) => name,
      merge: (start) => registry.recordStart(start),
      snapshot: () => [],
      encode: ({ name, bornAt }) => [name, bornAt],
      decode: (wire) => {
        const [name, bornAt] = wire as [string, number];
        return { name, bornAt };
      },
    });
    const pauses = new PauseDetector(timers, () => undefined);
    pauses.start();
    const settling = new FleetSettling({
      alive: () => cluster.aliveAddresses(),
      hasSharedState: () => daemon.tree.hasSharedState,
      timers,
    });
    const history = new VersionHistory({
      self,
      cluster,
      registry,
      view,
      timers,
      log,
      resumedAt: () => pauses.resumedAt,
      hasSettled: () => settling.hasSettled(),
      source: this.watching.store.sourceOf(self),
      replicaWriteIntervalMs: 0,
    });
    const origins = new StreamOrigins({ self, cluster, history, timers, log });
    const callerDeadlines = history.deadlines;
    return { registry, pauses, history, origins, callerDeadlines, timers, log, viewAgeMs: () => view.ageMs };
  }
}
