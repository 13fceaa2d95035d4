/** Health of upstreams. */
export { createUpstreamHealth } from './health.js';
export { HealthState } from './types.js';
export type { UpstreamHealth, UpstreamHealthOptions, UpstreamProbe, WatchedUpstream } from './types.js';
