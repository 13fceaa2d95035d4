/** Plain services. */
export { runServiceCall } from './call.js';
export { ServicePool } from './pool.js';
export type { PickedUpstream, ServicePoolOptions } from './pool.js';
export { isDeclaredOnce, pathBelow } from './target.js';
export type { PlainCall, PlainServices } from './types.js';
