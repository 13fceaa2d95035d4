/** Permit for one retry that a budget has allowed. */
import type { LateArrival } from './late-arrivals.js';

/** Callbacks by which a permit reports to its budget. */
export interface PermitCallbacks {
  /** The retry was handed to a connection. */
  readonly sent: () => void;
  /** The retry has arrived, or never will. */
  readonly settled: () => void;
  /** The retry was not sent. */
  readonly released: () => void;
}

/** Permit for one retry, which counts in the budget until one window after its arrival. */
export class RetryPermit {
  private isOpen = true;

  private wasSent = false;

  private isSettling = false;

  /** Attempts that may still arrive and that the permit covers. */
  private openArrivals = 0;

  constructor(private readonly callbacks: PermitCallbacks) {}

  /** Notes that the retry is handed to a connection. Does nothing on a permit that was sent or closed. */
  send(): void {
    if (!this.isOpen || this.wasSent) return;
    this.wasSent = true;
    this.callbacks.sent();
  }

  /**
   * Has the permit cover an attempt that may still arrive: the retry, or the attempt before it, which is an extra arrival if
   * it comes after the retry.
   */
  cover(arrival: LateArrival | undefined): void {
    if (!arrival?.isOpen) return;
    this.openArrivals += 1;
    arrival.onSettled(() => {
      this.openArrivals -= 1;
      this.settleIfArrived();
    });
  }

  /**
   * Notes that the retry has arrived or never will, but for what the permit covers. Does nothing on a permit that was
   * settled or released.
   */
  settle(): void {
    this.send();
    this.isSettling = true;
    this.settleIfArrived();
  }

  /**
   * Returns the permit of a retry that was not sent; one that was sent is settled. Does nothing on a permit that was
   * settled or released.
   */
  release(): void {
    if (this.wasSent) this.settle();
    else this.close(this.callbacks.released);
  }

  private settleIfArrived(): void {
    if (this.isSettling && this.openArrivals === 0) this.close(this.callbacks.settled);
  }

  private close(callback: () => void): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    callback();
  }
}
