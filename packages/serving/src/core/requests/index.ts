/** Requests in progress. */
export { readBody, readJsonBody } from './body.js';
export type { BodyLimits, JsonObject } from './body.js';
export { makeRequestId, openRequest, traceHeaders } from './context.js';
export type { OpenRequest, RequestOpening } from './context.js';
export type { RequestContext } from './types.js';
