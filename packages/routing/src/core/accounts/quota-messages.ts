/** Messages between daemons about quotas, and their encoded forms. */
import type { ChargeResult } from './quota-ledger.js';

/** Asks the owner of an account to charge a request. */
export interface ChargeRequest {
  readonly account: string;
  readonly units: number;
}

/** Units that a daemon has admitted without the owner, or refunds. */
export interface UsageReport {
  readonly account: string;
  /** Below 0 for a refund. */
  readonly units: number;
}

export type ChargeFrame = readonly [account: string, units: number];

/** Null if the requested daemon does not decide for the account. */
export type ChargeResponseFrame =
  readonly [isAdmitted: boolean, retryAfterMs: number, blockedMs: number] | null;

export type UsageFrame = readonly (readonly [account: string, units: number])[];

/** Maximum time in a frame, in milliseconds: infinite times can't be encoded. */
const MAX_ENCODED_MS = 60_000;

export function encodeCharge({ account, units }: ChargeRequest): ChargeFrame {
  return [account, units];
}

export function decodeCharge([account, units]: ChargeFrame): ChargeRequest {
  return { account, units };
}

/**
 * Encodes the response to a charge request.
 * @param result - Undefined if this daemon does not decide for the account.
 */
export function encodeChargeResponse(result: ChargeResult | undefined): ChargeResponseFrame {
  if (result === undefined) return null;
  const { isAdmitted, retryAfterMs, blockedMs } = result;
  return [isAdmitted, capMs(retryAfterMs), capMs(blockedMs)];
}

/**
 * Decodes the response to a charge request.
 * @returns Undefined if the requested daemon does not decide for the account.
 */
export function decodeChargeResponse(frame: ChargeResponseFrame): ChargeResult | undefined {
  if (frame === null) return undefined;
  const [isAdmitted, retryAfterMs, blockedMs] = frame;
  return { isAdmitted, retryAfterMs, blockedMs };
}

export function encodeUsage(reports: readonly UsageReport[]): UsageFrame {
  return reports.map(({ account, units }) => [account, units] as const);
}

export function decodeUsage(frame: UsageFrame): UsageReport[] {
  return frame.map(([account, units]) => ({ account, units }));
}

function capMs(ms: number): number {
  return Math.min(MAX_ENCODED_MS, Math.round(ms));
}
