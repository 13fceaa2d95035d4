/** The router daemon: its settings, its parts, and its protocol with peers. */
export { decodeResidency, encodeResidency } from './engine-rows.js';
export type { ResidencyRow } from './engine-rows.js';
export { InFlightReporter } from './in-flight-reporter.js';
export { PeerProtocol } from './peer-protocol.js';
export { Router } from './router.js';
export type { RouterOptions, RouterSettings } from './types.js';
