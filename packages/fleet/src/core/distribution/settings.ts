/** Defaults of the distribution. */
import type { DistributionSettings } from './types.js';

/** Chosen so that a change is in force within 11 s while one daemon alone reaches the service. */
export const DEFAULT_DISTRIBUTION_SETTINGS: DistributionSettings = {
  watchMs: 30_000,
  watchGapMs: 250,
  retryMinMs: 250,
  retryMaxMs: 4_000,
  peerTimeoutMs: 1_000,
  sourceTimeoutMs: 2_000,
  bootstrapPeers: 8,
  bootstrapMs: 3_000,
  tickMs: 1_000,
  peerMemoryMs: 10_000,
  avoidMs: 5_000,
  lanes: 4,
};
