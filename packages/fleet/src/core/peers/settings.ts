/** Protocol versions and default settings of the peer bus. */
import type { PeerSettings } from './types.js';

/** Newest protocol version that this build supports. */
export const PROTOCOL_VERSION = 1;

/** Oldest protocol version that this build supports. */
export const OLDEST_PROTOCOL_VERSION = 1;

/** Defaults for hosts with a network latency of about one millisecond. */
export const DEFAULT_PEER_SETTINGS: PeerSettings = {
  heartbeatMs: 500,
  heartbeatTimeoutMs: 2_000,
  dialTimeoutMs: 2_000,
  backoffMinMs: 50,
  backoffMaxMs: 2_000,
  idleLinkMs: 60_000,
  maxMessageBytes: 1_048_576,
  maxSectionBytes: 32_768,
  maxBufferedBytes: 8_388_608,
  maxUnauthenticatedLinks: 32,
};
