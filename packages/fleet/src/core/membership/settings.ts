/** Default settings of membership. */
import type { MembershipSettings } from './types.js';

/** Defaults; the settings of the daemon override some of them. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  pollMs: 1_000,
  readTimeoutMs: 2_000,
  peerTimeoutMs: 1_000,
  fleetReadsPerSecond: 20,
  suspectMs: 3_000,
  tickMs: 100,
  pauseMs: 1_000,
  driftShare: 0.01,
  maxPeers: 16,
  panicShare: 0.5,
  panicHoldMs: 5_000,
  versionResetMs: 60_000,
};
