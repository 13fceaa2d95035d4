/** Holds the configuration in force; it never goes back. */
import { CeleryyokeError } from '@celeryyoke/core';

import type { ConfigHolder, ConfigSnapshot } from './types.js';

type Listener = Parameters<ConfigHolder['subscribe']>[0];

/** Options of a holder. */
export interface ConfigHolderOptions {
  /** Called when a snapshot has the revision in force and other contents. */
  readonly onConflict?: (offered: ConfigSnapshot, inForce: ConfigSnapshot) => void;
}

class Holder implements ConfigHolder {
  private snapshot: ConfigSnapshot | undefined;

  private readonly listeners = new Set<Listener>();

  constructor(private readonly options: ConfigHolderOptions) {}

  current(): ConfigSnapshot | undefined {
    return this.snapshot;
  }

  require(): ConfigSnapshot {
    if (this.snapshot === undefined) throw new CeleryyokeError('ConfigUnavailable');
    return this.snapshot;
  }

  accept(next: ConfigSnapshot): boolean {
    const previous = this.snapshot;
    if (previous !== undefined && next.revision <= previous.revision) {
      const isConflict = next.revision === previous.revision && next.digest !== previous.digest;
      if (isConflict) this.options.onConflict?.(next, previous);
      return false;
    }
    this.snapshot = next;
    for (const listener of [...this.listeners]) listener(next, previous);
    return true;
  }

  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

/**
 * Makes a holder with nothing in force.
 * @param options - Who is told of a conflict.
 * @returns The holder.
 */
export function createConfigHolder(options: ConfigHolderOptions = {}): ConfigHolder {
  return new Holder(options);
}
