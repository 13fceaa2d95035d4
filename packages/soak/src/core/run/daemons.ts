/** The daemons of a run: the bundled program, started as the deploy file does. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import type { TimerService } from '@celeryyoke/core';
import type { RetryBounds } from '@celeryyoke/routing/testing';

import type { DaemonOutage } from '../checks/index.js';
import type { LateLoop, ProcessGroup, RunningProcess } from '../processes/index.js';
import { LATE_LOOP_SIGNAL, LATE_LOOP_VARIABLE } from '../processes/index.js';
import type { DaemonAddress } from '../site/index.js';
import { daemonAddress, settingsOf } from '../site/index.js';

const FLAGS = [
  '--max-old-space-size=200',
  '--max-semi-space-size=1',
  '--liftoff-only',
  '--optimize-for-size',
  '--single-threaded',
] as const;
/** Preloaded, so that a daemon's event loop can be made late. */
const PRELOADED = ['--import', fileURLToPath(new URL('../processes/late-loop.js', import.meta.url))] as const;

/** What the daemons need. */
export interface DaemonsOptions {
  readonly processes: ProcessGroup;
  /** The bundled program. */
  readonly program: string;
  /** Directory of settings and logs. */
  readonly dir: string;
  readonly storePort: number;
  readonly count: number;
  /** Allowed retries of each service, if they are not those of the site. */
  readonly retryBounds?: RetryBounds;
  readonly timers: TimerService;
}

/** The daemons. */
export class Daemons {
  readonly addresses: readonly DaemonAddress[];

  /** All signals that were sent and all starts after the first, the earliest first. */
  readonly outages: DaemonOutage[] = [];

  readonly firstStarts: DaemonOutage[] = [];

  private readonly running = new Map<string, RunningProcess>();

  constructor(private readonly options: DaemonsOptions) {
    this.addresses = Array.from({ length: options.count }, (_, index) => daemonAddress(index));
  }

  /**
   * Starts a daemon unless it runs, or the run is over: faults may end after it.
   * @param daemon - The daemon.
   * @param isFirstStart - Whether the whole fleet starts for the first time.
   */
  start(daemon: DaemonAddress, isFirstStart: boolean): void {
    if (this.running.has(daemon.name) || this.options.processes.isStopped) return;
    // A daemon that shuts down passes on answers after its signal, and knows nothing of them when it starts again.
    if (isFirstStart) this.firstStarts.push({ daemon: daemon.name, at: this.options.timers.wall() });
    else this.recordOutage(daemon.name);
    const { processes, program, dir, storePort, retryBounds } = this.options;
    const settingsFile = join(dir, `${daemon.name}.conf`);
    writeFileSync(settingsFile, settingsOf(daemon, storePort, isFirstStart, retryBounds));
    const started = processes.start({
      name: daemon.name,
      args: [...FLAGS, ...PRELOADED, program],
      env: { CELERYYOKE_NODE_FILE: settingsFile, [LATE_LOOP_VARIABLE]: this.lateLoopFile(daemon) },
      logFile: join(dir, `${daemon.name}.log`),
    });
    this.running.set(daemon.name, started);
    void started.ended.then(() => this.running.delete(daemon.name));
  }

  /**
   * Sends a signal to a daemon that runs.
   * @param daemon - The daemon.
   * @param signal - The signal.
   * @returns Its end; resolved where it does not run.
   */
  signal({ name }: DaemonAddress, signal: NodeJS.Signals): Promise<void> {
    const running = this.running.get(name);
    this.recordOutage(name);
    running?.child.kill(signal);
    return running?.ended ?? Promise.resolve();
  }

  /** Makes the event loop of a daemon late, which is no outage: it stays in touch. */
  delayLoop(daemon: DaemonAddress, lateLoop: LateLoop): void {
    const running = this.running.get(daemon.name);
    if (running === undefined) return;
    writeFileSync(this.lateLoopFile(daemon), JSON.stringify(lateLoop));
    running.child.kill(LATE_LOOP_SIGNAL);
  }

  private lateLoopFile({ name }: DaemonAddress): string {
    return join(this.options.dir, `${name}.late-loop.json`);
  }

  private recordOutage(daemon: string): void {
    this.outages.push({ daemon, at: this.options.timers.wall() });
  }
}
