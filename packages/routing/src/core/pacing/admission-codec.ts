/** The compact form of a request for admission and of its answer: one of each goes with every generation. */
import type { InFlightFrame } from '../choice/index.js';
import { decodeInFlight, encodeInFlight } from '../choice/index.js';
import type { AdmissionDecision, AdmissionRequest, Verdict } from './types.js';

/** A request for admission between daemons. */
export type AdmissionFrame = readonly [
  replica: string,
  key: string | null,
  places: number,
  tokens: number,
  maxPauseMs: number,
  patienceMs: number,
  readings: readonly (readonly [tokens: number, ms: number])[],
  inFlight: InFlightFrame,
];

/** An answer between daemons. */
export type DecisionFrame = readonly [verdict: Verdict, delayMs: number, running: number, waiting: number];

/**
 * Encodes a request for admission.
 * @param request - The request.
 * @returns Its compact form.
 */
export function encodeAdmission(request: AdmissionRequest): AdmissionFrame {
  const { replica, key, places, tokens, maxPauseMs, patienceMs, readings, inFlight } = request;
  const times = readings.map((reading) => [reading.tokens, Math.round(reading.ms)] as const);
  return [
    replica,
    key ?? null,
    places,
    tokens,
    maxPauseMs,
    Math.round(patienceMs),
    times,
    encodeInFlight(inFlight),
  ];
}

/**
 * Decodes a request for admission.
 * @param frame - Its compact form.
 * @returns The request.
 */
export function decodeAdmission(frame: AdmissionFrame): AdmissionRequest {
  const [replica, key, places, tokens, maxPauseMs, patienceMs, readings, inFlight] = frame;
  return {
    replica,
    key: key ?? undefined,
    places,
    tokens,
    maxPauseMs,
    patienceMs,
    readings: readings.map(([read, ms]) => ({ tokens: read, ms })),
    inFlight: decodeInFlight(inFlight),
  };
}

/**
 * Encodes an answer.
 * @param decision - The answer.
 * @returns Its compact form.
 */
export function encodeDecision({ verdict, delayMs, counts }: AdmissionDecision): DecisionFrame {
  return [verdict, Math.round(delayMs), counts?.running ?? 0, counts?.waiting ?? 0];
}

/**
 * Decodes an answer.
 * @param frame - Its compact form.
 * @returns The answer.
 */
export function decodeDecision([verdict, delayMs, running, waiting]: DecisionFrame): AdmissionDecision {
  return { verdict, delayMs, counts: { running, waiting } };
}
