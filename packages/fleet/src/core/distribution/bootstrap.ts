/** A new process asks its peers before it trusts the service, which may be stale. */
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';

import type { Membership } from '../membership/index.js';
import type { DistributionSettings, Offer } from './types.js';

/** Options of the start. */
export interface BootstrapOptions {
  readonly holder: ConfigHolder;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly settings: DistributionSettings;
  readonly random: () => number;
  /** Live daemons other than this one. */
  readonly livePeers: () => readonly string[];
  /** Asks a peer for its root document. */
  readonly ask: (peer: string) => Promise<Offer | undefined>;
  /** Considers an offer; tells whether its parts are being fetched. */
  readonly consider: (offer: Offer) => boolean;
}

type Subscribe = (listener: () => void) => () => void;

/** Waits for news, but not for longer than a start may take. */
async function waitFor(subscribe: Subscribe, { timers, settings }: BootstrapOptions): Promise<void> {
  const arrived = new AbortController();
  const unsubscribe = subscribe(() => arrived.abort());
  await timers.sleep(settings.bootstrapMs, arrived.signal).catch(() => undefined);
  unsubscribe();
}

/** Peers can be asked only after the host list has been read once. */
async function waitForHosts(options: BootstrapOptions): Promise<void> {
  const { membership } = options;
  if (Number.isFinite(membership.ageMs())) return;
  await waitFor((listener) => membership.subscribe(listener), options);
}

/** Picks some peers at random, so that daemons that start together ask different ones. */
function pickPeers({ livePeers, random, settings }: BootstrapOptions): string[] {
  const shuffled = livePeers().map((peer) => ({ peer, order: random() }));
  shuffled.sort((left, right) => left.order - right.order);
  return shuffled.slice(0, settings.bootstrapPeers).map(({ peer }) => peer);
}

/**
 * Asks peers for what they have in force, and waits until it is in force here.
 * @param options - Whom and how to ask.
 * @returns A promise that settles when that is so, when no peer offers anything, or when it takes too long.
 */
export async function askPeersFirst(options: BootstrapOptions): Promise<void> {
  const { holder, ask, consider } = options;
  await waitForHosts(options);
  const offers = await Promise.all(pickPeers(options).map(ask));
  const isOffered = offers.map((offer) => offer !== undefined && consider(offer)).includes(true);
  if (!isOffered || holder.current() !== undefined) return;
  await waitFor((listener) => holder.subscribe(listener), options);
}
