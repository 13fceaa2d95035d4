/** Test utilities of this package that other packages use. */
export type { Random } from './orders/random.js';
export { createRandom } from './orders/random.js';
export type { RawReplica, RawRequest } from './raw.js';
export { converse, headerIn, startReplica, takeRequest } from './raw.js';
export type { RepeatBounds, RepeatWindow } from './repeats/rule.js';
export { RepeatRecord } from './repeats/rule.js';
