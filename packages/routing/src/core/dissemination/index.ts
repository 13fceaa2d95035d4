/** Replicates the state that all daemons share over a tree of subscriptions. */
export type { Batch, SubscriptionResponse } from './batch.js';
export { decodeBatch, encodeBatch } from './batch.js';
export { ParentClock } from './parent-clock.js';
export { FAN_OUT, chooseParent, storeReaderRank } from './topology.js';
export type { TopologyInput } from './topology.js';
export { DisseminationTree } from './tree.js';
export type { DisseminationOptions } from './tree.js';
export type { TopicHandler } from './types.js';
export { Topic } from './types.js';
export type { EngineRow } from './versioned-table.js';
export { VersionedTable } from './versioned-table.js';
