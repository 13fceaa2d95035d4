/** Chooses upstreams of plain services: live, healthy, and with the least to do. */
import type { ConfigHolder, PlainServiceConfig, ServiceUpstreamConfig } from '@celeryyoke/configuration';
import type { Log, TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import type { Membership, UpstreamHealth } from '@celeryyoke/fleet';
import { createUpstreamHealth } from '@celeryyoke/fleet';
import type { ServiceClient, ServiceClientFactory } from '@celeryyoke/platform';

/** Options of the pool. */
export interface ServicePoolOptions {
  readonly config: ConfigHolder;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly log: Log;
  readonly factory: ServiceClientFactory;
}

/** An upstream that was chosen for one try. */
export interface PickedUpstream {
  readonly name: string;
  readonly address: string;
  readonly client: ServiceClient;
  /** Reports that the upstream answered. */
  succeeded(): void;
  /** Reports that the upstream or the link to it failed. */
  failed(): void;
  /** Ends the try. */
  release(): void;
}

interface Upstream {
  readonly client: ServiceClient;
  inFlight: number;
}

/** Upstreams of all plain services. */
export class ServicePool {
  private readonly upstreams = new Map<string, Upstream>();

  private readonly health: UpstreamHealth;

  private readonly unsubscribe: () => void;

  /** Where the next choice begins, so that equals take turns. */
  private turn = 0;

  /**
   * Makes a pool that follows the configuration.
   * @param options - Where upstreams come from.
   */
  constructor(private readonly options: ServicePoolOptions) {
    const { config, timers, log } = options;
    this.health = createUpstreamHealth({ timers, log });
    this.unsubscribe = config.subscribe((next) => this.watch(next.config.services));
    this.watch(config.current()?.config.services ?? []);
  }

  /**
   * Chooses an upstream.
   * @param service - The service.
   * @param excluded - Upstreams that it must not be.
   * @returns The upstream, counted as busy until it is released.
   * @throws CeleryyokeError NoUpstream.
   */
  pick(service: PlainServiceConfig, excluded: ReadonlySet<string>): PickedUpstream {
    const live = service.upstreams.filter(
      ({ name }) => this.options.membership.isLive(name) && !excluded.has(name),
    );
    const usable = live.filter(({ name }) => this.health.usable(name));
    const chosen = this.leastBusy(usable.length > 0 ? usable : live);
    if (chosen === undefined) throw new CeleryyokeError('NoUpstream', { target: `service ${service.name}` });
    return this.hold(chosen);
  }

  /** Ends following the configuration and closes all connections. */
  async close(): Promise<void> {
    this.unsubscribe();
    const clients = [...this.upstreams.values()].map(({ client }) => client.close());
    this.upstreams.clear();
    await Promise.allSettled([...clients, this.health.stop()]);
  }

  private watch(services: readonly PlainServiceConfig[]): void {
    const watched = services.flatMap(({ name: group, upstreams }) =>
      upstreams.map(({ name }) => ({ name, group })),
    );
    this.health.watch(watched);
  }

  private leastBusy(candidates: readonly ServiceUpstreamConfig[]): ServiceUpstreamConfig | undefined {
    this.turn += 1;
    let best: ServiceUpstreamConfig | undefined;
    let bestLoad = Infinity;
    for (let index = 0; index < candidates.length; index += 1) {
      const candidate = candidates[(index + this.turn) % candidates.length]!;
      const load = (this.find(candidate).inFlight + 1) / this.health.weight(candidate.name);
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    return best;
  }

  private hold({ name, address }: ServiceUpstreamConfig): PickedUpstream {
    const upstream = this.find({ name, address });
    const { health } = this;
    upstream.inFlight += 1;
    return {
      name,
      address,
      client: upstream.client,
      succeeded: () => health.succeeded(name),
      failed: () => health.failed(name),
      release: () => {
        upstream.inFlight -= 1;
      },
    };
  }

  private find({ name, address }: Pick<ServiceUpstreamConfig, 'name' | 'address'>): Upstream {
    const key = `${name} ${address}`;
    let upstream = this.upstreams.get(key);
    if (upstream === undefined) {
      upstream = { client: this.options.factory(name, address), inFlight: 0 };
      this.upstreams.set(key, upstream);
    }
    return upstream;
  }
}
