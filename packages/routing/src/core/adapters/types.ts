/**
 * Types of the orders sent to engines, of the reports engines return, and of the adapters resident on them.
 */
import type { ResidentModel, ReplicaEntry } from '../view/index.js';

/** Operation that an order requests from the engine. */
export enum OrderKind {
  Load = 'load',
  Unload = 'unload',
}

/** An order to load or unload an adapter, or to load a base model. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly model: string;
  /** Undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Version to load; undefined for the newest. */
  readonly version: number | undefined;
  /** Address of the daemon that sends the order. */
  readonly holder: string;
  /** Fencing token of that daemon's lease on the engine. */
  readonly token: number;
  /**
   * Sequence number that the engine must have reached ({@link EngineReport.sequence}); it answers busy when
   * its own differs. Undefined skips the check.
   */
  readonly expected: number | undefined;
}

/** Result of an order. */
export enum OrderOutcome {
  /** Accepted; the engine is carrying it out. */
  Started = 'started',
  /** The requested state is already reached. */
  Done = 'done',
  /** The engine is occupied with another order, or the expected sequence number does not match. */
  Busy = 'busy',
  /** The engine has seen a higher fencing token from another daemon. */
  Fenced = 'fenced',
  /** The engine that received the order is not the intended one. */
  Misdirected = 'misdirected',
  /** The engine rejected the order as invalid. */
  Refused = 'refused',
  /** The engine could not be reached and has not received the order. */
  Unreachable = 'unreachable',
  /** Not sent: what the engine has declared meanwhile rules out orders. */
  Withheld = 'withheld',
  /** No usable response; the engine may be carrying out the order. */
  Unknown = 'unknown',
}

/** An engine's report of its own state. It lags behind the engine by some hundred milliseconds. */
export interface EngineReport {
  /** Start time of the engine process as Unix milliseconds; undefined if the engine does not report it. */
  readonly bornAt: number | undefined;
  /** Number of orders accepted since the engine started that had an effect on it. */
  readonly sequence: number;
  /** Requests running on the engine; undefined if the engine does not report them. */
  readonly running: number | undefined;
  /**
   * Time until the engine is gone whatever runs on it, in milliseconds; undefined unless it is withdrawn at
   * short notice.
   */
  readonly remainingMs: number | undefined;
  /** Whether the engine is shutting down. */
  readonly isLeaving: boolean;
  readonly models: readonly ResidentModel[];
  /** Adapters that are being loaded. */
  readonly loading: readonly { readonly model: string; readonly adapter: string; readonly version: number }[];
}

/**
 * A connection to an engine that carries nothing but the orders of one owner.
 *
 * It belongs to one incarnation of the engine and ends with it. Calls are sent one after the other and
 * responses arrive in the order of the calls. An engine may answer a call twice, however; then each later
 * response is the one to the previous call. The response to an order does not identify the order, but a
 * report can be told apart from any other response. A report that arrives where a report is due therefore
 * confirms that every earlier response belonged to its own call.
 *
 * The connection closes when a call fails, or when a response does not fit the kind of call.
 */
export interface EngineConnection {
  /** Whether another call can be sent. */
  readonly isOpen: boolean;
  /**
   * Sends an order. Does not reject.
   * @returns The outcome as far as the response shows it; unreachable or withheld when the order was not sent.
   */
  order(order: EngineOrder): Promise<OrderOutcome>;
  /**
   * Requests a report.
   * @throws Error when there is no report; the connection is then closed.
   */
  report(): Promise<EngineReport>;
  /** Closes the connection and abandons calls in progress. */
  close(): void;
}

/** Client for engines; implemented once per engine dialect. */
export interface EngineControl {
  /**
   * Creates a connection for orders. It is set up with its first call.
   * @param onClosed - Called once, when the connection can no longer be used.
   */
  connect(replica: ReplicaEntry, onClosed: () => void): EngineConnection;
  /**
   * Requests a report on any connection.
   * @throws Error when there is no report.
   */
  report(replica: ReplicaEntry): Promise<EngineReport>;
}

/** Asks replicas which ones they are. */
export interface IdentityCheck {
  /**
   * Asks the process at the address of an engine whether it is the listed incarnation, on a connection that is made for it.
   * @throws Error when there is no answer.
   */
  isListed(replica: ReplicaEntry): Promise<boolean>;
}

/** Identifies an adapter of a base model. */
export interface AdapterRef {
  readonly model: string;
  readonly adapter: string;
  /** Lowest acceptable version; when undefined, any resident version will do. */
  readonly version: number | undefined;
  /**
   * Whether the engine has just rejected a request because the adapter is missing, so that its residency must
   * be checked.
   */
  readonly isDoubted?: boolean;
}

/** How urgently a request needs an adapter. */
export interface Urgency {
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Time that the request has already waited for the adapter, on any engine, in milliseconds. */
  readonly waitedMs: number;
  /** Time left until the load must end for the request to be served before its deadline, in milliseconds. */
  readonly lastCallMs: number;
  /**
   * Longest wait until the load starts, in milliseconds; 0 accepts only a load that can start immediately.
   */
  readonly patienceMs: number;
  /** Longest wait until the adapter is resident, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Makes an adapter resident on an engine through the daemon that owns the engine. Resolves to false when the
 * load could not start in time.
 */
export type EnsureAdapter = (replica: ReplicaEntry, ref: AdapterRef, urgency: Urgency) => Promise<boolean>;

/** Thrown when an adapter can't be made resident. */
export class AdapterUnavailable extends Error {}

/** The models and adapters resident on an engine, as published by its owner. */
export interface EngineResidency {
  readonly replica: string;
  /**
   * Fencing token of the lease under which this was recorded; of two, the one with the higher token is valid.
   */
  readonly token: number;
  readonly models: readonly string[];
  /** Versions of the resident adapters, by `model/adapter`. */
  readonly adapters: Readonly<Record<string, number>>;
}

/** Availability of an engine's adapter slots. */
export interface SlotAvailability {
  readonly replica: string;
  /** Slots that are free or can be freed immediately; negative when the engine takes no orders. */
  readonly freeSlots: number;
  /** Loads that wait for a slot. */
  readonly queued: number;
}

/**
 * Builds the key of an adapter for tables and messages.
 * @returns `model/adapter`.
 */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
