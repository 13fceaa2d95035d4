/** Limits the memory that all bodies take together which this daemon holds. */

/** Largest sum, in bytes: a part of the memory of a small host. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;
/** Size up to which a body is held whatever the others take, in bytes. */
const SMALL_BYTES = 64 * 1024;

/** Counts the memory of the bodies that are held. */
export class BufferBudget {
  private total = 0;

  /** Memory that is taken, in bytes. */
  get takenBytes(): number {
    return this.total;
  }

  /**
   * Takes more memory for a body.
   * @param bytes - What is added.
   * @param size - What the body takes with it, in bytes.
   * @returns Whether it may be taken; if not, it is not counted.
   */
  take(bytes: number, size: number): boolean {
    if (size > SMALL_BYTES && this.total + bytes > MAX_TOTAL_BYTES) return false;
    this.total += bytes;
    return true;
  }

  /** Gives back the memory of a body that is not held any more. */
  giveBack(bytes: number): void {
    this.total -= bytes;
  }
}
