/** The daemons that get the shared state from this one. */
import type { TimerService } from '@celeryyoke/core';

import type { PeerChannel } from '../cluster/index.js';
import { encodePush } from '../cluster/index.js';
import type { Batch } from './batch.js';
import { encodeBatch } from './batch.js';

/** Subscribers and when they last heard of this daemon. */
export class Subscribers {
  /** Monotonic time of the last batch to them, in milliseconds. */
  pushedAt = 0;

  private readonly channels = new Map<string, PeerChannel>();

  /**
   * Makes an empty list.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /** Number of subscribers. */
  get size(): number {
    return this.channels.size;
  }

  /**
   * Adds a subscriber, or replaces its channel.
   * @param address - Its name.
   * @param channel - Where batches are pushed.
   */
  add(address: string, channel: PeerChannel): void {
    this.channels.set(address, channel);
  }

  /**
   * Removes a subscriber.
   * @param address - Its name.
   */
  remove(address: string): void {
    this.channels.delete(address);
  }

  /**
   * Removes the subscriber of a channel that is closed.
   * @param channel - The channel.
   */
  removeChannel(channel: PeerChannel): void {
    for (const [address, known] of this.channels) if (known === channel) this.channels.delete(address);
  }

  /**
   * Sends a batch to all.
   * @param batch - The batch.
   */
  push(batch: Batch): void {
    this.pushedAt = this.timers.now();
    if (this.channels.size === 0) return;
    const frame = encodePush(encodeBatch(batch));
    for (const channel of this.channels.values()) channel.push(frame);
  }
}
