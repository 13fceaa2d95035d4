/** Answers that are made here, and the headers of the callers' API. */
export { endStreamWithError, errorBody, errorHeaders, writeError, writeJson } from './answers.js';
export type { ErrorBody } from './answers.js';
export * as headerNames from './headers.js';
