/** The replicas of a run, spread over some processes. */
import { fileURLToPath } from 'node:url';

import type { ProcessGroup, RunningProcess } from '../processes/index.js';
import type {
  Arrival,
  Behaviour,
  Holdable,
  ReplicaCommand,
  ReplicaNews,
  ReplicaOptions,
} from './messages.js';

const PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));

/** What a fleet of replicas is made of. */
export interface ReplicaFleetOptions {
  readonly processes: ProcessGroup;
  readonly replicas: readonly ReplicaOptions[];
  /** Processes that the replicas are divided between. */
  readonly processCount: number;
  readonly logFile: (name: string) => string;
  readonly onArrival: (arrival: Arrival) => void;
}

interface Host {
  readonly running: RunningProcess;
  readonly ids: readonly string[];
}

/** The replicas. */
export class ReplicaFleet {
  readonly ports = new Map<string, number>();

  private readonly hosts: Host[] = [];

  constructor(private readonly options: ReplicaFleetOptions) {}

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
  }

  /** Has some replicas treat their requests in another way. */
  behave(ids: readonly string[], behaviour: Behaviour): void {
    this.command((own) => ({ type: 'behave', ids: own.filter((id) => ids.includes(id)), behaviour }));
  }

  /** Holds up the path to some replicas, or reopens it. */
  hold(ids: readonly string[], what: Holdable, isHeld: boolean): void {
    this.command((own) => ({ type: 'hold', ids: own.filter((id) => ids.includes(id)), what, isHeld }));
  }

  private command(make: (ids: readonly string[]) => ReplicaCommand): void {
    for (const { running, ids } of this.hosts) if (running.child.connected) running.child.send(make(ids));
  }

  private startProcess(name: string, replicas: readonly ReplicaOptions[]): Promise<void> {
    const { processes, logFile, onArrival } = this.options;
    const running = processes.start({ name, args: [PROGRAM], logFile: logFile(name), hasMessages: true });
    this.hosts.push({ running, ids: replicas.map(({ id }) => id) });
    return new Promise((resolve, reject) => {
      running.child.on('message', (news: ReplicaNews) => {
        if (news.type === 'arrivals') news.arrivals.forEach(onArrival);
        else {
          for (const [id, port] of news.ports) this.ports.set(id, port);
          resolve();
        }
      });
      void running.ended.then(() => reject(new Error(`${name} has ended.`)));
      running.child.send({ type: 'start', replicas } satisfies ReplicaCommand);
    });
  }
}
