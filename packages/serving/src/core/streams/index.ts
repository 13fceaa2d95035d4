/** Streamed answers. */
export { StreamPosition, Verdict } from './position.js';
export { relayEvents } from './relay.js';
export type { RelayOptions } from './relay.js';
export { EventKind, EventScanner, NO_ID } from '@celeryyoke/core';
export { RelayEnd } from './types.js';
export type { RelayResult } from './types.js';
