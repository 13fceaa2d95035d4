/** Exchanges with replicas that one daemon has another one carry out. */
import type { ChannelFailure, HeaderMap, UpstreamCall } from '../channels/index.js';

/** Request to carry out an exchange with a replica. */
export interface RelayRequest {
  /** Id of the caller's request, for the log. */
  readonly request: string;
  /** Incarnation of the replica. */
  readonly replica: string;
  readonly call: UpstreamCall;
  /** Time left until the deadline, in milliseconds. */
  readonly timeoutMs: number;
  /** Software version that the replica must prove to have; undefined if any will do. */
  readonly softwareVersion: string | undefined;
}

/** Kinds of what the relaying daemon reports; the numbers are sent. */
export enum RelayEventKind {
  /** The request was received; nothing was sent to the replica yet. */
  Accepted = 1,
  /** The first byte is handed to a connection to the replica. */
  Sent = 2,
  Head = 3,
  Data = 4,
  /** The response is complete. */
  End = 5,
  Failed = 6,
}

/** What the relaying daemon reports of an exchange. */
export type RelayEvent =
  | { readonly kind: RelayEventKind.Accepted | RelayEventKind.Sent | RelayEventKind.End }
  | { readonly kind: RelayEventKind.Head; readonly status: number; readonly headers: HeaderMap }
  | { readonly kind: RelayEventKind.Data; readonly chunk: Buffer }
  | {
      readonly kind: RelayEventKind.Failed;
      readonly failure: ChannelFailure;
      readonly reason: string;
      /** Whether the replica was found to have crashed. */
      readonly hasCrashed: boolean;
    };

/** Why a relayed exchange failed. */
export class RelayError extends Error {
  /**
   * @param hasCrashed - Whether the relaying daemon found that the replica has crashed.
   */
  constructor(
    message: string,
    readonly hasCrashed: boolean,
  ) {
    super(message);
  }
}
