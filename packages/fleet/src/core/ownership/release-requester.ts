/** The next owner's side of a hand-over: it asks those who may have been the owner before. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import type { PeerBus } from '../peers/index.js';
import type { OwnershipTimes } from './types.js';
import type { Release } from './wire.js';
import { parseRelease, RELEASE_PROCEDURE } from './wire.js';

/** Options of the asking side. */
export interface AskerOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly times: OwnershipTimes;
  /** Takes in that a daemon has given up everything. */
  readonly onDeparted: (peer: string, asked: Moment) => void;
  /** Takes in a release that still holds. */
  readonly onReleased: (peer: string, release: Release) => void;
}

/** Asks each daemon at most one question at a time. */
export class Asker {
  private readonly asking = new Set<string>();

  constructor(private readonly options: AskerOptions) {}

  /**
   * Asks a daemon for what it has given up.
   * @param peer - The daemon.
   * @param resources - What this daemon waits for.
   */
  async ask(peer: string, resources: readonly string[]): Promise<void> {
    if (this.asking.has(peer)) return;
    this.asking.add(peer);
    const { bus, timers, times, onDeparted, onReleased } = this.options;
    const asked = readClocks(timers);
    try {
      const question = { resources: [...resources] };
      const answer = parseRelease(
        await bus.call(peer, RELEASE_PROCEDURE, question, { timeoutMs: times.peerTimeoutMs }),
      );
      if (answer.departed) onDeparted(peer, asked);
      for (const release of answer.released) if (this.holds(release, asked)) onReleased(peer, release);
    } catch {
      // The question is asked again at the next tick, and the wait goes on meanwhile.
    } finally {
      this.asking.delete(peer);
    }
  }

  /** The answer was made after the question, so the time left counts from the question on. */
  private holds({ leftMs }: Release, asked: Moment): boolean {
    const { timers, times } = this.options;
    return elapsedSince(asked, timers) < leftMs * (1 - 2 * times.driftShare);
  }
}
