/** Connections to replicas, and what can be said of each exchange. */
export { Channel } from './channel.js';
export { ExclusiveChannel } from './exclusive.js';
export { ChannelPool } from './pool.js';
export type { UpstreamAddress } from './pool.js';
export type { AnswerSink, HeaderMap, RunningExchange, UpstreamCall } from './types.js';
export { ChannelFailure } from './types.js';
export type { ReadOptions, WholeAnswer } from './whole.js';
export { exchangeWhole, ExchangeError } from './whole.js';
