/** A micro-kernel that knows names, needs and order, and nothing of what services do. */
import { CeleryyokeError } from '../errors/index.js';
import type { Kernel, Service, ServiceFinder } from './types.js';

/** Orders services so that each comes after those it needs. */
function sortByNeeds(services: ReadonlyMap<string, Service>): Service[] {
  const sorted: Service[] = [];
  const visited = new Set<string>();
  const visit = (name: string, path: readonly string[]): void => {
    if (path.includes(name))
      throw new CeleryyokeError('ServiceCycle', { path: [...path, name].join(' -> ') });
    if (visited.has(name)) return;
    const service = services.get(name);
    if (service === undefined)
      throw new CeleryyokeError('ServiceMissing', { name, needed: path.at(-1) ?? 'the kernel' });
    for (const need of service.needs ?? []) visit(need, [...path, name]);
    visited.add(name);
    sorted.push(service);
  };
  for (const name of services.keys()) visit(name, []);
  return sorted;
}

/** Lets a service find only what it said that it needs, so that no look-up works by luck of the order. */
function finderFor(service: Service, values: ReadonlyMap<string, unknown>): ServiceFinder {
  return {
    get<T>(name: string): T {
      if (!service.needs?.includes(name))
        throw new CeleryyokeError('ServiceMissing', {
          name,
          needed: `${service.name}, which does not declare it`,
        });
      return values.get(name) as T;
    },
  };
}

/** The kernel of one process. */
class MicroKernel implements Kernel {
  private readonly services = new Map<string, Service>();

  private readonly values = new Map<string, unknown>();

  private readonly started: Service[] = [];

  private starting: Promise<void> | undefined;

  private isStopping = false;

  register(service: Service): void {
    if (this.services.has(service.name)) throw new CeleryyokeError('ServiceTwice', { name: service.name });
    this.services.set(service.name, service);
  }

  get<T>(name: string): T {
    if (!this.values.has(name)) throw new CeleryyokeError('ServiceMissing', { name, needed: 'a look-up' });
    return this.values.get(name) as T;
  }

  async start(): Promise<void> {
    this.starting = this.startAll();
    try {
      await this.starting;
    } catch (err) {
      await this.stopStarted();
      throw err;
    }
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.starting?.catch(() => undefined);
    const failures = await this.stopStarted();
    if (failures.length > 0) throw new AggregateError(failures, 'Some services did not stop cleanly.');
  }

  private async startAll(): Promise<void> {
    for (const service of sortByNeeds(this.services)) {
      if (this.isStopping) return;
      this.values.set(service.name, await service.start(finderFor(service, this.values)));
      this.started.push(service);
    }
  }

  /** Stops in reverse order; a service that fails to stop does not keep the others from stopping. */
  private async stopStarted(): Promise<unknown[]> {
    const failures: unknown[] = [];
    for (const service of this.started.splice(0).reverse()) {
      try {
        await service.stop?.();
      } catch (err) {
        failures.push(err);
      }
      this.values.delete(service.name);
    }
    return failures;
  }
}

/**
 * Makes an empty kernel.
 * @returns The kernel.
 */
export function createKernel(): Kernel {
  return new MicroKernel();
}
