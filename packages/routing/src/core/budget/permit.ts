/** A repeat that a budget has allowed. */

/** What a permit tells its budget. */
export interface PermitLedger {
  /** The repeat arrived now at the latest, or never will. */
  readonly settled: () => void;
  /** The repeat was not sent. */
  readonly released: () => void;
}

/** Leave for one repeat, which counts in the budget until a window after its arrival. */
export class RepeatPermit {
  private isOpen = true;

  /**
   * Makes an open permit.
   * @param ledger - The budget that counts it.
   */
  constructor(private readonly ledger: PermitLedger) {}

  /** Notes that the repeat arrived now at the latest, or never will; later calls change nothing. */
  settle(): void {
    this.close(this.ledger.settled);
  }

  /** Gives the permit back, as the repeat was not sent; later calls change nothing. */
  release(): void {
    this.close(this.ledger.released);
  }

  private close(tell: () => void): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    tell();
  }
}
