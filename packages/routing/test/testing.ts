/** Test utilities of this package that other packages use. */
export type { Random } from './orders/random.js';
export { createRandom } from './orders/random.js';
export type { RawReplica, RawRequest } from './raw.js';
export { PathCut, PathCuts } from './path-cuts.js';
export { sendRaw, headerValue, startRawReplica, parseRequest, wholeBody } from './raw.js';
export type { RetryBounds, RetryWindow } from './repeats/rule.js';
export { RetryRecord } from './repeats/rule.js';
