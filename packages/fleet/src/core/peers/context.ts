/** State and operations that the modules of one peer bus share. */
import type { CeleryyokeError, Counter, Log } from '@celeryyoke/core';

import type { Heartbeat } from './messages.js';
import type { ProcedureTable } from './procedures.js';
import type { RefusalRecord } from './refusals.js';
import type { SectionTable } from './sections.js';
import type { SocketContext } from './socket.js';
import type { PeerBusOptions, PeerEventKind, PeerIdentity, PeerSettings } from './types.js';

/** Counters of a bus that are not counted by its sockets. */
export interface BusCounters {
  readonly receivedBytes: Counter;
  readonly calls: Counter;
  readonly heartbeats: Counter;
}

/** The bus as its links, connections and listener see it. */
export interface BusContext {
  readonly options: PeerBusOptions;
  readonly settings: PeerSettings;
  readonly self: PeerIdentity;
  readonly oldestProtocol: number;
  readonly log: Log;
  readonly socketContext: SocketContext;
  readonly procedures: ProcedureTable;
  readonly sections: SectionTable;
  readonly refusals: RefusalRecord;
  readonly counters: BusCounters;
  /** Whether a peer of this name may connect. */
  isListed(name: string): boolean;
  /** Creates a heartbeat or an acknowledgement for a peer, with the next sequence number. */
  createHeartbeat(peer: string, withSections: boolean): Heartbeat;
  /** Merges the sections that a peer sent, unless newer ones from it were merged before. */
  mergeSections(peer: PeerIdentity, heartbeat: Heartbeat): void;
  /** Whether this daemon sends its own heartbeats to a peer. */
  sendsHeartbeatsTo(name: string): boolean;
  /**
   * Records the incarnation of an authenticated peer and closes connections that other incarnations of it had
   * opened.
   * @throws CeleryyokeError PeerSuperseded when a later incarnation was seen recently.
   */
  admit(peer: PeerIdentity): void;
  /** Passes an event of a link to the subscribers. */
  emit(kind: PeerEventKind, name: string, peer: PeerIdentity | undefined): void;
  /** Records in the log and the audit trail that a peer was refused, or refused this daemon. */
  recordRefusal(peer: string, err: CeleryyokeError): void;
}
