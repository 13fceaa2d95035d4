/** A daemon: every service in one kernel, its start, its graceful shutdown and its forced one. */
import type { AuditTrail, Kernel } from '@celeryyoke/core';
import { AuditKind, createKernel } from '@celeryyoke/core';
import type { CallerLimits, Custody, ManagedOwnership } from '@celeryyoke/fleet';
import type { CallerServer } from '@celeryyoke/serving';

import type { AdminServer } from '../admin/index.js';
import { Part } from './names.js';
import { clientsService } from './services/clients.js';
import { fleetServices } from './services/fleet.js';
import { foundationServices } from './services/foundation.js';
import { loadingServices } from './services/loading.js';
import { operatorServices } from './services/operators.js';
import { promiseServices } from './services/promises.js';
import type { Readiness } from './services/readiness.js';
import { readinessService } from './services/readiness.js';
import { callersService } from './services/serving.js';
import type { Daemon, DaemonOptions, DaemonPorts, PartOptions } from './types.js';

/** The daemon of one process, or one of several in a test. */
class RunningDaemon implements Daemon {
  readonly stopped: Promise<void>;

  private readonly kernel: Kernel = createKernel();

  private resolveStopped!: () => void;

  private drained: Promise<void> | undefined;

  constructor(private readonly options: DaemonOptions) {
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
    const parts: PartOptions = {
      ...options,
      beginDrain: (cause) => {
        void this.drain(cause);
      },
    };
    const services = [
      ...foundationServices(parts),
      ...fleetServices(parts),
      ...promiseServices(parts),
      clientsService(parts),
      ...loadingServices(parts),
      callersService(parts),
      readinessService(parts, () => this.drained !== undefined),
      ...operatorServices(parts),
    ];
    for (const service of services) this.kernel.register(service);
  }

  async start(): Promise<DaemonPorts> {
    const { settings, log } = this.options;
    await this.kernel.start();
    const admin = await this.part<AdminServer>(Part.Admin).listen(settings.adminAddress, settings.adminPort);
    const caller = await this.part<CallerServer>(Part.Callers).listen(
      settings.callerAddress,
      settings.callerPort,
    );
    const peer = this.part<number>(Part.Peers);
    log.info(`Started ${settings.hostName}: callers ${caller}, peers ${peer}, operators ${admin}.`);
    return { caller, peer, admin };
  }

  drain(cause: string): Promise<void> {
    this.drained ??= this.runDrain(cause);
    return this.drained;
  }

  async force(cause: string): Promise<number> {
    const cut = await this.part<CallerServer>(Part.Callers).close();
    const { log } = this.options;
    for (const one of cut) log.warn(`Cut request ${one.id} (${one.path}).`);
    this.noteDrain(AuditKind.DrainEnded, cause, { cut: cut.length });
    await this.stopAll();
    return cut.length;
  }

  unready(): string | undefined {
    return this.part<Readiness>(Part.Readiness)();
  }

  audit(): ReturnType<Daemon['audit']> {
    return this.part<AuditTrail>(Part.Audit).read();
  }

  part<T>(name: string): T {
    return this.kernel.get<T>(name);
  }

  private async runDrain(cause: string): Promise<void> {
    this.noteDrain(AuditKind.DrainBegun, cause);
    await this.part<CallerServer>(Part.Callers).drain();
    await this.handOver();
    this.noteDrain(AuditKind.DrainEnded, cause, { cut: 0 });
    await this.stopAll();
  }

  /** Hands over what this daemon owns, so that the next owner need not wait; gives up after a bounded time. */
  private async handOver(): Promise<void> {
    const { timers, settings, log } = this.options;
    const limit = new AbortController();
    const timer = timers.after(settings.leaseMs, () => limit.abort());
    const steps = [
      () => this.part<ManagedOwnership>(Part.Ownership).handOver(limit.signal),
      () => this.part<CallerLimits>(Part.Limits).leave(),
      () => this.part<Custody>(Part.Custody).handOverAll(limit.signal),
    ];
    for (const step of steps) {
      // What can't be handed over in time is taken over by waiting; the daemon still has to end.
      await step().catch((err: unknown) => log.warn(`A hand-over was given up: ${String(err)}.`));
    }
    timer.cancel();
  }

  private async stopAll(): Promise<void> {
    await this.kernel.stop();
    this.options.log.info(`Stopped ${this.options.settings.hostName}.`);
    this.resolveStopped();
  }

  private noteDrain(kind: AuditKind, cause: string, after?: unknown): void {
    const subject = this.options.settings.hostName;
    this.part<AuditTrail>(Part.Audit).record({ kind, subject, cause, after });
  }
}

/**
 * Makes a daemon that has not started.
 * @param options - Settings, time and logs.
 * @returns The daemon.
 */
export function createDaemon(options: DaemonOptions): Daemon {
  return new RunningDaemon(options);
}
