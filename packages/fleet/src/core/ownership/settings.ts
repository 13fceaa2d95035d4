/** Default time bounds of ownership. */
import type { OwnershipTimes } from './types.js';

/** Defaults; the daemon overrides those that its settings name. */
export const DEFAULT_OWNERSHIP_TIMES: OwnershipTimes = {
  leaseMs: 5_000,
  hostListLagMs: 3_000,
  removalTimeoutMs: 3_000,
  reportPollMs: 500,
  reportLagMs: 1_000,
  slotLeaseMs: 5_000,
  driftShare: 0.01,
  staleLimitMs: 600_000,
  tickMs: 200,
  peerTimeoutMs: 1_000,
};
