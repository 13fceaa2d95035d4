/** Errors: the catalogue of result codes and the class that carries them. */
export { ERROR_CATALOGUE } from './catalogue.js';
export type { ErrorName } from './catalogue.js';
export { CeleryyokeError, toCeleryyokeError } from './error.js';
export type { ErrorOptions } from './error.js';
export { renderResultCodesPage } from './page.js';
export { RunState } from './types.js';
export type { ErrorEntry, ErrorParams } from './types.js';
