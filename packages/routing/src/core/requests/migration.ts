/**
 * Moves streams off engines that are taken away at short notice.
 *
 * An engine that is gone cuts what it runs, and a stream that may not be repeated is lost with it. So shortly before,
 * each stream that still runs gets its adapter on another engine, has its memory copied there while it goes on, and
 * then stops, is copied for the rest and goes on there behind its last event.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineControl, EnsureAdapter, Urgency } from '../adapters/index.js';
import type { Choice, Chooser } from '../choice/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { GenerationNeed } from './types.js';

/**
 * Time before an engine is gone at which its streams are moved, in milliseconds: the adapters must be loaded on other
 * engines, which takes a quarter second each and four at a time. Streams that end before need not be moved.
 */
const LEAD_MS = 1100;
/** Time before an engine is gone after which nothing is moved any more, in milliseconds: a copy takes some ten. */
const RESERVE_MS = 120;
/** Age of what an engine reports, in milliseconds, with a margin; the protocol says some hundred. */
const REPORT_AGE_MS = 300;
/** Looks at the report of a leaving engine, one for each such age; one that leaves in peace never says when. */
const REPORT_LOOKS = 2;
/** Pause between two looks for an engine, in milliseconds. */
const LOOK_MS = 30;
/** Longest wait in one engine's queue, in milliseconds, before the choice is made again. */
const QUEUE_SLICE_MS = 200;

/** Copies the memory of runs between engines; a dialect implements it. */
export interface RunMover {
  /**
   * Copies a run's memory.
   * @param from - The engine that runs it.
   * @param request - The request's id.
   * @param to - The engine that gets the copy.
   * @param isLast - Whether the run stops first.
   * @returns What a send must bear to go on from the copy, or undefined when there is none.
   */
  move(from: ReplicaEntry, request: string, to: ReplicaEntry, isLast: boolean): Promise<string | undefined>;
}

/** A stream that runs on an engine. */
export interface EngineStream {
  readonly request: string;
  readonly service: string;
  readonly rank: number;
  readonly generation: GenerationNeed;
  readonly replica: ReplicaEntry;
}

/** Where a stream goes on. */
export interface Moved {
  readonly choice: Choice;
  /** What the send must bear. */
  readonly continuation: string;
}

/** What migrations use of the daemon. */
export interface StreamMigrationParts {
  readonly registry: ReplicaRegistry;
  readonly chooser: Chooser;
  readonly control: Pick<EngineControl, 'report'> & RunMover;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly ensure: EnsureAdapter;
}

/** A stream that is moved when its engine is taken away. */
export class StreamMigration {
  private readonly ended = new AbortController();

  private moving: Promise<Moved | undefined> | undefined;

  private goneAt = Number.NEGATIVE_INFINITY;

  /** Whether the run has been told to stop, so that its stream is cut by its own move. */
  private isStopping = false;

  /**
   * Makes one that has not begun.
   * @param parts - The daemon's parts.
   * @param stream - The stream.
   */
  constructor(
    private readonly parts: StreamMigrationParts,
    readonly stream: EngineStream,
  ) {}

  /**
   * Moves the stream if it still runs shortly before its engine is gone.
   * @param goneAt - Monotonic time at which the engine is gone.
   */
  begin(goneAt: number): void {
    this.goneAt = goneAt;
    this.moving ??= this.run().catch((err: unknown) => {
      this.parts.log.warn(`Stream ${this.stream.request} could not be moved: ${String(err)}.`);
      return undefined;
    });
  }

  /** The stream was cut. Where it goes on, when it was stopped for that; undefined when it was not. */
  moved(): Promise<Moved | undefined> {
    if (this.isStopping && this.moving !== undefined) return this.moving;
    this.end();
    return Promise.resolve(undefined);
  }

  /** The stream has ended. */
  end(): void {
    this.ended.abort();
  }

  private get hasEnded(): boolean {
    return this.ended.signal.aborted;
  }

  /** Time in which the stream must have been moved, in milliseconds. */
  private timeLeft(): number {
    return this.goneAt - this.parts.timers.now() - RESERVE_MS;
  }

  private async run(): Promise<Moved | undefined> {
    const { control, timers } = this.parts;
    const { replica, request } = this.stream;
    await timers.sleep(Math.max(0, this.timeLeft() - LEAD_MS), this.ended.signal).catch(() => undefined);
    const choice = await this.prepare();
    if (choice === undefined || this.hasEnded) return undefined;
    const copied = await control.move(replica, request, choice.replica, false);
    if (copied === undefined || this.hasEnded) return undefined;
    this.isStopping = true;
    const continuation = await control.move(replica, request, choice.replica, true);
    this.tell(choice.replica, continuation);
    return continuation === undefined ? undefined : { choice, continuation };
  }

  /** Finds an engine for the stream and has its adapter there. */
  private async prepare(): Promise<Choice | undefined> {
    const { chooser, timers } = this.parts;
    const { replica, service, generation, rank } = this.stream;
    const unloadable = new Set<string>();
    const tried = new Set([replica.id]);
    while (!this.hasEnded && this.timeLeft() > 0) {
      const { model, adapter } = generation;
      const need = { service, model, adapter, tried, unloadable, rank, isLate: false, isUnderWay: true };
      const choice = chooser.choose(need);
      if (choice === undefined || choice.replica.id === replica.id) {
        unloadable.clear();
        await timers.sleep(LOOK_MS);
      } else if (!choice.needsLoad) return choice;
      else if (await this.load(choice.replica, unloadable)) return choice;
    }
    return undefined;
  }

  private async load(target: ReplicaEntry, unloadable: Set<string>): Promise<boolean> {
    const { generation, rank } = this.stream;
    const leftMs = Math.max(1, this.timeLeft());
    const urgency: Urgency = {
      rank,
      waitedMs: 0,
      dueInMs: leftMs,
      lastCallMs: leftMs,
      patienceMs: Math.min(leftMs, QUEUE_SLICE_MS),
      timeoutMs: leftMs,
    };
    const ref = { model: generation.model, adapter: generation.adapter!, version: undefined };
    try {
      return await this.parts.ensure(target, ref, urgency);
    } catch (err) {
      this.parts.log.debug(`${generation.adapter} does not come to ${target.id}: ${String(err)}.`);
      unloadable.add(target.id);
      return false;
    }
  }

  private tell(target: ReplicaEntry, continuation: string | undefined): void {
    const { replica, request } = this.stream;
    const text = continuation === undefined ? 'could not be moved' : 'moves';
    this.parts.log.decide('stream.moved', `The stream ${text} from ${replica.id} to ${target.id}.`, {
      request,
      from: replica.id,
      to: target.id,
      timeLeftMs: Math.round(this.timeLeft()),
    });
  }
}

/** The streams of a daemon, by the engine that runs them. */
export class StreamMigrations {
  private readonly running = new Map<string, Set<StreamMigration>>();

  /**
   * Makes a list without streams.
   * @param parts - The daemon's parts.
   */
  constructor(private readonly parts: StreamMigrationParts) {
    parts.registry.onReplica((_id, entry, before) => {
      const hasLeft = entry?.state === ReplicaState.Leaving && before?.state !== ReplicaState.Leaving;
      if (hasLeft && this.running.has(entry.id)) void this.askWhen(entry);
    });
  }

  /** Asks a leaving engine when it is gone, until it says so or shows that it leaves in peace. */
  private async askWhen(engine: ReplicaEntry): Promise<void> {
    const { control, timers, log } = this.parts;
    for (let look = 0; look < REPORT_LOOKS && this.running.has(engine.id); look += 1) {
      await timers.sleep(REPORT_AGE_MS);
      const remainingMs = await control.report(engine).then(
        (report) => report.remainingMs,
        (err: unknown) => {
          log.debug(`Leaving engine ${engine.id} does not say when: ${String(err)}.`);
          return undefined;
        },
      );
      if (remainingMs === undefined) continue;
      const goneAt = timers.now() + remainingMs - REPORT_AGE_MS;
      for (const migration of this.running.get(engine.id) ?? []) migration.begin(goneAt);
      return;
    }
  }

  /**
   * Notes that a stream begins.
   * @param stream - The stream.
   * @returns Its migration; told when the stream has ended.
   */
  enter(stream: EngineStream): StreamMigration {
    const migration = new StreamMigration(this.parts, stream);
    const { id } = stream.replica;
    const streams = this.running.get(id) ?? new Set();
    this.running.set(id, streams.add(migration));
    return migration;
  }

  /**
   * Notes that a send of a stream has ended.
   * @param migration - What {@link enter} returned.
   * @param wasCut - Whether it was cut, as by its own move.
   * @returns Where it goes on; undefined when it was not moved.
   */
  async leave(migration: StreamMigration, wasCut: boolean): Promise<Moved | undefined> {
    const { id } = migration.stream.replica;
    const streams = this.running.get(id);
    streams?.delete(migration);
    if (streams?.size === 0) this.running.delete(id);
    if (wasCut) return migration.moved();
    migration.end();
    return undefined;
  }
}
