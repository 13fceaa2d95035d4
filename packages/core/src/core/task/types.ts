/** Types of tasks. */

/** The body of a task: it yields promises and gets their values back. */
export type TaskBody<T> = (signal: AbortSignal) => Generator<unknown, T>;

/** A running task. */
export interface Task<T> {
  /** Settles with the task's result; rejects with its error, or with the reason it was stopped for. */
  readonly done: Promise<T>;
  /**
   * Stops the task: its signal aborts, and the error is thrown at the yield where it waits, so that finally blocks run.
   * It is thrown once: what a finally block yields is still waited for.
   * @param reason - Why; an AbortError when left out.
   * @returns A promise that settles when the task has ended, and never rejects.
   */
  stop(reason?: unknown): Promise<void>;
}
