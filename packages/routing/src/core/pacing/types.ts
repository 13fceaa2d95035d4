/** When prompts may be sent to engines. */

/** How long an engine took to the first event of an answer. */
export interface Reading {
  /** Tokens of the prompt. */
  readonly tokens: number;
  /** Time from the send to the first event, in milliseconds. */
  readonly ms: number;
}

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
  /** What the sender has seen of this engine since it asked last; engines of one service differ in speed. */
  readonly readings: readonly Reading[];
}
