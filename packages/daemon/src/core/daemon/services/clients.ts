/** One client for each engine, shared by the parts that order and the parts that serve. */
import type { EngineConfig } from '@celeryyoke/configuration';
import type { Service, TimerService } from '@celeryyoke/core';
import type { EngineClient, EngineClientFactory } from '@celeryyoke/platform';
import { createHttpEngineClient } from '@celeryyoke/platform';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';

/** The daemon's engine clients. */
export interface EngineClients {
  /** Finds or makes the client of a configured engine. */
  readonly of: (engine: EngineConfig) => EngineClient;
  /** Finds or makes the client of an address. */
  readonly at: EngineClientFactory;
  /** Closes all of them. */
  close(): Promise<void>;
}

/**
 * Makes the daemon's engine clients.
 * @param timers - Gives time limits.
 * @returns The clients, made as they are asked for.
 */
export function createEngineClients(timers: TimerService): EngineClients {
  const clients = new Map<string, EngineClient>();
  const at: EngineClientFactory = (name, address) => {
    const key = `${name} ${address}`;
    let client = clients.get(key);
    if (client === undefined) {
      client = createHttpEngineClient({ name, address, timers });
      clients.set(key, client);
    }
    return client;
  };
  return {
    at,
    of: (engine) => at(engine.name, engine.address),
    async close() {
      await Promise.all([...clients.values()].map((client) => client.close()));
    },
  };
}

/**
 * Makes the service of engine clients.
 * @param options - The daemon's options.
 * @returns The service.
 */
export function clientsService({ timers }: PartOptions): Service<EngineClients> {
  let clients: EngineClients | undefined;
  return {
    name: Part.Clients,
    start() {
      clients = createEngineClients(timers);
      return clients;
    },
    stop: () => clients?.close(),
  };
}
