/** The host list. */
export { createHttpHostList } from './client.js';
export type { HttpHostListOptions } from './client.js';
export { HostRole, HostState } from './types.js';
export type { HostEntry, HostListSource, HostListView } from './types.js';
