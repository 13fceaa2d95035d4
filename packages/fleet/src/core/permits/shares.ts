/**
 * Time slots of a weight store. Each engine has a share of the store's rate: the time slots that fall to it,
 * computed from the configuration alone. An engine's owner lends its share to the store's owner; whoever can't
 * reach the other uses only the slots that are certainly its own, so that two halves of a partition never
 * overrun the store together.
 */

/** The part of a slot in which a load may begin; keeps loads of neighbouring slots apart. */
const WINDOW = 0.25;

const MS_PER_SECOND = 1000;

/** The slots of one store. */
export interface ShareOptions {
  /** Loads a second that the store allows. */
  readonly loadsPerSecond: number;
  /** Names of all engines that load from it. */
  readonly engines: readonly string[];
  /** Bound on the error of the hosts' wall clocks, in milliseconds. */
  readonly clockErrorMs: number;
}

/** A slot whose window is open. */
export interface OpenSlot {
  readonly slot: number;
  readonly engine: string;
}

/** Computes time slots. */
export class StoreShares {
  private readonly engines: readonly string[];

  private readonly periodMs: number;

  constructor(private readonly options: ShareOptions) {
    this.engines = [...options.engines].sort();
    this.periodMs = MS_PER_SECOND / options.loadsPerSecond;
  }

  /**
   * Finds the slot whose window is open.
   * @param wallMs - Wall-clock time.
   * @returns The slot, or undefined between two windows.
   */
  open(wallMs: number): OpenSlot | undefined {
    const slot = Math.floor(wallMs / this.periodMs);
    const offset = wallMs - slot * this.periodMs;
    const { clockErrorMs } = this.options;
    const isOpen = offset >= clockErrorMs && offset < clockErrorMs + this.periodMs * WINDOW;
    const engine = this.engines[slot % this.engines.length];
    return isOpen && engine !== undefined ? { slot, engine } : undefined;
  }

  /**
   * Tells how long it is until the next window opens.
   * @param wallMs - Wall-clock time.
   * @returns Milliseconds, more than 0.
   */
  untilNext(wallMs: number): number {
    const start = Math.floor(wallMs / this.periodMs) * this.periodMs + this.options.clockErrorMs;
    return wallMs < start ? start - wallMs : start + this.periodMs - wallMs;
  }
}
