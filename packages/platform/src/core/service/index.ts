/** Plain services. */
export { createServiceClient, endToEndHeaders } from './client.js';
export type { ServiceClientOptions } from './client.js';
export type { ServiceCall, ServiceClient, ServiceClientFactory } from './types.js';
