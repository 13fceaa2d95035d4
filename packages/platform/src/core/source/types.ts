/** The platform's configuration service: read and watched, never written. */

/** A value with its revision. */
export interface ConfigValue {
  readonly revision: number;
  readonly value: string;
}

/** A client of the configuration service; each call counts against its read limit. */
export interface ConfigSource {
  /**
   * Reads a value; undefined when there is none.
   * @throws CeleryyokeError PlatformUnavailable.
   */
  read(key: string, timeoutMs: number): Promise<ConfigValue | undefined>;
  /**
   * Waits until a value's revision differs from the one known.
   * @param key - The value's key.
   * @param known - Revision that the reader has; 0 for none.
   * @param waitMs - Longest wait in milliseconds.
   * @param signal - Ends the wait.
   * @returns The value, or undefined when the wait ended without a change.
   * @throws CeleryyokeError PlatformUnavailable.
   */
  watch(key: string, known: number, waitMs: number, signal: AbortSignal): Promise<ConfigValue | undefined>;
  /** Closes its connections. */
  close(): Promise<void>;
}
