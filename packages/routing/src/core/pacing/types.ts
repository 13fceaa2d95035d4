/** When prompts may be sent to engines. */

/** A prompt that is to be sent to an engine. */
export interface PromptTurn {
  /** The engine. */
  readonly replica: string;
  /** Tokens to read. */
  readonly tokens: number;
  /** Longest pause between two events of a stream for which its answer is still on time, in milliseconds. */
  readonly maxPauseMs: number;
  /** Longest time for which the prompt may be held back, in milliseconds. */
  readonly patienceMs: number;
}
