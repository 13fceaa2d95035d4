/** The processes of a run: started, signalled and ended by their ids. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';

const SIGNALS = ['SIGINT', 'SIGTERM'] as const;

function exitWithFailure(): void {
  process.exit(1);
}

/** What is started. */
export interface ProcessOptions {
  readonly name: string;
  /** Arguments of Node.js: its flags, the program, the program's own. */
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** File that gets its output, at the end. */
  readonly logFile: string;
  /** Whether messages go to and from it. */
  readonly hasMessages?: boolean;
}

/** A process that this run has started. */
export interface RunningProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves when it has ended. */
  readonly ended: Promise<void>;
}

/** All processes of a run. */
export class ProcessGroup {
  /** Whether the run is over, so that nothing is to be started. */
  isStopped = false;

  private readonly running = new Set<RunningProcess>();

  /** Ends all when this process ends, whatever ends it. */
  constructor() {
    process.once('exit', this.killAll);
    for (const signal of SIGNALS) process.once(signal, exitWithFailure);
  }

  /**
   * Starts a process.
   * @param options - What is started.
   * @returns The process.
   */
  start({ name, args, env = {}, logFile, hasMessages = false }: ProcessOptions): RunningProcess {
    const output = openSync(logFile, 'a');
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH ?? '', ...env },
      stdio: ['ignore', output, output, ...(hasMessages ? (['ipc'] as const) : [])],
    });
    closeSync(output);
    const ended = new Promise<void>((resolve) => {
      child.once('exit', () => resolve());
      child.once('error', () => resolve());
    });
    const started: RunningProcess = { name, child, ended };
    this.running.add(started);
    void ended.then(() => this.running.delete(started));
    return started;
  }

  /** Ends all processes and waits for that. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const all = [...this.running];
    this.killAll();
    await Promise.all(all.map(({ ended }) => ended));
    process.off('exit', this.killAll);
    for (const signal of SIGNALS) process.off(signal, exitWithFailure);
  }

  private readonly killAll = (): void => {
    for (const { child } of this.running) child.kill('SIGKILL');
  };
}
