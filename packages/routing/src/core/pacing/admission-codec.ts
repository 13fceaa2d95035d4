/**
 * Encodes admission requests and decisions as arrays without field names, as every generation sends one of
 * each.
 */
import type { InFlightFrame } from '../choice/index.js';
import { decodeInFlight, encodeInFlight } from '../choice/index.js';
import type { AdmissionDecision, AdmissionRequest, AdmissionVerdict } from './types.js';

/** An admission request as it is sent between daemons. */
export type AdmissionFrame = readonly [
  replica: string,
  key: string | null,
  maxInFlight: number,
  tokens: number,
  maxGapMs: number,
  maxDelayMs: number,
  prefillSamples: readonly (readonly [tokens: number, ms: number])[],
  inFlight: InFlightFrame,
];

/** A decision as it is sent between daemons. */
export type DecisionFrame = readonly [
  verdict: AdmissionVerdict,
  delayMs: number,
  running: number,
  waiting: number,
];

/** Encodes an admission request. */
export function encodeAdmission(request: AdmissionRequest): AdmissionFrame {
  const {
    replica,
    key,
    maxInFlight,
    tokens,
    maxGapMs: gapLimitMs,
    maxDelayMs: delayLimitMs,
    prefillSamples,
    inFlight,
  } = request;
  const samples = prefillSamples.map((sample) => [sample.tokens, Math.round(sample.ms)] as const);
  return [
    replica,
    key ?? null,
    maxInFlight,
    tokens,
    gapLimitMs,
    Math.round(delayLimitMs),
    samples,
    encodeInFlight(inFlight),
  ];
}

/** Decodes an admission request. */
export function decodeAdmission(frame: AdmissionFrame): AdmissionRequest {
  const [replica, key, maxInFlight, tokens, gapLimitMs, delayLimitMs, prefillSamples, inFlight] = frame;
  return {
    replica,
    key: key ?? undefined,
    maxInFlight,
    tokens,
    maxGapMs: gapLimitMs,
    maxDelayMs: delayLimitMs,
    prefillSamples: prefillSamples.map(([sampleTokens, ms]) => ({ tokens: sampleTokens, ms })),
    inFlight: decodeInFlight(inFlight),
  };
}

/** Encodes a decision. */
export function encodeDecision({ verdict, delayMs, counts }: AdmissionDecision): DecisionFrame {
  return [verdict, Math.round(delayMs), counts?.running ?? 0, counts?.waiting ?? 0];
}

/** Decodes a decision. */
export function decodeDecision([verdict, delayMs, running, waiting]: DecisionFrame): AdmissionDecision {
  return { verdict, delayMs, counts: { running, waiting } };
}
