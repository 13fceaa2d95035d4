/**
 * Migrates streams off engines that are shut down at short notice.
 *
 * The shutdown of an engine cuts the streams that it runs, and a stream that must not be retried is lost.
 * Shortly before the shutdown, each stream that still runs is therefore migrated: its adapter is loaded on
 * another engine, the state of its run is copied there while the run continues, then the run is stopped, the
 * rest of the state is copied, and the stream continues on the other engine after its last event.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineControl, EnsureAdapter, Urgency } from '../adapters/index.js';
import type { Choice, Chooser } from '../choice/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { GenerationRequest } from './types.js';

/**
 * Time before the shutdown of an engine at which migrations begin, in milliseconds: the adapters must be
 * loaded on other engines, a quarter of a second each and four at a time. Streams that end before that need
 * no migration.
 */
const MIGRATION_LEAD_MS = 1100;
/**
 * Time before the shutdown in which no migration begins, in milliseconds; a copy takes some tens of
 * milliseconds.
 */
const COPY_RESERVE_MS = 120;
/** Largest age of an engine's report, in milliseconds, with a margin; the protocol specifies a few hundred. */
const REPORT_AGE_MS = 300;
/**
 * Maximum number of reads of a leaving engine's report, REPORT_AGE_MS apart. An engine that leaves without a
 * deadline never reports the time of its shutdown.
 */
const MAX_REPORT_READS = 2;
/** Pause between two choices while no other engine can take a stream, in milliseconds. */
const POLL_INTERVAL_MS = 30;
/** Longest wait in one engine's queue before the choice is made again, in milliseconds. */
const QUEUE_TIMEOUT_MS = 200;

/** What became of a request to copy the state of a run. */
export interface RunCopy {
  /** What the next attempt must carry to continue from the copy; undefined when there is no copy. */
  readonly continuation: string | undefined;
  /** Whether the run had ended before. */
  readonly hadEnded: boolean;
}

/** Copies the state of runs between engines; implemented for each platform. */
export interface RunStateCopier {
  /**
   * Copies the state of a run.
   * @param request - Id of the request.
   * @param isFinal - Whether the run is stopped first, so that the copy is complete.
   */
  copyRunState(from: ReplicaEntry, request: string, to: ReplicaEntry, isFinal: boolean): Promise<RunCopy>;
}

/** A stream that runs on an engine. */
export interface EngineStream {
  /** Id of the request. */
  readonly request: string;
  readonly service: string;
  readonly rank: number;
  readonly generation: GenerationRequest;
  readonly replica: ReplicaEntry;
}

/** Where a stream continues. */
export interface MigratedStream {
  readonly choice: Choice;
  /** What the attempt there must carry. */
  readonly continuation: string;
}

/** Components of the daemon that migrations use. */
export interface MigrationDependencies {
  readonly registry: ReplicaRegistry;
  readonly chooser: Chooser;
  readonly control: Pick<EngineControl, 'report'> & RunStateCopier;
  /** Whether what a replica has declared allows a migrated stream to be sent to it now. */
  readonly acceptsStream: (replica: string) => boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly ensure: EnsureAdapter;
}

/** Migrates one stream when its engine is about to be shut down. */
export class StreamMigration {
  private readonly streamEnd = new AbortController();

  private migration: Promise<MigratedStream | undefined> | undefined;

  private shutdownAt = Number.NEGATIVE_INFINITY;

  private wasRunStopped = false;

  constructor(
    private readonly parts: MigrationDependencies,
    readonly stream: EngineStream,
  ) {}

  /**
   * Migrates the stream if it still runs shortly before the shutdown of its engine.
   * @param shutdownAt - Monotonic time of the shutdown, in milliseconds.
   */
  start(shutdownAt: number): void {
    this.shutdownAt = shutdownAt;
    this.migration ??= this.migrate().catch((err: unknown) => {
      this.parts.log.warn(`Failed to migrate stream ${this.stream.request}: ${String(err)}.`);
      return undefined;
    });
  }

  /** Whether the migration has ordered the run to stop, which also interrupts the stream, and found it running. */
  get hasStoppedRun(): boolean {
    return this.wasRunStopped;
  }

  /**
   * Returns where an interrupted stream continues; undefined when the migration failed or did not cause the
   * interruption. In the latter case the migration is cancelled.
   */
  resultAfterCut(): Promise<MigratedStream | undefined> {
    if (this.wasRunStopped && this.migration !== undefined) return this.migration;
    this.cancel();
    return Promise.resolve(undefined);
  }

  /** Cancels the migration, as the stream has ended. */
  cancel(): void {
    this.streamEnd.abort();
  }

  private get hasEnded(): boolean {
    return this.streamEnd.signal.aborted;
  }

  /** Time until the shutdown less the reserve for the copy, in milliseconds. */
  private remainingMs(): number {
    return this.shutdownAt - this.parts.timers.now() - COPY_RESERVE_MS;
  }

  private async migrate(): Promise<MigratedStream | undefined> {
    const { control, timers } = this.parts;
    const { replica, request } = this.stream;
    await timers
      .sleep(Math.max(0, this.remainingMs() - MIGRATION_LEAD_MS), this.streamEnd.signal)
      .catch(() => undefined);
    const choice = await this.copyRunningState();
    if (choice === undefined) return undefined;
    this.wasRunStopped = true;
    const { continuation, hadEnded } = await control.copyRunState(replica, request, choice.replica, true);
    this.wasRunStopped = !hadEnded;
    this.logMigration(choice.replica, continuation);
    return continuation === undefined ? undefined : { choice, continuation };
  }

  /**
   * Copies the state of the run to another engine while the run goes on.
   * @returns The engine, which takes the stream at this moment; undefined when there is none, no copy, or the
   *   stream has ended.
   */
  private async copyRunningState(): Promise<Choice | undefined> {
    const { control, acceptsStream } = this.parts;
    const { replica, request } = this.stream;
    for (;;) {
      const choice = await this.prepareTarget();
      if (choice === undefined || this.hasEnded) return undefined;
      const { continuation } = await control.copyRunState(replica, request, choice.replica, false);
      if (continuation === undefined || this.hasEnded) return undefined;
      if (acceptsStream(choice.replica.id)) return choice;
    }
  }

  /**
   * Chooses another engine for the stream and loads its adapter there; undefined when there is no time left or
   * the stream has ended.
   */
  private async prepareTarget(): Promise<Choice | undefined> {
    const { chooser, timers } = this.parts;
    const { replica, service, generation, rank } = this.stream;
    const { softwareVersion } = replica;
    // The state of a run fits engines of the same version only.
    if (softwareVersion === undefined) return undefined;
    const loadFailed = new Set<string>();
    const tried = new Set([replica.id]);
    while (!this.hasEnded && this.remainingMs() > 0) {
      const { model, adapter } = generation;
      const need = {
        service,
        model,
        adapter,
        softwareVersion,
        beginsResumable: false,
        tried,
        unreached: new Set<string>(),
        cannotLoad: loadFailed,
        rank,
        isUnderWay: true,
        rankForSuspect: undefined,
      };
      const choice = chooser.choose(need);
      if (choice === undefined || choice.replica.id === replica.id) {
        loadFailed.clear();
        await timers.sleep(POLL_INTERVAL_MS);
      } else if (!choice.needsLoad) return choice;
      else if (await this.load(choice.replica, loadFailed)) return choice;
    }
    return undefined;
  }

  private async load(target: ReplicaEntry, loadFailed: Set<string>): Promise<boolean> {
    const { generation, rank } = this.stream;
    const remainingMs = Math.max(1, this.remainingMs());
    const urgency: Urgency = {
      rank,
      waitedMs: 0,
      lastCallMs: remainingMs,
      patienceMs: Math.min(remainingMs, QUEUE_TIMEOUT_MS),
      timeoutMs: remainingMs,
    };
    const ref = { model: generation.model, adapter: generation.adapter!, version: undefined };
    try {
      return await this.parts.ensure(target, ref, urgency);
    } catch (err) {
      this.parts.log.debug(`Failed to load ${generation.adapter} on ${target.id}: ${String(err)}.`);
      loadFailed.add(target.id);
      return false;
    }
  }

  private logMigration(target: ReplicaEntry, continuation: string | undefined): void {
    const { replica, request } = this.stream;
    const text = continuation === undefined ? 'could not be moved' : 'moves';
    this.parts.log.decide('stream.moved', `The stream ${text} from ${replica.id} to ${target.id}.`, {
      request,
      from: replica.id,
      to: target.id,
      timeLeftMs: Math.round(this.remainingMs()),
    });
  }
}

/** Tracks the streams of a daemon by engine, and migrates those of engines that announce their shutdown. */
export class StreamMigrator {
  /** Running streams by the id of their engine. */
  private readonly byEngine = new Map<string, Set<StreamMigration>>();

  constructor(private readonly parts: MigrationDependencies) {
    parts.registry.onReplica((_id, entry, before) => {
      const isNowLeaving = entry?.state === ReplicaState.Leaving && before?.state !== ReplicaState.Leaving;
      if (isNowLeaving && this.byEngine.has(entry.id)) void this.startOnShutdownNotice(entry);
    });
  }

  /**
   * Reads the report of a leaving engine until it states the time of the shutdown, at most MAX_REPORT_READS
   * times, and then starts the migrations.
   */
  private async startOnShutdownNotice(engine: ReplicaEntry): Promise<void> {
    const { control, timers, log } = this.parts;
    for (let read = 0; read < MAX_REPORT_READS && this.byEngine.has(engine.id); read += 1) {
      await timers.sleep(REPORT_AGE_MS);
      const remainingMs = await control.report(engine).then(
        (report) => report.remainingMs,
        (err: unknown) => {
          log.debug(`Failed to read the report of leaving engine ${engine.id}: ${String(err)}.`);
          return undefined;
        },
      );
      if (remainingMs === undefined) continue;
      const shutdownAt = timers.now() + remainingMs - REPORT_AGE_MS;
      for (const migration of this.byEngine.get(engine.id) ?? []) migration.start(shutdownAt);
      return;
    }
  }

  /**
   * Registers a stream that begins.
   * @returns Its migration, to be passed to {@link complete} when the attempt has ended.
   */
  register(stream: EngineStream): StreamMigration {
    const migration = new StreamMigration(this.parts, stream);
    const { id } = stream.replica;
    const streams = this.byEngine.get(id) ?? new Set();
    this.byEngine.set(id, streams.add(migration));
    return migration;
  }

  /**
   * Unregisters a stream whose attempt has ended.
   * @param migration - What {@link register} returned.
   * @param mayBeCut - Whether the stream may have been interrupted, as it is when its migration stops the run.
   * @returns Where the stream continues; undefined when it was not migrated.
   */
  async complete(migration: StreamMigration, mayBeCut: boolean): Promise<MigratedStream | undefined> {
    const { id } = migration.stream.replica;
    const streams = this.byEngine.get(id);
    streams?.delete(migration);
    if (streams?.size === 0) this.byEngine.delete(id);
    if (mayBeCut) return migration.resultAfterCut();
    migration.cancel();
    return undefined;
  }
}
