/** Messages between daemons about quotas, and their compact form. */
import type { ChargeResult } from './quota-ledger.js';

/** Asks the owner of an account to charge a request. */
export interface ChargeRequest {
  readonly account: string;
  readonly units: number;
  /** Whether its answer will be late whatever is done. */
  readonly isLate: boolean;
}

/** Units that a daemon has admitted on its own, or gives back. */
export interface UsageReport {
  readonly account: string;
  /** Below 0 to give back. */
  readonly units: number;
}

export type ChargeFrame = readonly [account: string, units: number, isLate: boolean];

/** Null where the daemon that was asked does not decide for the account. */
export type ChargeAnswerFrame =
  readonly [isAdmitted: boolean, retryAfterMs: number, blockedMs: number] | null;

export type UsageFrame = readonly (readonly [account: string, units: number])[];

/** Longest time that a frame states, in milliseconds: infinite ones have no compact form. */
const MAX_STATED_MS = 60_000;

/**
 * Encodes a request to charge.
 * @param request - The request.
 * @returns Its compact form.
 */
export function encodeCharge({ account, units, isLate }: ChargeRequest): ChargeFrame {
  return [account, units, isLate];
}

/**
 * Decodes a request to charge.
 * @param frame - Its compact form.
 * @returns The request.
 */
export function decodeCharge([account, units, isLate]: ChargeFrame): ChargeRequest {
  return { account, units, isLate };
}

/**
 * Encodes an answer.
 * @param result - What became of the request; undefined where the daemon does not decide.
 * @returns Its compact form.
 */
export function encodeChargeAnswer(result: ChargeResult | undefined): ChargeAnswerFrame {
  if (result === undefined) return null;
  const { isAdmitted, retryAfterMs, blockedMs } = result;
  return [isAdmitted, capped(retryAfterMs), capped(blockedMs)];
}

/**
 * Decodes an answer.
 * @param frame - Its compact form.
 * @returns What became of the request; undefined where the daemon does not decide.
 */
export function decodeChargeAnswer(frame: ChargeAnswerFrame): ChargeResult | undefined {
  if (frame === null) return undefined;
  const [isAdmitted, retryAfterMs, blockedMs] = frame;
  return { isAdmitted, retryAfterMs, blockedMs };
}

/**
 * Encodes reports of usage.
 * @param reports - One for each account.
 * @returns Their compact form.
 */
export function encodeUsage(reports: readonly UsageReport[]): UsageFrame {
  return reports.map(({ account, units }) => [account, units] as const);
}

/**
 * Decodes reports of usage.
 * @param frame - Their compact form.
 * @returns The reports.
 */
export function decodeUsage(frame: UsageFrame): UsageReport[] {
  return frame.map(([account, units]) => ({ account, units }));
}

function capped(ms: number): number {
  return Math.min(MAX_STATED_MS, Math.round(ms));
}
