/** The daemons that receive the shared state from this one. */
import type { TimerService } from '@celeryyoke/core';

import type { PeerChannel } from '../cluster/index.js';
import { encodePush } from '../cluster/index.js';
import type { Batch } from './batch.js';
import { encodeBatch } from './batch.js';

/** Channels of all subscribers; pushes batches to them. */
export class Subscribers {
  /** Monotonic time of the last batch, in milliseconds; set also while there are no subscribers. */
  lastPushAt = 0;

  private readonly channels = new Map<string, PeerChannel>();

  constructor(private readonly timers: TimerService) {}

  get size(): number {
    return this.channels.size;
  }

  /**
   * Adds a subscriber, or replaces its channel.
   * @param address - Address of the daemon.
   * @param channel - Channel to push batches to.
   */
  add(address: string, channel: PeerChannel): void {
    this.channels.set(address, channel);
  }

  remove(address: string): void {
    this.channels.delete(address);
  }

  /** Removes the subscriber of a closed channel; one that has subscribed again over another channel stays. */
  removeChannel(channel: PeerChannel): void {
    for (const [address, known] of this.channels) if (known === channel) this.channels.delete(address);
  }

  /** Sends a batch to all subscribers. */
  push(batch: Batch): void {
    this.lastPushAt = this.timers.now();
    if (this.channels.size === 0) return;
    const frame = encodePush(encodeBatch(batch));
    for (const channel of this.channels.values()) channel.push(frame);
  }
}
