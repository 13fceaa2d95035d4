/** Exchanges with replicas over peers, for a daemon that can't reach the replicas itself. */
export type { RelayServerOptions } from './relay-server.js';
export type { EndProofsOptions } from './end-proofs.js';
export { EndProofs } from './end-proofs.js';
export { ProvedEnd } from './proved-end.js';
export type { PresenceCheckOptions } from './replica-presence.js';
export { Presence, PresenceCheck } from './replica-presence.js';
export { ProvedExchange } from './proved-exchange.js';
export { RelayServer } from './relay-server.js';
export type { RelayEvent, RelayRequest } from './types.js';
export { RelayError, RelayEventKind } from './types.js';
export type { UpstreamPath, UpstreamRequest, UpstreamSenderOptions } from './upstream-sender.js';
export { PathKind, UpstreamSender } from './upstream-sender.js';
