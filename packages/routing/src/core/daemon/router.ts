/** A router daemon: its start, its reload, and its graceful shutdown. */
import type { Kernel } from '@celeryyoke/core';
import { createKernel } from '@celeryyoke/core';

import type { EngineLeases } from '../ownership/index.js';
import type { Cluster } from '../cluster/index.js';
import type { RequestServer } from '../requests/index.js';
import { PART } from './names.js';
import type { RouterState } from './services.js';
import { RouterServices } from './services.js';
import type { RouterOptions } from './types.js';

/** Time after the signal in which the balancer still sends new connections, in milliseconds: two missed questions, a second apart, and a margin. */
const LEAVE_ROTATION_MS = 2500;
/** Questions of the balancer without a yes after which it sends no new connections. */
const MISSES = 2;
/** Time in which connections that were on their way still arrive, in milliseconds. */
const CROSSING_MS = 150;
/** Part of the grace that is kept for ending, in milliseconds. */
const GRACE_MARGIN_MS = 400;
const DRAIN_LOOK_MS = 50;

/** A daemon that routes requests. */
export class Router {
  private readonly kernel: Kernel = createKernel();

  private readonly state: RouterState;

  /**
   * Makes a daemon that has not started.
   * @param options - Settings, time, logs and the adapters to the platform.
   */
  constructor(private readonly options: RouterOptions) {
    this.state = { seeds: options.settings.seeds, isLeaving: false, refusedQuestions: 0 };
    const services = new RouterServices(options, this.state, this.kernel).list();
    for (const service of services) this.kernel.register(service);
  }

  /** Starts all parts. */
  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.kernel.start();
    log.info(`Started ${settings.name} at ${settings.host}, zone ${settings.zone}.`);
  }

  /**
   * Takes new seeds, after a reload of the settings.
   * @param seeds - Peers to ask first.
   */
  reseed(seeds: readonly string[]): void {
    this.state.seeds = seeds;
    this.options.log.info(`Reloaded; seeds ${seeds.join(', ')}.`);
  }

  /**
   * Leaves without interrupting a request: out of rotation, engines handed over, the last answers given.
   * @param cause - Why, for the log.
   */
  async drain(cause: string): Promise<void> {
    if (this.state.isLeaving) return;
    this.state.isLeaving = true;
    const { timers, settings, log } = this.options;
    const startedAt = timers.now();
    const requests = this.get<RequestServer>(PART.requests);
    log.info(`Stopping ${settings.name} (${cause}) with ${requests.running} requests in progress.`);
    this.get<EngineLeases>(PART.leases).leave();
    const cluster = this.get<Cluster>(PART.cluster);
    cluster.leave();
    requests.drain();
    await this.leaveRotation(startedAt);
    requests.close();
    const end = startedAt + settings.graceMs - GRACE_MARGIN_MS;
    while (timers.now() < end && requests.running > 0) {
      await timers.sleep(DRAIN_LOOK_MS);
      // A stream that began before the signal has promised its caller a connection that is kept.
      requests.closeIdle();
    }
    cluster.close();
    log.info(`Stopped ${settings.name} with ${requests.running} requests in progress.`);
  }

  /** Waits until the balancer sends no new connections: it has asked often enough, or has had the time to. */
  private async leaveRotation(startedAt: number): Promise<void> {
    const { timers } = this.options;
    const end = startedAt + LEAVE_ROTATION_MS;
    while (timers.now() < end && this.state.refusedQuestions < MISSES) await timers.sleep(DRAIN_LOOK_MS);
    await timers.sleep(CROSSING_MS);
  }

  /** Stops all parts at once, in reverse order; requests in progress break off. */
  async stop(): Promise<void> {
    this.state.isLeaving = true;
    await this.kernel.stop();
  }

  private get<T>(name: string): T {
    return this.kernel.get<T>(name);
  }
}
