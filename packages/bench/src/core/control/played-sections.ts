/** What a played daemon puts in its heartbeats: as much as a real one would. */
import { PACKED_SCHEMA } from '@celeryyoke/configuration';
import { hash32 } from '@celeryyoke/core';
import type { HeartbeatSection } from '@celeryyoke/fleet';
import { chooseCustodians, DEFAULT_MAX_CUSTODIANS } from '@celeryyoke/fleet';

import { adapterName } from './site.js';
import type { PlayedConfig } from './played-config.js';

const BUCKETS = 256;
const BITS = 8;
const SLOTS = 8;
/** A real daemon tells loaded keys again after so many heartbeats. */
const KEYS_EVERY = 10;

/** Engines by their owner. */
export type Owners = ReadonlyMap<string, readonly string[]>;

function section(name: string, collect: () => unknown): HeartbeatSection {
  return { name, collect, merge: () => undefined };
}

/** Tells which played daemon is the home of each bucket of keys, by the rank that real daemons use. */
export function homesOf(names: readonly string[]): ReadonlyMap<string, Uint8Array> {
  const homes = new Map(names.map((name) => [name, new Uint8Array(BUCKETS / BITS)]));
  const hosts = names.map((name) => ({ name, domain: '' }));
  const keepers = chooseCustodians(hosts, DEFAULT_MAX_CUSTODIANS).map(({ name }) => name);
  for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
    const home = keepers.reduce((best, name) =>
      hash32(name, bucket + 1) > hash32(best, bucket + 1) ? name : best,
    );
    const bits = homes.get(home)!;
    const byte = Math.floor(bucket / BITS);
    bits[byte] = bits[byte]! + 2 ** (bucket % BITS);
  }
  return homes;
}

function siteSection(name: string, owners: () => Owners): HeartbeatSection {
  let beats = 0;
  return section('site', () => {
    beats += 1;
    const owned = owners().get(name) ?? [];
    if (owned.length === 0) return undefined;
    return owned.map((engine) => {
      const state = { engine, running: 4, waiting: 0, healthy: true, granting: true, warmth: 1 };
      if (beats % KEYS_EVERY !== 1) return state;
      const first = hash32(engine) % 1000;
      const keys = Array.from({ length: SLOTS }, (_, slot) => ({
        key: `${adapterName(first + slot)}@v2`,
        state: 'ready',
      }));
      return { ...state, keys };
    });
  });
}

/** The requests of one daemon's callers in one second at the planned size. */
const ASKED = 6;

function popularitySection(): HeartbeatSection {
  let next = 0;
  return section('popularity', () => {
    next += ASKED;
    return Array.from({ length: ASKED }, (_, index) => ({
      key: `${adapterName((next + index) % 1000)}@v2`,
      count: 1,
    }));
  });
}

/** What a played daemon's sections rest on. */
export interface PlayedSectionOptions {
  readonly name: string;
  readonly config: PlayedConfig;
  readonly homes: Uint8Array;
  readonly owners: () => Owners;
}

/**
 * Makes the sections of one played daemon.
 * @param options - Who it is and what it would know.
 * @returns The sections.
 */
export function playedSections(options: PlayedSectionOptions): readonly HeartbeatSection[] {
  const { name, config, homes, owners } = options;
  return [
    section('configuration', () => ({ ...config.inForce(), since: 0, schema: PACKED_SCHEMA })),
    section('custody', () => ({ generation: 1, homes })),
    siteSection(name, owners),
    popularitySection(),
  ];
}
