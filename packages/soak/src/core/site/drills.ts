/** Drills: the store is away for a moment and comes back from a copy of itself, and what was lost is written again. */
import type { StoreStandIn } from '@celeryyoke/adapter/testing';
import type { TimerService } from '@celeryyoke/core';

/** Age of the copy, in milliseconds. */
const COPY_AGE_MS = 2500;
/** Longest time after which what was lost is written again, in milliseconds. */
const REWRITE_MS = 1500;

/** One drill of a run. */
export interface StoreDrill {
  /** Unix milliseconds at which the store went away. */
  readonly from: number;
  /** Unix milliseconds at which it was back; undefined while it is away. */
  until: number | undefined;
  /** Watches from revisions that the store didn't have, until the next drill or the end. */
  refusedWatches: number;
}

/** Plays drills, one at a time. */
export class StoreDrills {
  readonly played: StoreDrill[] = [];

  private isAway = false;

  constructor(
    private readonly store: StoreStandIn,
    private readonly timers: TimerService,
    private readonly onReturn: () => void,
  ) {
    this.store.onRefusedWatch = () => {
      const drill = this.played.at(-1);
      if (drill !== undefined) drill.refusedWatches += 1;
    };
  }

  /**
   * Takes the store away, unless it is.
   * @param share - Part of the longest time after which what was lost is written again, from 0 to 1.
   * @returns Brings it back from a copy.
   */
  begin(share: number): () => void {
    if (this.isAway) return () => undefined;
    const { store, timers } = this;
    const copy = store.revisionAt(timers.wall() - COPY_AGE_MS);
    const drill: StoreDrill = { from: timers.wall(), until: undefined, refusedWatches: 0 };
    this.played.push(drill);
    this.isAway = true;
    store.isDown = true;
    return () => {
      const lost = store.restore(copy);
      store.isDown = false;
      this.isAway = false;
      drill.until = timers.wall();
      timers.after(share * REWRITE_MS, () => store.rewrite(lost));
      this.onReturn();
    };
  }
}
