/** Types of the fleet's membership, and of links and messages between daemons. */

/** A daemon of the fleet. */
export interface Member {
  /** Address on which the daemon listens for peers, as `host:port`; identifies it in the fleet. */
  readonly address: string;
  /** Failure domain of the daemon. */
  readonly zone: string;
  /** Identifies one run of the daemon's process; a later process start has a larger number. */
  readonly incarnation: number;
}

/** State of a member, as the fleet knows it. */
export enum MemberState {
  Alive = 'alive',
  /** The member did not respond to probes; it may have crashed, be cut off or paused. */
  Silent = 'silent',
  /** The member has published that it is shutting down; its engines may be claimed. */
  Leaving = 'leaving',
  /** The member's process has ended, which a refused connection shows. */
  Ended = 'ended',
}

/** A member with its state. */
export interface MemberRecord extends Member {
  /** Raised only by the member itself: to refute records of it, and when it shuts down. */
  readonly version: number;
  readonly state: MemberState;
}

/** Types of messages between daemons; the numbers are sent. */
export enum MessageType {
  /** First message on a connection: the record of the sender. */
  Hello = 1,
  /** Probes the receiver, which responds with the digest of its members. */
  Heartbeat = 2,
  /** The sender closes the link because it is not needed; its process goes on. */
  Goodbye = 3,
  /** Exchanges the members that both sides know. */
  Join = 4,
  /** Subscribes to all changes of the shared state. */
  Subscribe = 5,
  /** Ends a subscription. */
  Unsubscribe = 6,
  /** Sends changes of the shared state up the tree. */
  Update = 7,
  /** Requests the changes of the platform's view since a revision. */
  ViewChanges = 8,
  /** Requests the owner of an engine to load an adapter there. */
  EnsureAdapter = 9,
  /** Requests the owner of an engine to admit a prompt. */
  AdmitPrompt = 10,
  /** Reports the sender's requests in flight on engines that the receiver owns. */
  InFlightReport = 11,
  /** Requests the age of the last batch of a root. */
  RootAge = 12,
  /** Requests the owner of an account to charge a request. */
  QuotaCharge = 13,
  /** Reports the usage that the sender has admitted for accounts that the receiver owns. */
  QuotaUsage = 14,
  /** Requests the receiver's monotonic time. */
  Clock = 15,
  /** Requests permission to send an attempt to a replica that states a rate limit. */
  AttemptPermit = 16,
  /** Reports requests that were in flight at crashes of replicas, and what follows from that. */
  Suspects = 17,
  /** Requests an exchange with a replica that the sender can't reach. */
  Relay = 18,
  /** Requests slots of a replica that states a limit of rejections. */
  SlotRequest = 19,
  /** Reports the end of a request that had such a slot. */
  SlotRelease = 20,
  /** Reports the software versions that began streams. */
  StreamOrigins = 21,
  /** Requests the software version that began a stream. */
  StreamOrigin = 22,
  /** Requests the software versions that have served. */
  VersionHistory = 23,
  /** Asks when the receiver has heard from replicas, and whether it reaches any of their service. */
  ReplicaEvidence = 24,
}

/** The accepting end of a connection, over which messages can be pushed to the daemon that opened it. */
export interface PeerChannel {
  /**
   * Sends a message that is no response.
   * @param frame - Encoded with `encodePush`.
   * @returns Whether the peer keeps up; if not, `onDrain` tells when it does again.
   */
  push(frame: Buffer): boolean;
  /** Calls back once, when the peer has taken what was pushed. */
  onDrain(callback: () => void): void;
}

/** Handles the messages of one type; what it returns or resolves to is the response to a request. */
export type MessageHandler = (from: Member, body: never, channel: PeerChannel) => unknown;

/** How a link ended. */
export enum LinkEnd {
  /** The connection was refused: no process listens at the address. */
  Refused = 'refused',
  /** The peer closed or reset the connection, or sent a frame that can't be decoded. */
  Closed = 'closed',
  /** The peer did not respond in time, can't be reached or does not read. */
  Silent = 'silent',
}

/** Callbacks of a link to a peer. */
export interface LinkEvents {
  /** Returns the body of the hello. */
  readonly hello: () => unknown;
  /** Called with each message that the peer pushes. */
  readonly onPush: (body: unknown) => void;
  /** Called with the digest of the peer's members, which is its response to a heartbeat. */
  readonly onDigest: (digest: number) => void;
  /** Called once when the link has ended or could not be established; not after {@link PeerLink.close}. */
  readonly onEnd: (end: LinkEnd, wasUp: boolean) => void;
}

/** A connection that this daemon has opened to a peer. */
export interface PeerLink {
  /** Whether the connection is established. */
  readonly isUp: boolean;
  /** Monotonic time of the last bytes from the peer, in milliseconds. */
  readonly lastReceivedAt: number;
  /** Monotonic time of the last message other than a heartbeat, in either direction, in milliseconds. */
  readonly lastUsedAt: number;
  /** Sends a message without a response; it is buffered until the connection is established. */
  send(type: MessageType, body: unknown): void;
  /**
   * Sends a request and waits for its response.
   * @throws Error when the link ends, the handler of the peer fails or the timeout expires.
   */
  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends a heartbeat, or ends the link when the peer has not responded to the last ones. */
  heartbeat(): void;
  /** Sends a goodbye and closes the link. */
  close(): void;
  /** Resets the connection: what the peer has not received yet is lost. */
  abort(): void;
  /** Stops reading from the peer, which holds it back. */
  pause(): void;
  /** Goes on reading from the peer. */
  resume(): void;
}

/** Callbacks of the listening side. */
export interface ListenerEvents {
  /**
   * Called with the first message of a connection.
   * @param host - Address of the host that the connection comes from.
   * @returns Address of the peer.
   * @throws Error when the hello is invalid, which closes the connection.
   */
  readonly onHello: (body: unknown, host: string) => string;
  /** Returns the digest of this daemon's members; the response to a heartbeat. */
  readonly digest: () => number;
  /** Called with each further message; what it returns or resolves to is the response. */
  readonly onMessage: (peer: string, type: MessageType, body: unknown, channel: PeerChannel) => unknown;
  /** Called when a connection is closed; orderly when the peer has sent a goodbye. */
  readonly onClose: (peer: string, channel: PeerChannel, isOrderly: boolean) => void;
  /** Called with an error on a connection; the address is undefined before the hello. */
  readonly onProblem: (peer: string | undefined, err: Error) => void;
}

/** Connections between daemons. */
export interface PeerTransport {
  /**
   * Starts to accept connections; the returned function stops listening and closes all accepted connections.
   */
  listen(events: ListenerEvents): Promise<() => void>;
  /** Opens a link. */
  connect(address: string, events: LinkEvents): PeerLink;
}
