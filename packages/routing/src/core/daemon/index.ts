/** The router daemon. */
export type { EngineState, Heartbeat, HeartbeatFrame } from './heartbeat-codec.js';
export { decodeHeartbeat, encodeHeartbeat } from './heartbeat-codec.js';
export { Router } from './router.js';
export type { RouterOptions, RouterSettings } from './types.js';
