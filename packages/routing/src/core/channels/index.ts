/** Connections to replicas, and whether a failed request may have run. */
export { Channel } from './channel.js';
export { ExclusiveChannel } from './exclusive-channel.js';
export { ChannelPool } from './pool.js';
export type { UpstreamAddress } from './pool.js';
export type { AnswerSink, HeaderMap, RunningExchange, UpstreamCall } from './types.js';
export { ChannelFailure } from './types.js';
export type { ReadOptions, WholeAnswer } from './buffered-response.js';
export { exchangeWhole, ExchangeError } from './buffered-response.js';
