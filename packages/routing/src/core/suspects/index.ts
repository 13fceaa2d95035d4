/** Requests under which replicas crash. */
export type { RequestIdentity } from './fingerprint.js';
export { fingerprintOf } from './fingerprint.js';
