/** The replicas of a run, spread over some processes. */
import { fileURLToPath } from 'node:url';

import type { TimerService } from '@celeryyoke/core';
import type { PathCut } from '@celeryyoke/routing/testing';

import type { ProcessGroup, RunningProcess } from '../processes/index.js';
import type {
  Abandonment,
  Arrival,
  ReplicaCommand,
  ReplicaCrash,
  ReplicaFall,
  ReplicaNews,
  ReplicaOptions,
} from './messages.js';
import { Behaviour, EngineEnd, FIRST_VERSION, Holdable, incarnationId } from './messages.js';

const PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));

/** What a fleet of replicas is made of. */
export interface ReplicaFleetOptions {
  readonly processes: ProcessGroup;
  readonly replicas: readonly ReplicaOptions[];
  /** Processes that the replicas are divided between. */
  readonly processCount: number;
  readonly logFile: (name: string) => string;
  readonly onArrival: (arrival: Arrival) => void;
  /** Called when a replica that had crashed listens again, with the incarnation that has ended. */
  readonly onRestart: (id: string, before: string) => void;
  readonly timers: TimerService;
}

/** A time in which a replica did not read what was sent to it. */
export interface Interruption {
  /** Name of the replica throughout the run. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly from: number;
  /** Unix milliseconds; undefined while it lasts. */
  until: number | undefined;
}

/** From when on a replica has a software version. */
export interface VersionChange {
  /** Name of the replica throughout the run. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Undefined while it is down. */
  readonly softwareVersion: string | undefined;
}

type NewsHandler<Type extends ReplicaNews['type']> = (news: Extract<ReplicaNews, { type: Type }>) => void;

interface Host {
  readonly running: RunningProcess;
  readonly ids: readonly string[];
}

/** Name of a replica throughout the run. */
function idOf(incarnation: string): string {
  const [id] = incarnation.split('.');
  return id!;
}

/** The replicas. */
export class ReplicaFleet {
  readonly ports = new Map<string, number>();

  /** Times in which replicas read nothing, the earliest first. */
  readonly interruptions: Interruption[] = [];

  /** Crashes, in the order in which they were reported. */
  readonly crashes: ReplicaCrash[] = [];

  /** Falls of brittle replicas, in the order in which they were reported. */
  readonly falls: ReplicaFall[] = [];

  /** Requests whose connections daemons closed while sound replicas worked on them, in the order of the reports. */
  readonly abandonments: Abandonment[] = [];

  /** Times in which replicas treat most of their requests badly, the earliest first. */
  readonly misbehaviours: Interruption[] = [];

  /** Times from which on replicas say that they leave until they are replaced, the earliest first. */
  readonly departures: Interruption[] = [];

  /** Software versions of the engines and their changes, the earliest first. */
  readonly versionChanges: VersionChange[] = [];

  private readonly versions = new Map<string, string>();

  private readonly hosts: Host[] = [];

  private readonly replacements = new Map<string, number>();

  constructor(private readonly options: ReplicaFleetOptions) {}

  /** Names of the replicas of the plain service. */
  get plainIds(): string[] {
    return this.options.replicas.filter(({ isEngine }) => !isEngine).map(({ id }) => id);
  }

  /** Names of the engines. */
  get engineIds(): string[] {
    return this.options.replicas.filter(({ isEngine }) => isEngine).map(({ id }) => id);
  }

  /** Names of all replicas. */
  get ids(): string[] {
    return this.options.replicas.map(({ id }) => id);
  }

  /** Processes of the replicas. */
  get processes(): RunningProcess[] {
    return this.hosts.map(({ running }) => running);
  }

  /** Starts all of them. */
  async start(): Promise<void> {
    const { replicas, processCount } = this.options;
    const parts = Array.from({ length: processCount }, (_, part) =>
      replicas.filter((_replica, index) => index % processCount === part),
    );
    await Promise.all(parts.map((part, index) => this.startProcess(`replicas-${index}`, part)));
    for (const id of this.engineIds) this.noteVersion(id, FIRST_VERSION);
  }

  /** Has some replicas treat their requests in another way. */
  behave(ids: readonly string[], behaviour: Behaviour): void {
    this.note(this.misbehaviours, ids, behaviour !== Behaviour.Serve);
    this.commandSome(ids, (own) => ({ type: 'behave', ids: own, behaviour }));
  }

  /** Has some replicas say in all their responses that they leave. */
  leave(ids: readonly string[]): void {
    this.note(this.departures, ids, true);
    this.commandSome(ids, (own) => ({ type: 'leave', ids: own }));
  }

  /** Has some replicas say that they are brittle and be so, or ends that. */
  setBrittle(ids: readonly string[], isBrittle: boolean): void {
    this.commandSome(ids, (own) => ({ type: 'brittle', ids: own, isBrittle }));
  }

  /** Replaces some replicas by new incarnations with the same address. */
  replace(ids: readonly string[]): void {
    for (const id of ids) this.countReplacement(id);
    this.note(this.departures, ids, false);
    this.commandSome(ids, (own) => ({ type: 'replace', ids: own }));
  }

  /** Replaces some replicas by new incarnations of another software version with the same address. */
  upgrade(ids: readonly string[], softwareVersion: string): void {
    for (const id of ids) this.versions.set(id, softwareVersion);
    this.commandSome(ids, (own) => ({ type: 'upgrade', ids: own, softwareVersion }));
  }

  /** Software version that a replica has, or will have when it is back. */
  versionOf(id: string): string {
    return this.versions.get(id) ?? FIRST_VERSION;
  }

  /** Current incarnation of a replica. */
  incarnationOf(id: string): string {
    return incarnationId(id, this.replacements.get(id) ?? 0);
  }

  /** Cuts hosts off from all replicas, or heals their cut. */
  cut(hosts: readonly string[], cut: PathCut | undefined): void {
    this.command(() => ({ type: 'cut', hosts, cut }));
  }

  /** Holds up the path to some replicas, or reopens it. */
  hold(ids: readonly string[], what: Holdable, isHeld: boolean): void {
    if (what === Holdable.Everything) this.note(this.interruptions, ids, isHeld);
    this.commandSome(ids, (own) => ({ type: 'hold', ids: own, what, isHeld }));
  }

  /** Stops processes of replicas, or lets them go on. */
  freeze(processes: readonly RunningProcess[], isFrozen: boolean): void {
    for (const { child } of processes) child.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
    const ids = this.hosts
      .filter(({ running }) => processes.includes(running))
      .flatMap(({ ids: own }) => own);
    this.note(this.interruptions, ids, isFrozen);
  }

  private countReplacement(id: string): void {
    this.replacements.set(id, (this.replacements.get(id) ?? 0) + 1);
  }

  private recordRestart(id: string): void {
    const before = this.incarnationOf(id);
    this.note(this.interruptions, [id], false);
    this.countReplacement(id);
    this.noteVersion(id, this.versionOf(id));
    this.options.onRestart(id, before);
  }

  private noteVersion(replica: string, softwareVersion: string | undefined): void {
    if (!this.engineIds.includes(replica)) return;
    this.versionChanges.push({ replica, at: this.options.timers.wall(), softwareVersion });
  }

  private note(times: Interruption[], ids: readonly string[], begins: boolean): void {
    const now = this.options.timers.wall();
    for (const replica of ids) {
      if (begins) times.push({ replica, from: now, until: undefined });
      else {
        const open = times.find(({ replica: id, until }) => id === replica && until === undefined);
        if (open !== undefined) open.until = now;
      }
    }
  }

  /**
   * Sends a command for some replicas.
   * @param make - Makes the command for those of them that one process runs.
   */
  private commandSome(ids: readonly string[], make: (own: readonly string[]) => ReplicaCommand): void {
    this.command((own) => make(own.filter((id) => ids.includes(id))));
  }

  private command(make: (ids: readonly string[]) => ReplicaCommand): void {
    for (const { running, ids } of this.hosts) if (running.child.connected) running.child.send(make(ids));
  }

  private startProcess(name: string, replicas: readonly ReplicaOptions[]): Promise<void> {
    const { processes, logFile, onArrival } = this.options;
    const running = processes.start({ name, args: [PROGRAM], logFile: logFile(name), hasMessages: true });
    this.hosts.push({ running, ids: replicas.map(({ id }) => id) });
    return new Promise((resolve, reject) => {
      const handlers: { readonly [Type in ReplicaNews['type']]: NewsHandler<Type> } = {
        started: ({ ports }) => {
          for (const [id, port] of ports) this.ports.set(id, port);
          resolve();
        },
        arrivals: ({ arrivals }) => arrivals.forEach(onArrival),
        crashed: ({ crash }) => {
          this.crashes.push(crash);
          if (crash.end === EngineEnd.Silent) this.note(this.interruptions, [idOf(crash.replica)], true);
          this.noteVersion(idOf(crash.replica), undefined);
        },
        fell: ({ fall }) => {
          this.falls.push(fall);
        },
        abandoned: ({ abandonment }) => {
          this.abandonments.push(abandonment);
        },
        restarted: ({ id }) => this.recordRestart(id),
      };
      running.child.on('message', (news: ReplicaNews) => handlers[news.type](news as never));
      void running.ended.then(() => reject(new Error(`${name} has ended.`)));
      running.child.send({ type: 'start', replicas } satisfies ReplicaCommand);
    });
  }
}
