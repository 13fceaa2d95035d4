/** Starts, reloads and gracefully shuts down a router daemon. */
import type { Kernel } from '@celeryyoke/core';
import { createKernel } from '@celeryyoke/core';

import type { EngineLeases } from '../ownership/index.js';
import type { Cluster } from '../cluster/index.js';
import type { RelayServer } from '../relays/index.js';
import type { RequestServer } from '../requests/index.js';
import { PART } from './part-names.js';
import type { RouterState } from './services.js';
import { RouterServices } from './services.js';
import type { RouterOptions } from './types.js';

/**
 * Maximum time after the signal in which the load balancer still sends new connections, in milliseconds: two
 * failed probes, one second apart, and a margin.
 */
const MAX_ROTATION_WAIT_MS = 2500;
/** Number of failed probes after which the load balancer sends no new connections. */
const FAILED_PROBES = 2;
/** Time for connections that the load balancer opened before then to arrive, in milliseconds. */
const CONNECTION_ARRIVAL_MS = 150;
/** Part of the grace period that is reserved for closing, in milliseconds. */
const GRACE_MARGIN_MS = 400;
const DRAIN_CHECK_MS = 50;
/** Time for the last answers to be written to their connections, in milliseconds. */
const FLUSH_MS = 100;

/** A daemon that routes requests. */
export class Router {
  private readonly kernel: Kernel = createKernel();

  private readonly state: RouterState;

  private hasStarted = false;

  /** The shutdown in progress. */
  private shutdown: Promise<void> | undefined;

  /** Registers all parts at the kernel; {@link Router.start} starts them. */
  constructor(private readonly options: RouterOptions) {
    this.state = { seeds: options.settings.seeds, isLeaving: false, failedProbes: 0 };
    const services = new RouterServices(options, this.state, this.kernel).list();
    for (const service of services) this.kernel.register(service);
  }

  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.kernel.start();
    this.hasStarted = true;
    log.info(`Started ${settings.name} at ${settings.host}, zone ${settings.zone}.`);
  }

  /** Replaces the seeds after a reload of the settings. */
  setSeeds(seeds: readonly string[]): void {
    this.state.seeds = seeds;
    this.options.log.info(`Reloaded the settings; seeds are ${seeds.join(', ')}.`);
  }

  /**
   * Shuts down without interrupting requests, within the grace period: hands over the engines, waits until
   * the load balancer sends no new connections, and lets the requests in progress end.
   * @param cause - Cause of the shutdown, for the log.
   * @returns A promise that settles at the end of the shutdown, also when it has begun before.
   */
  drain(cause: string): Promise<void> {
    this.shutdown ??= this.shutDown(cause);
    return this.shutdown;
  }

  private async shutDown(cause: string): Promise<void> {
    this.state.isLeaving = true;
    const { timers, settings, log } = this.options;
    const startedAt = timers.now();
    const requests = this.get<RequestServer>(PART.requests);
    const relays = this.get<RelayServer>(PART.relays);
    log.info(`Stopping ${settings.name} (${cause}) with ${requests.running} requests in progress.`);
    this.get<EngineLeases>(PART.leases).stopClaiming();
    const cluster = this.get<Cluster>(PART.cluster);
    cluster.leave();
    requests.drain();
    const end = startedAt + settings.graceMs - GRACE_MARGIN_MS;
    await this.waitForRotation(startedAt);
    requests.refuse(end);
    while (timers.now() < end && requests.running + relays.running > 0) {
      await timers.sleep(DRAIN_CHECK_MS);
      // Responses that began before the signal have announced keep-alive, so their connections must be closed
      // once idle.
      requests.closeIdleConnections();
    }
    const unfinished = requests.running;
    if (unfinished > 0) {
      requests.giveUp();
      await timers.sleep(FLUSH_MS);
    }
    cluster.close();
    log.info(`Stopped ${settings.name}; ${unfinished} requests in progress were given up.`);
  }

  /**
   * Waits until the load balancer sends no new connections: after enough failed probes, or after the maximum
   * time.
   */
  private async waitForRotation(startedAt: number): Promise<void> {
    const { timers } = this.options;
    const end = startedAt + MAX_ROTATION_WAIT_MS;
    while (timers.now() < end && this.state.failedProbes < FAILED_PROBES) await timers.sleep(DRAIN_CHECK_MS);
    await timers.sleep(CONNECTION_ARRIVAL_MS);
  }

  /** Breaks off the responses that are not written, as the process ends, so that none of them looks complete. */
  breakOffResponses(): void {
    if (this.hasStarted) this.get<RequestServer>(PART.requests).breakOffResponses();
  }

  /** Stops all parts in reverse order without waiting; requests in progress are aborted. */
  async stop(): Promise<void> {
    this.state.isLeaving = true;
    await this.kernel.stop();
  }

  private get<T>(name: string): T {
    return this.kernel.get<T>(name);
  }
}
