/** Permit for one retry that a budget has allowed. */

/** Callbacks by which a permit reports to its budget. */
export interface PermitCallbacks {
  /** The retry has arrived, or never will. */
  readonly settled: () => void;
  /** The retry was not sent. */
  readonly released: () => void;
}

/** Permit for one retry, which counts in the budget until one window after its arrival. */
export class RetryPermit {
  private isOpen = true;

  constructor(private readonly callbacks: PermitCallbacks) {}

  /**
   * Notes that the retry has arrived, or never will. Does nothing on a permit that was settled or released.
   */
  settle(): void {
    this.close(this.callbacks.settled);
  }

  /**
   * Returns the permit of a retry that was not sent. Does nothing on a permit that was settled or released.
   */
  release(): void {
    this.close(this.callbacks.released);
  }

  private close(callback: () => void): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    callback();
  }
}
