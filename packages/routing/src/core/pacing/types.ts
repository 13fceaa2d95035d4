/** When prompts may be sent to engines. */
import type { Counts, InFlightReport } from '../choice/index.js';

/** How long an engine took to the first event of an answer. */
export interface Reading {
  /** Tokens of the prompt. */
  readonly tokens: number;
  /** Time from the send to the first event, in milliseconds. */
  readonly ms: number;
}

/** A prompt that is to be sent to an engine. */
export interface Prompt {
  /** Tokens to read. */
  readonly tokens: number;
  /** Longest pause between two events of a stream for which its answer is still on time, in milliseconds. */
  readonly maxPauseMs: number;
  /** Longest time for which the prompt may be held back, in milliseconds. */
  readonly patienceMs: number;
}

/** Asks the owner of an engine to admit a prompt there. */
export interface AdmissionRequest extends Prompt {
  /** The engine. */
  readonly replica: string;
  /** `model/adapter`; undefined where the prompt needs the base model only. */
  readonly key: string | undefined;
  /** Most requests that the engine may have in flight with this one. */
  readonly places: number;
  /** What the sender has seen of this engine since it asked last; engines of one service differ in speed. */
  readonly readings: readonly Reading[];
  /** Changes of the sender's requests on the engine, this one included. */
  readonly inFlight: InFlightReport;
}

/** What the owner of an engine says of a prompt. */
export enum Verdict {
  Admitted = 0,
  /** The adapter is not resident. */
  NotResident = 1,
  /** The engine has no place for it. */
  Full = 2,
}

/** The owner's answer. */
export interface AdmissionDecision {
  readonly verdict: Verdict;
  /** How long to hold the prompt back, in milliseconds. */
  readonly delayMs: number;
  /** Requests on the engine over all daemons, this one included; undefined when nobody answered. */
  readonly counts: Counts | undefined;
}
