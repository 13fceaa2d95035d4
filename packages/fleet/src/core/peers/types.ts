/** Types of the peer bus: typed calls and heartbeats between daemons. */
import type { AuditTrail, Log, Metrics, TimerService } from '@celeryyoke/core';

/** Identity of a running daemon. */
export interface PeerIdentity {
  /** Host name on the host list. */
  readonly name: string;
  /** Identifies the process start; greater for a later start of the same host. */
  readonly incarnation: number;
  /** Failure domain. */
  readonly domain: string;
  /** Newest protocol version that it supports. */
  readonly protocol: number;
}

/** Options of one call. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** State that a module exchanges with peers in heartbeats; limited to `maxSectionBytes` of the settings. */
export interface HeartbeatSection {
  /** Unique name of the section. */
  readonly name: string;
  /** Returns the data to send to a peer; undefined sends nothing. */
  collect(peer: string): unknown;
  /** Merges the data that a peer sent. */
  merge(from: PeerIdentity, data: unknown): void;
}

/** Handler of one procedure; called with validated input. */
export type PeerHandler<Input, Output> = (input: Input, from: PeerIdentity) => Promise<Output>;

/** A procedure between daemons, declared once by the module that serves it. */
export interface PeerProcedure<Input, Output> {
  /** Unique name, such as `lease.request`. */
  readonly name: string;
  /** Validates an input received from a peer; throws when it is invalid. */
  readonly parse: (raw: unknown) => Input;
  /** Carries the output's type only. */
  readonly output?: Output;
}

/** Calls to the other daemons, and state exchanged with them in heartbeats. */
export interface PeerBus {
  readonly self: PeerIdentity;
  /** Registers the handler of a procedure. */
  handle<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void;
  /**
   * Calls a procedure at a peer. A call to this daemon itself runs the handler directly.
   * @throws CeleryyokeError PeerUnreachable, or the error that the handler threw. The parameter `sent` of
   * PeerUnreachable is `no` when the peer certainly did not receive the call, else `maybe`.
   */
  call<Input, Output>(
    peer: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    options: PeerCallOptions,
  ): Promise<Output>;
  /** Registers a section of the heartbeat. */
  addHeartbeatSection(section: HeartbeatSection): void;
}

/** Where a peer listens. */
export interface PeerAddress {
  readonly name: string;
  /** IP number and port. */
  readonly address: string;
}

/** The peers of a bus. */
export interface PeerDirectory {
  /** Daemons that may connect or be called; others are refused. */
  readonly listed: readonly PeerAddress[];
  /** Names of those to which a link with heartbeats is kept open. */
  readonly linked: ReadonlySet<string>;
}

/** Kind of a link event. */
export enum PeerEventKind {
  /** A connection in either direction was authenticated; the incarnation of the peer is known. */
  Authenticated = 'met',
  /** The peer acknowledged a heartbeat or sent one. */
  HeartbeatExchanged = 'heard',
  /** A dialled connection ended, or could not be established; not emitted when an idle link is closed. */
  Lost = 'lost',
}

/** A change in the link to a peer, or a sign of life on it. */
export interface PeerEvent {
  readonly kind: PeerEventKind;
  /** Name of the peer. */
  readonly name: string;
  /** Identity of the peer; undefined when it was not authenticated on this connection. */
  readonly peer: PeerIdentity | undefined;
}

/** The peer bus with its life cycle, for the process that runs it. */
export interface ManagedPeerBus extends PeerBus {
  /**
   * Starts to listen.
   * @returns The port, also when the system chose it.
   */
  start(): Promise<number>;
  /** Closes every connection and stops listening. */
  stop(): Promise<void>;
  /** Replaces the set of peers; opens and closes links accordingly. */
  updatePeers(directory: PeerDirectory): void;
  /**
   * Subscribes to link events.
   * @returns A function that ends the subscription.
   */
  subscribe(listener: (event: PeerEvent) => void): () => void;
}

/** Sender and receiver of a frame. */
export interface FrameRoute {
  readonly from: string;
  readonly to: string;
}

/**
 * Injects network faults on the sending side, for failure tests. Returns one delay in milliseconds for each
 * copy of the frame that is delivered: an empty list drops the frame, two delays duplicate it, and unequal
 * delays reorder frames.
 */
export type LinkPolicy = (route: FrameRoute) => readonly number[];

/** Limits and intervals of the bus. */
export interface PeerSettings {
  /** Interval between heartbeats to a peer. */
  readonly heartbeatMs: number;
  /** The connection is closed when a heartbeat is not acknowledged in this time. */
  readonly heartbeatTimeoutMs: number;
  /** Timeout for opening a connection and completing the handshake. */
  readonly dialTimeoutMs: number;
  /** Base of the exponential backoff before a failed link is dialled again. */
  readonly backoffMinMs: number;
  /** Upper limit of the backoff before a failed link is dialled again. */
  readonly backoffMaxMs: number;
  /** A link without heartbeats is closed when no call has used it for this time. */
  readonly idleLinkMs: number;
  /** Largest message in either direction. */
  readonly maxMessageBytes: number;
  /** Largest section of a heartbeat; a larger one is left out and logged. */
  readonly maxSectionBytes: number;
  /** Send buffer of a connection; one that exceeds it, because its peer reads slowly, is closed. */
  readonly maxBufferedBytes: number;
  /** Limit of accepted connections that are not authenticated yet; further ones are closed. */
  readonly maxUnauthenticatedLinks: number;
}

/** Options of the peer bus. */
export interface PeerBusOptions {
  readonly self: PeerIdentity;
  /** IP number to listen on. */
  readonly host: string;
  /** Port to listen on; 0 leaves the choice to the system. */
  readonly port: number;
  /**
   * Shared keys that are valid now. Dialling uses the first, all are accepted; this allows keys to be
   * rotated.
   */
  readonly keys: () => readonly string[];
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  readonly metrics: Metrics;
  readonly settings?: Partial<PeerSettings>;
  /** Oldest protocol version that this daemon supports; the newest is in its identity. */
  readonly oldestProtocol?: number;
  /** Random numbers from 0 to 1 for the jitter of the backoff; `Math.random` by default. */
  readonly random?: () => number;
  /** Injects network faults, for failure tests. */
  readonly linkPolicy?: LinkPolicy;
}
