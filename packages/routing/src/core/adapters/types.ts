/** Orders to engines and what they hold. */
import type { ResidentModel, ReplicaEntry } from '../view/index.js';

/** What an order asks for. */
export enum OrderKind {
  Load = 'load',
  Unload = 'unload',
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly model: string;
  /** Left out for the base model itself. */
  readonly adapter: string | undefined;
  /** Version to load; the newest when left out. */
  readonly version: number | undefined;
  /** The daemon that gives the order. */
  readonly holder: string;
  /** Its fencing token. */
  readonly token: number;
  /** Orders that must have begun something on the engine before, or it refuses this one as busy; undefined when any will do. */
  readonly expected: number | undefined;
}

/** What became of an order. */
export enum OrderOutcome {
  /** The engine carries it out. */
  Started = 'started',
  /** What it asks for is so. */
  Done = 'done',
  /** The engine is at another order. */
  Busy = 'busy',
  /** Another daemon has given orders with a higher token. */
  Fenced = 'fenced',
  /** The engine is not the one that was meant. */
  Misdirected = 'misdirected',
  /** The engine finds it wrong. */
  Refused = 'refused',
  /** The engine could not be reached; it has not got the order. */
  Unreachable = 'unreachable',
  /** There was no answer; the engine may carry it out. */
  Unknown = 'unknown',
}

/** What an engine reports of itself; some hundred milliseconds old. */
export interface EngineReport {
  /** Unix milliseconds of its start; undefined when it does not say. */
  readonly bornAt: number | undefined;
  /** Orders that had begun something on it by then, since its start. */
  readonly sequence: number;
  /** Requests that ran on it; undefined when it does not say. */
  readonly running: number | undefined;
  /** Time after which it is gone whatever it runs, in milliseconds; undefined unless it is taken away at short notice. */
  readonly remainingMs: number | undefined;
  readonly models: readonly ResidentModel[];
  /** Adapters on their way, as model, adapter and version. */
  readonly loading: readonly { readonly model: string; readonly adapter: string; readonly version: number }[];
}

/**
 * A connection to an engine on which nothing but the orders of one owner goes.
 *
 * It leads to one start of the engine and ends with it. Calls go one after the other, and answers come in the order of
 * the calls; but an engine may answer a call twice, and then each later answer is the one to the call before. An answer
 * to an order names no order, so it can't be told from another one's; a report can be told from any other answer. So a
 * report that comes where a report is due shows that all answers before it were those to their calls.
 *
 * It closes with the first call that fails, and with an answer that is none to its kind of call.
 */
export interface EngineConnection {
  /** Whether it can take another call. */
  readonly isOpen: boolean;
  /**
   * Gives an order.
   * @param order - The order.
   * @returns What became of it as far as the answer tells; unreachable when it was not sent. It does not reject.
   */
  order(order: EngineOrder): Promise<OrderOutcome>;
  /**
   * Asks for a report.
   * @returns The report.
   * @throws Error when there is none; the connection is closed then.
   */
  report(): Promise<EngineReport>;
  /** Ends it; what is under way on it is given up. */
  close(): void;
}

/** Talks to engines; a dialect implements it. */
export interface EngineControl {
  /**
   * Opens a connection for orders.
   * @param replica - The engine.
   * @param onClosed - Called once when the connection is of no further use.
   * @returns The connection; it is set up with its first call.
   */
  connect(replica: ReplicaEntry, onClosed: () => void): EngineConnection;
  /**
   * Asks for a report on any connection.
   * @param replica - The engine.
   * @returns The report.
   * @throws Error when there is none.
   */
  report(replica: ReplicaEntry): Promise<EngineReport>;
}

/** Names an adapter of a model. */
export interface AdapterRef {
  readonly model: string;
  readonly adapter: string;
  /** The version that is wanted; the newest when left out. */
  readonly version: number | undefined;
  /** Whether the engine has just refused a request as it lacks the adapter, so that what is believed must be checked. */
  readonly isDoubted?: boolean;
}

/** How urgently an adapter is wanted. */
export interface Urgency {
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /** How long the request has waited for it already, here or elsewhere, in milliseconds. */
  readonly waitedMs: number;
  /** Time in which the load must begin for the answer to be on time, in milliseconds; below 0 when it is too late. */
  readonly dueInMs: number;
  /** Time in which the load must begin for the request to be served at all, in milliseconds. */
  readonly lastCallMs: number;
  /** Longest wait until the load begins, in milliseconds; 0 asks for one that can begin at once. */
  readonly patienceMs: number;
  /** Longest wait until the adapter is in place, in milliseconds. */
  readonly timeoutMs: number;
}

/** Has an adapter on an engine, through the daemon that gives it orders; false when its turn does not come in time. */
export type EnsureAdapter = (replica: ReplicaEntry, ref: AdapterRef, urgency: Urgency) => Promise<boolean>;

/** Why an adapter could not be had. */
export class AdapterUnavailable extends Error {}

/** What the daemon that gives orders to an engine knows that it holds. */
export interface Holdings {
  readonly replica: string;
  /** Token of the lease under which it was learnt; the highest is believed. */
  readonly token: number;
  readonly models: readonly string[];
  /** Adapters in place, as `model/adapter`, and their versions. */
  readonly adapters: Readonly<Record<string, number>>;
}

/** How an engine's adapter slots stand. */
export interface SlotAvailability {
  readonly replica: string;
  /** Slots that are free or could be freed at once; below 0 when the engine can't be reached. */
  readonly freeSlots: number;
  /** Loads that wait for a slot. */
  readonly queued: number;
}

/**
 * Names an adapter in tables and messages.
 * @param model - Base model.
 * @param adapter - Adapter.
 * @returns `model/adapter`.
 */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
