/** Types of the daemon. */
import type { AuditRecord, Log, Settings, TimerService } from '@celeryyoke/core';
import type { LinkPolicy } from '@celeryyoke/fleet';

/** Options of a daemon. */
export interface DaemonOptions {
  readonly settings: Settings;
  /** Keys that peers prove to each other and that are valid now. */
  readonly peerKeys: () => readonly string[];
  readonly timers: TimerService;
  readonly log: Log;
  /** New at each start, and greater than at the last one. */
  readonly incarnation: number;
  /** Interferes with frames between daemons, for failure tests. */
  readonly linkPolicy?: LinkPolicy;
}

/** Where a daemon listens. */
export interface DaemonPorts {
  readonly caller: number;
  readonly peer: number;
  readonly admin: number;
}

/** A daemon in this process. */
export interface Daemon {
  /** Starts every part; rejects when one can't start. */
  start(): Promise<DaemonPorts>;
  /**
   * Shuts down gracefully: stops accepting, lets requests end, hands over what it owns, stops every part.
   * @param cause - Why.
   * @returns When everything has stopped; the same promise for every call.
   */
  drain(cause: string): Promise<void>;
  /**
   * Stops at once and says what it cut.
   * @param cause - Why.
   * @returns How many requests were cut.
   */
  force(cause: string): Promise<number>;
  /** Says why the daemon may not get requests now; undefined when it may. */
  unready(): string | undefined;
  /** Settles when the daemon has stopped. */
  readonly stopped: Promise<void>;
  /** Reads the audit trail. */
  audit(): readonly AuditRecord[];
  /** Finds a part, for tests. */
  part<T>(name: string): T;
}

/** What each group of services is made from. */
export interface PartOptions extends DaemonOptions {
  /** Begins the daemon's own drain; does not wait for it. */
  readonly beginDrain: (cause: string) => void;
}
