/** Calls and heartbeats between the daemons of a fleet. */
export { createPeerBus } from './bus.js';
export { createMemoryPeerNet } from './memory.js';
export type { MemoryPeerNet } from './memory.js';
export { DEFAULT_PEER_SETTINGS, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION } from './settings.js';
export { PeerEventKind } from './types.js';
export type {
  FrameRoute,
  HeartbeatSection,
  LinkPolicy,
  ManagedPeerBus,
  PeerAddress,
  PeerBus,
  PeerBusOptions,
  PeerCallOptions,
  PeerDirectory,
  PeerEvent,
  PeerHandler,
  PeerIdentity,
  PeerProcedure,
  PeerSettings,
} from './types.js';
