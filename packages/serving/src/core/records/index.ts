/** Records of requests. */
export { createRequestLog } from './ring.js';
export type { AttemptRecord, RequestLog, RequestRecord } from './types.js';
