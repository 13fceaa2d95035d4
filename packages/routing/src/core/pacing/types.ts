/** Messages and decisions of prompt admission. */
import type { RequestCounts, InFlightReport } from '../choice/index.js';

/** The prefill of one prompt, measured as the time to the first event of the response. */
export interface PrefillSample {
  /** Tokens of the prompt. */
  readonly tokens: number;
  /** Time from sending the request to the first event, in milliseconds. */
  readonly ms: number;
}

/** A prompt that is to be sent to an engine. */
export interface Prompt {
  /** Tokens to prefill. */
  readonly tokens: number;
  /** Longest gap between two events of a stream that its callers expect, in milliseconds. */
  readonly maxGapMs: number;
  /** Longest delay with which the caller can still be served, in milliseconds. */
  readonly maxDelayMs: number;
}

/** A request to the owner of an engine to admit a prompt there. */
export interface AdmissionRequest extends Prompt {
  /** The engine. */
  readonly replica: string;
  /** `model/adapter`; undefined where the prompt needs the base model only. */
  readonly key: string | undefined;
  /** Highest number of requests that the engine may have in flight, this one included. */
  readonly maxInFlight: number;
  /** The sender's samples of this engine since its last request; engines of one service differ in speed. */
  readonly prefillSamples: readonly PrefillSample[];
  /** Changes of the sender's requests on the engine, this one included. */
  readonly inFlight: InFlightReport;
}

/** The owner's decision on a prompt. */
export enum AdmissionVerdict {
  Admitted = 0,
  /** The adapter is not resident. */
  NotResident = 1,
  /** All slots that the prompt may use are taken. */
  Full = 2,
}

/** The owner's response to an admission request. */
export interface AdmissionDecision {
  readonly verdict: AdmissionVerdict;
  /** Time for which the sender must delay the prompt, in milliseconds. */
  readonly delayMs: number;
  /** Requests on the engine over all daemons, this one included; undefined when the owner did not respond. */
  readonly counts: RequestCounts | undefined;
}
