/** The bounded list of all requests that were admitted and do not run yet. */
import { CeleryyokeError } from '@celeryyoke/core';

import { chooseVictim } from './shedding.js';
import type { WaitingRequest } from './types.js';

/** Requests that wait, whatever they wait for: a load, a lease, or a place on an engine. */
export class WaitingList {
  private readonly waiting = new Set<WaitingRequest>();

  /**
   * Makes an empty list.
   * @param capacity - Most requests that wait.
   * @param onShed - Called for each request that is turned away.
   */
  constructor(
    private readonly capacity: number,
    private readonly onShed: () => void,
  ) {}

  /** How many requests wait. */
  get size(): number {
    return this.waiting.size;
  }

  /**
   * Adds a request; when the list is full, one is turned away at once, perhaps this one.
   * @param request - The request.
   * @returns Takes it off the list.
   * @throws CeleryyokeError Overloaded.
   */
  enter(request: WaitingRequest): () => void {
    if (this.waiting.size >= this.capacity) this.shed(request);
    this.waiting.add(request);
    return () => {
      this.waiting.delete(request);
    };
  }

  private shed(newcomer: WaitingRequest): void {
    const victim = chooseVictim(this.waiting, newcomer);
    const refusal = new CeleryyokeError('Overloaded');
    this.onShed();
    if (victim === newcomer) throw refusal;
    this.waiting.delete(victim);
    victim.abort(refusal);
  }
}
