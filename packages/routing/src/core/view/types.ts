/** What daemons know of the platform: records with revisions, from its store or from each other. */
import type { RoutingDocument } from '../catalog/index.js';

/** Whether a replica takes new work. */
export enum ReplicaState {
  Ready = 'ready',
  /** It is leaving; requests in progress go on. */
  Leaving = 'leaving',
}

/** An adapter on an engine. */
export interface HeldAdapter {
  readonly name: string;
  readonly version: number;
}

/** A base model on an engine, with its adapters. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly HeldAdapter[];
}

/** What a replica says of itself in the registry. */
export interface ReplicaEntry {
  /** Names one start of the replica in this project; see {@link replicaId}. */
  readonly id: string;
  /** What the platform calls it; a later start may have the name of an earlier one. */
  readonly name: string;
  /** Unix milliseconds of its start; undefined where it does not say. */
  readonly bornAt: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** Failure domain. */
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: ReplicaState;
  /** What it holds; undefined where it is no engine. */
  readonly models: readonly HeldModel[] | undefined;
}

/**
 * Names one start of a replica. A start holds nothing of an earlier one under the same name, so all that is believed
 * of a replica (adapters, slots, leases, connections, how it has answered) hangs on this.
 * @param name - What the platform calls it.
 * @param bornAt - Unix milliseconds of its start, where it says so.
 * @returns The id.
 */
export function replicaId(name: string, bornAt: number | undefined): string {
  return bornAt === undefined ? name : `${name}#${bornAt}`;
}

/** A start of a replica under a name that an earlier start had. */
export interface ReplicaStart {
  /** What the platform calls it. */
  readonly name: string;
  /** Unix milliseconds. */
  readonly bornAt: number;
}

/** What a record is about. */
export enum RecordKind {
  Document = 'document',
  AdapterVersion = 'adapterVersion',
  Replica = 'replica',
}

/** The newest declared version of an adapter. */
export interface AdapterVersion {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** A record in the product's words. */
export type ViewRecord =
  | { readonly kind: RecordKind.Document; readonly document: RoutingDocument }
  | { readonly kind: RecordKind.AdapterVersion; readonly declared: AdapterVersion }
  | { readonly kind: RecordKind.Replica; readonly replica: ReplicaEntry };

/** A change of one record. */
export interface Change {
  readonly key: string;
  /** The store's revision of this change. */
  readonly revision: number;
  /** Undefined when the record was removed. */
  readonly record: ViewRecord | undefined;
}

/** Changes that carry a view from one revision to another. */
export interface Delta {
  /** A view that has all up to this revision may take the delta; 0 with `isWhole`. */
  readonly from: number;
  readonly upTo: number;
  /** Whether the changes are the whole view, so that what they leave out is gone. */
  readonly isWhole: boolean;
  readonly changes: readonly Change[];
}

/** Where records are read; the platform's store or a stand-in. */
export interface RecordSource {
  /**
   * Reads everything.
   * @param signal - Ends the call.
   * @returns A whole delta.
   */
  list(signal: AbortSignal): Promise<Delta>;
  /**
   * Waits for changes.
   * @param after - Revision that is known.
   * @param waitMs - Longest wait in milliseconds.
   * @param signal - Ends the call.
   * @returns The changes since, or undefined when the source no longer has that history.
   */
  watch(after: number, waitMs: number, signal: AbortSignal): Promise<Delta | undefined>;
}
