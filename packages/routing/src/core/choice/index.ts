/** Chooses the replica that a request goes to, by health, load and resident adapters. */
export type { Choice, ChooserOptions, Need } from './chooser.js';
export { Chooser, maxInFlightFor, requestAdapterKey } from './chooser.js';
export type { InFlightFrame } from './in-flight-codec.js';
export { decodeInFlight, encodeInFlight } from './in-flight-codec.js';
export type {
  AdapterInFlight,
  RequestCounts,
  InFlightReport,
  ReplicaInFlight,
  InFlightHandle,
} from './in-flight.js';
export { InFlightTable } from './in-flight.js';
export { ReplicaHealth } from './replica-health.js';
