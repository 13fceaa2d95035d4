/** Distribution of one configuration to every daemon. */
export { createConfigDistribution } from './distribution.js';
export { DEFAULT_DISTRIBUTION_SETTINGS } from './settings.js';
export { Origin } from './types.js';
export type {
  Announcement,
  ConfigDistribution,
  DistributionOptions,
  DistributionSettings,
  DistributionStatus,
  PeerConfigStatus,
  RefusedSet,
} from './types.js';
