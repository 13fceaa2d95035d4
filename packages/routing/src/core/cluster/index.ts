/** Membership from seeds, and messages between daemons. */
export type { ClusterOptions } from './cluster.js';
export { Cluster, heartbeatIntervals } from './cluster.js';
export type { Member, MessageHandler } from './types.js';
export { MemberState, MessageType } from './types.js';
