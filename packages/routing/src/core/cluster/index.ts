/** Membership of the fleet, and connections and messages between daemons. */
export type { ClusterOptions } from './cluster.js';
export { Cluster } from './cluster.js';
export { encodeFrame, encodePush, FrameReader } from './frames.js';
export type { MemberFrame } from './member-codec.js';
export { decodeMember, encodeMember } from './member-codec.js';
export { MemberTable, supersedes } from './members.js';
export { createTcpTransport } from './tcp.js';
export type {
  LinkEvents,
  ListenerEvents,
  Member,
  MemberRecord,
  MessageHandler,
  PeerChannel,
  PeerLink,
  PeerTransport,
} from './types.js';
export { LinkEnd, MemberState, MessageType } from './types.js';
