/**
 * Relates this daemon's monotonic clock to that of its parent, so that the time a message was on its way counts.
 *
 * The difference between two clocks is known within bounds only: a message proves how large it is at most, an exchange
 * also how large it is at least. Conversions take the bound that makes what is converted older.
 */

/** Bounds on the difference between two monotonic clocks. */
export class ParentClock {
  /** Bounds on this daemon's clock less the parent's, in milliseconds. */
  private least = Number.NEGATIVE_INFINITY;

  private most = Number.POSITIVE_INFINITY;

  /**
   * Learns from a question that the parent answered with its clock.
   * @param sentAt - Own time of the question, in milliseconds.
   * @param parentAt - Time on the parent's clock.
   * @param heardAt - Own time of the answer, in milliseconds.
   */
  noteExchange(sentAt: number, parentAt: number, heardAt: number): void {
    const least = sentAt - parentAt;
    // The parent's clock has stood still since the bound was learnt.
    if (least > this.most) this.most = heardAt - parentAt;
    this.least = Math.max(this.least, least);
    this.noteMessage(parentAt, heardAt);
  }

  /**
   * Learns from a message that bears the parent's clock.
   * @param parentAt - Time on the parent's clock when it was sent.
   * @param heardAt - Own time at which it was handled, in milliseconds.
   */
  noteMessage(parentAt: number, heardAt: number): void {
    this.most = Math.min(this.most, heardAt - parentAt);
    // This daemon's own clock has stood still since the bound was learnt.
    this.least = Math.min(this.least, this.most);
  }

  /**
   * Tells how long ago something happened.
   * @param parentAt - Time on the parent's clock.
   * @param now - Own time, in milliseconds.
   * @returns Milliseconds, rather too many than too few; Infinity while nothing is known.
   */
  elapsedMs(parentAt: number, now: number): number {
    return now - parentAt - this.least;
  }

  /**
   * Tells the parent's time.
   * @param now - Own time, in milliseconds.
   * @returns Time on the parent's clock, rather too early than too late; undefined while nothing is known.
   */
  toParent(now: number): number | undefined {
    return Number.isFinite(this.most) ? Math.floor(now - this.most) : undefined;
  }
}
