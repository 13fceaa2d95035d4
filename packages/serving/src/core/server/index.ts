/** The callers' server. */
export { createCallerServer } from './server.js';
export { DEFAULT_CALLER_SETTINGS } from './settings.js';
export type { CallerServer, CallerServerOptions, CallerSettings, CutRequest } from './types.js';
