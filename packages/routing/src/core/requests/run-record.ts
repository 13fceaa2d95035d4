/**
 * What is known of the runs of one request, and the proof that there was none.
 *
 * Some replies promise that a request has not run and never will. They take a {@link NotRunProof}, which only the record of
 * the request's attempts gives out.
 */

/** Why it is certain that one attempt has not run and never will. */
export enum AttemptProof {
  /** Nothing was handed to a connection, and nothing will be. */
  Unsent = 'unsent',
  /** The replica named the request and denied its execution. */
  Denied = 'denied',
}

/** Records the attempts of one request, from its arrival on. */
export class RunRecord {
  private readonly counts: Record<AttemptProof, number> = {
    [AttemptProof.Unsent]: 0,
    [AttemptProof.Denied]: 0,
  };

  private unprovedCount = 0;

  /** Whether the attempt in progress may have arrived; undefined when there is none. */
  private mayHaveArrived: (() => boolean) | undefined;

  /**
   * Records the beginning of an attempt; the one before has ended.
   * @param mayHaveArrived - Whether a replica may have received a byte of it by now.
   */
  begin(mayHaveArrived: () => boolean): void {
    this.mayHaveArrived = mayHaveArrived;
  }

  /**
   * Records the end of the attempt in progress.
   * @param proof - Why it has not run; undefined if it may have.
   */
  end(proof: AttemptProof | undefined): void {
    this.mayHaveArrived = undefined;
    if (proof === undefined) this.unprovedCount += 1;
    else this.counts[proof] += 1;
  }

  /** Whether any attempt may have run, or may still. */
  get mayHaveRun(): boolean {
    return this.unprovedCount > 0 || (this.mayHaveArrived?.() ?? false);
  }

  /** Number of attempts that replicas have denied. */
  get deniedCount(): number {
    return this.counts[AttemptProof.Denied];
  }

  /** Number of attempts that were not sent. */
  get unsentCount(): number {
    return this.counts[AttemptProof.Unsent];
  }
}

/** Proof that a request has not run. It holds while no further attempt is made. */
export class NotRunProof {
  /** Number of attempts that replicas have denied. */
  readonly denied: number;

  /** Number of attempts that were not sent. */
  readonly unsent: number;

  private constructor(runs: RunRecord) {
    this.denied = runs.deniedCount;
    this.unsent = runs.unsentCount;
  }

  /**
   * Proves that a request has not run.
   * @returns Undefined if it may have.
   */
  static of(runs: RunRecord): NotRunProof | undefined {
    return runs.mayHaveRun ? undefined : new NotRunProof(runs);
  }
}
