/** A configuration with its look-ups. */
import { CeleryyokeError } from '@celeryyoke/core';

import { createAdapterCatalogue } from '../adapters/index.js';
import { digestOfSite } from '../packing/index.js';
import { joinAdapterKey, splitAdapterKey } from './keys.js';
import type {
  AdapterConfig,
  ConfigSnapshot,
  PlainServiceConfig,
  ResolvedAdapter,
  SiteConfig,
} from './types.js';

function resolveVersion(adapter: AdapterConfig, version: string): ResolvedAdapter {
  const { name, model, versions, sizeMb } = adapter;
  if (!versions.includes(version)) throw new CeleryyokeError('VersionUnknown', { adapter: name, version });
  return { adapter: name, version, model, key: joinAdapterKey(name, version), sizeMb };
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

function byPrefixLength(left: PlainServiceConfig, right: PlainServiceConfig): number {
  return right.prefix.length - left.prefix.length;
}

/**
 * Makes a snapshot.
 * @param revision - Revision of the documents.
 * @param config - The effective configuration.
 * @param digest - Digest of the contents where it is known; worked out when left out.
 * @returns The snapshot.
 */
export function createSnapshot(
  revision: number,
  config: SiteConfig,
  digest = digestOfSite(config),
): ConfigSnapshot {
  const catalogue = createAdapterCatalogue(config);
  const engines = new Map(config.engines.map((engine) => [engine.name, engine]));
  const callers = new Map(config.callers.map((caller) => [caller.keySha256.toLowerCase(), caller]));
  const services = [...config.services].sort(byPrefixLength);

  function resolve(name: string): ResolvedAdapter {
    const named = splitAdapterKey(name);
    const adapter = catalogue.find(named.adapter);
    if (adapter === undefined) throw new CeleryyokeError('AdapterUnknown', { adapter: named.adapter });
    return resolveVersion(adapter, named.version ?? adapter.current);
  }

  function adapterPage(after: string | undefined, limit: number): readonly AdapterConfig[] {
    const page: AdapterConfig[] = [];
    if (limit <= 0) return page;
    for (const adapter of catalogue.readAfter(after)) {
      page.push(adapter);
      if (page.length >= limit) break;
    }
    return page;
  }

  return {
    revision,
    digest,
    config,
    resolve,
    adapter: (name) => catalogue.find(name),
    get adapterCount() {
      return catalogue.length;
    },
    adapterPage,
    engine: (name) => engines.get(name),
    callerByKey: (keySha256) => callers.get(keySha256.toLowerCase()),
    serviceFor: (path) => services.find(({ prefix }) => hasPrefix(path, prefix)),
  };
}
