/** The operators' listener. */
export { createAdminServer } from './server.js';
export type { AdminServer, AdminServerOptions } from './types.js';
