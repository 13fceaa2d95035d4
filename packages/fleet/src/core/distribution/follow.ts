/** The tasks that learn of new sets: one watch on the service, and the peers' announcements. */
import type { Log, Task, TimerService } from '@celeryyoke/core';
import { runTask } from '@celeryyoke/core';
import type { ConfigSource, ConfigValue } from '@celeryyoke/platform';

import type { PeerBus } from '../peers/index.js';
import { decompress } from './compression.js';
import type { PeerBook } from './peer-book.js';
import type { DistributionSettings, Offer } from './types.js';
import { Origin } from './types.js';
import { parseCompressed, ROOT_PROCEDURE } from './wire.js';

/** Share of a wait that is jitter, so that daemons do not come back to the service together. */
const JITTER = 0.5;

/** Options of the watch. */
export interface WatchOptions {
  readonly key: string;
  readonly source: ConfigSource;
  readonly timers: TimerService;
  readonly settings: DistributionSettings;
  readonly log: Log;
  readonly random: () => number;
  /** Considers what the service gave; tells whether it is news. */
  readonly consider: (offer: Offer) => boolean;
}

/**
 * Follows the service with one long watch at a time.
 * @param options - What to watch.
 * @returns The running task.
 */
export function followService(options: WatchOptions): Task<void> {
  const { key, source, timers, settings, log, random, consider } = options;
  return runTask(function* watch(signal) {
    // The service's own count only tells what was seen; the revision inside the document decides.
    let seen = 0;
    let pause = settings.watchGapMs;
    for (;;) {
      const begun = timers.now();
      try {
        const found = (yield source.watch(key, seen, settings.watchMs, signal)) as ConfigValue | undefined;
        // A service that answers at once without a value is not to be asked in a loop either.
        let isNews = timers.now() - begun >= settings.watchMs / 2;
        if (found !== undefined) {
          seen = found.revision;
          isNews = consider({ text: found.value, origin: Origin.Service });
        }
        pause = isNews ? settings.watchGapMs : Math.min(settings.retryMaxMs, pause * 2);
      } catch (err) {
        if (signal.aborted) return;
        log.debug(`The watch on the service failed: ${(err as Error).message}`);
        pause = Math.min(settings.retryMaxMs, Math.max(settings.retryMinMs, pause * 2));
      }
      yield timers.sleep(pause * (1 - JITTER * random()), signal);
    }
  });
}

/** Options of questions to peers. */
export interface AskOptions {
  readonly bus: PeerBus;
  readonly book: PeerBook;
  readonly settings: DistributionSettings;
  readonly log: Log;
}

/**
 * Asks a peer for its root document.
 * @param peer - The peer.
 * @param options - How to ask.
 * @returns The offer, or undefined when the peer has none or does not answer.
 */
export async function askRoot(peer: string, options: AskOptions): Promise<Offer | undefined> {
  const { bus, book, settings, log } = options;
  try {
    const answer = await bus.call(peer, ROOT_PROCEDURE, {}, { timeoutMs: settings.peerTimeoutMs });
    const { bytes } = parseCompressed(answer);
    const text = bytes && decompress(bytes);
    return text === undefined ? undefined : { text, origin: Origin.Peer, peer };
  } catch (err) {
    log.debug(`Peer ${peer} gave no root document: ${(err as Error).message}`);
    book.avoid(peer);
    return undefined;
  }
}
