/** A fake membership for unit tests. */
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole, HostState } from '@celeryyoke/platform';

import type { Membership } from '../../src/index.js';

/** A membership whose hosts, incarnations and age are set by the test. */
export interface ManualMembership extends Membership {
  /** Replaces the hosts and notifies the subscribers. */
  setHosts(names: readonly string[]): void;
  /** Records an incarnation of a peer, as after a heartbeat; an older one is ignored. */
  recordIncarnation(peer: string, incarnation: number): void;
  /** Sets the age of the view in milliseconds. */
  setAge(ms: number): void;
}

const DOMAIN_COUNT = 3;

/** Failure domain of a test host, by the last digit of its name. */
export function domainOf(name: string): string {
  return `domain-${Number(name.at(-1)) % DOMAIN_COUNT}`;
}

function createEntry(name: string): HostEntry {
  return {
    name,
    role: HostRole.Entry,
    state: HostState.Live,
    domain: domainOf(name),
    address: '127.0.0.1:0',
  };
}

/**
 * Creates a membership of live entry hosts. Without `isReachable`, each is reachable with incarnation 1;
 * otherwise the incarnations are unknown at first.
 */
export function createManualMembership(
  names: readonly string[],
  isReachable?: (peer: string) => boolean,
): ManualMembership {
  const listeners = new Set<() => void>();
  const incarnations = new Map(isReachable === undefined ? names.map((name) => [name, 1]) : []);
  let hosts = names.map(createEntry);
  let age = 0;
  return {
    hosts: (role) => (role === HostRole.Entry ? hosts : []),
    findHost: (name) => hosts.find((host) => host.name === name),
    isLive: (name) => hosts.some((host) => host.name === name),
    isReachable: isReachable ?? ((peer) => incarnations.has(peer)),
    incarnationOf: (peer) => incarnations.get(peer),
    ageMs: () => age,
    needsConfirmation: () => false,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    setHosts(next) {
      hosts = next.map(createEntry);
      for (const listener of listeners) listener();
    },
    recordIncarnation(peer, incarnation) {
      incarnations.set(peer, Math.max(incarnation, incarnations.get(peer) ?? 0));
    },
    setAge(ms) {
      age = ms;
    },
  };
}
