/** Types of the fleet's membership and of the messages between daemons. */

/** A daemon of the fleet. */
export interface Member {
  /** Where it listens for peers, as `host:port`; its name in the fleet. */
  readonly address: string;
  /** Failure domain. */
  readonly zone: string;
  /** Names one life of its process; a later one is larger. */
  readonly incarnation: number;
}

/** Whether a member takes part. */
export enum MemberState {
  Alive = 'alive',
  /** It did not answer the daemons that probe it; it may be dead, cut off or paused. */
  Silent = 'silent',
  /** It has said that it is shutting down; it gives no more orders. */
  Leaving = 'leaving',
  /** Its process has ended, as a refused connection shows. */
  Ended = 'ended',
}

/** What the fleet knows of one member. */
export interface MemberRecord extends Member {
  /** Raised only by the member itself, to refute what others say of it. */
  readonly version: number;
  readonly state: MemberState;
}

/** Types of messages between daemons. */
export enum MessageType {
  /** First message of a link: who speaks. */
  Hello = 1,
  /** Probes the receiver. */
  Heartbeat = 2,
  /** The speaker closes the link since it does not need it; its process goes on. */
  Goodbye = 3,
  /** Exchanges the members that both sides know. */
  Join = 4,
  /** Asks to be sent all changes of the shared state. */
  Subscribe = 5,
  /** Ends a subscription. */
  Unsubscribe = 6,
  /** Changes of the shared state, on their way to the root. */
  Update = 7,
  /** Asks for the changes of the platform's view since a revision. */
  ViewChanges = 8,
  /** Asks the owner of an engine to have an adapter there. */
  Ensure = 9,
  /** Asks the owner of an engine to admit a prompt. */
  Admission = 10,
  /** The speaker's requests on the engines of the receiver. */
  InFlight = 11,
  /** Asks how old the last batch of a root is. */
  RootAge = 12,
  /** Asks the owner of an account to charge a request. */
  QuotaCharge = 13,
  /** What the speaker has admitted of accounts that the receiver owns. */
  QuotaUsage = 14,
  /** Asks for the monotonic clock. */
  Clock = 15,
  /** Asks whether a request may be sent to a replica that states a limit. */
  SendPermit = 16,
}

/** The listening end of a link, over which messages can be pushed to the daemon that dialled. */
export interface PeerChannel {
  /**
   * Sends a message that is no answer.
   * @param frame - Made by `encodePush`.
   */
  push(frame: Buffer): void;
}

/** Handles the messages of one type; what it returns or resolves to is the answer to a request. */
export type MessageHandler = (from: Member, body: never, channel: PeerChannel) => unknown;

/** How a link ended. */
export enum LinkEnd {
  /** The host refused the connection: no process listens there. */
  Refused = 'refused',
  /** The peer closed or reset it. */
  Closed = 'closed',
  /** The peer did not answer in time. */
  Silent = 'silent',
}

/** Callbacks of a link to a peer. */
export interface LinkEvents {
  /** First message of the link. */
  readonly hello: () => unknown;
  /** Called with each message that the peer pushes. */
  readonly onPush: (body: unknown) => void;
  /** Called with the digest of the members that the peer knows, which it answers to a heartbeat. */
  readonly onDigest: (digest: number) => void;
  /** Called once, when the link ended or could not be made; not after {@link PeerLink.close}. */
  readonly onEnd: (end: LinkEnd, wasUp: boolean) => void;
}

/** A connection that this daemon has opened to a peer. */
export interface PeerLink {
  /** Whether the connection is established. */
  readonly isUp: boolean;
  /** Monotonic time of the last bytes from the peer, in milliseconds. */
  readonly heardAt: number;
  /** Monotonic time of the last message other than a heartbeat, in either direction, in milliseconds. */
  readonly usedAt: number;
  /** Sends a message that has no answer; before the connection is established it is kept. */
  send(type: MessageType, body: unknown): void;
  /**
   * Sends a message and waits for its answer.
   * @param timeoutMs - Longest wait.
   * @throws Error when the link ends or the time is over.
   */
  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends a heartbeat, and ends the link when the peer has not answered the last ones. */
  heartbeat(): void;
  /** Tells the peer that the link is not needed, and closes it. */
  close(): void;
}

/** What the listening side does with what it hears. */
export interface ListenerEvents {
  /**
   * Called with the first message of a connection.
   * @returns Address of the peer.
   */
  readonly onHello: (body: unknown) => string;
  /** Digest of the members that this daemon knows; the answer to a heartbeat. */
  readonly digest: () => number;
  /** Called with each further message; what it returns is the answer. */
  readonly onMessage: (peer: string, type: MessageType, body: unknown, channel: PeerChannel) => unknown;
  /** Called when a connection ended; orderly when the peer had said goodbye. */
  readonly onClose: (peer: string, channel: PeerChannel, isOrderly: boolean) => void;
  /** Called with what went wrong on a connection. */
  readonly onProblem: (peer: string | undefined, err: Error) => void;
}

/** Connects daemons. */
export interface PeerTransport {
  /** Starts to accept connections; the result ends them all. */
  listen(events: ListenerEvents): Promise<() => void>;
  /** Opens a connection. */
  connect(address: string, events: LinkEvents): PeerLink;
}
