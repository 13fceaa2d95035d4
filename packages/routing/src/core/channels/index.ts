/** Connections to replicas, and whether a failed request may have run. */
export { Channel } from './channel.js';
export { endsWithConnection, isFramed } from './framing.js';
export { HeadGuard } from './head-guard.js';
export { failLater } from './fail-later.js';
export { ExclusiveChannel } from './exclusive-channel.js';
export { ChannelPool, NO_GUARD } from './pool.js';
export type { UpstreamAddress } from './pool.js';
export type { UpstreamGuard, ResponseSink, HeaderMap, ExchangeHandle, UpstreamCall } from './types.js';
export { ChannelFailure, ExchangePurpose } from './types.js';
export type { ExchangeOptions, BufferedResponse } from './buffered-response.js';
export { requestBuffered, ExchangeError, ResponseTooLargeError } from './buffered-response.js';
