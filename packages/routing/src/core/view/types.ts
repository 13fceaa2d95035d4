/**
 * Types of the platform's records; daemons get them with their revisions from its store or from each other.
 */
import type { RoutingDocument } from '../catalog/index.js';

/** Whether a replica accepts new requests. */
export enum ReplicaState {
  Ready = 'ready',
  /** The replica is shutting down; requests in progress continue. */
  Leaving = 'leaving',
}

/** An adapter that is resident on an engine. */
export interface ResidentAdapter {
  readonly name: string;
  readonly version: number;
}

/** A base model that is resident on an engine, with its adapters. */
export interface ResidentModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly ResidentAdapter[];
}

/** A replica's entry in the platform's registry. */
export interface ReplicaEntry {
  /** Identifies one incarnation of the replica; see {@link replicaId}. */
  readonly id: string;
  /** The platform's name; a later incarnation may have the same one. */
  readonly name: string;
  /** Unix milliseconds of its start; undefined if the entry does not state it. */
  readonly bornAt: number | undefined;
  /**
   * Version of the software that the replica runs, not of its weights; undefined while it is not known. Versions
   * are compared for equality only.
   */
  readonly softwareVersion: string | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** Failure domain. */
  readonly zone: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly state: ReplicaState;
  /** Resident models; undefined if the replica is not an engine. */
  readonly models: readonly ResidentModel[] | undefined;
}

/**
 * Makes the id of one incarnation of a replica. Nothing of an earlier incarnation with the same name survives
 * in it, so all state about a replica (adapters, slots, leases, connections, health) is stored under this id.
 * @param bornAt - Unix milliseconds of the replica's start, if known.
 */
export function replicaId(name: string, bornAt: number | undefined): string {
  return bornAt === undefined ? name : `${name}#${bornAt}`;
}

/** A restart of a replica under the same name. */
export interface ReplicaStart {
  /** The platform's name of the replica. */
  readonly name: string;
  /** Unix milliseconds. */
  readonly bornAt: number;
}

/** Kind of a record. */
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

/** A record of the platform's store, decoded. */
export type ViewRecord =
  | { readonly kind: RecordKind.Document; readonly document: RoutingDocument }
  | { readonly kind: RecordKind.AdapterVersion; readonly declared: AdapterVersion }
  | { readonly kind: RecordKind.Replica; readonly replica: ReplicaEntry };

/** A change of one record. */
export interface Change {
  readonly key: string;
  /** Revision of the store that this change made. */
  readonly revision: number;
  /** Sequence that the revision belongs to, where it is an earlier one than the delta's. */
  readonly epoch?: number;
  /** Undefined if the record was removed. */
  readonly record: ViewRecord | undefined;
}

/** Changes that bring a copy of the records from one revision to another. */
export interface Delta {
  /**
   * Sequence that the revisions belong to; they are in order within one sequence only. Left out by sources that have a
   * single one, which counts as 0.
   */
  readonly epoch?: number;
  /** Time since the sender's copy began the epoch, in milliseconds; deltas from the store have none. */
  readonly epochAgeMs?: number;
  /** The delta applies to a copy that is complete up to this revision or a later one; 0 with `isWhole`. */
  readonly from: number;
  readonly upTo: number;
  /** Whether the changes contain all records, so that records missing from them were removed. */
  readonly isWhole: boolean;
  readonly changes: readonly Change[];
}

/** A write to the entry of a replica. */
export interface EntryWrite {
  /** The platform's name of the replica. */
  readonly name: string;
  readonly revision: number;
  /** The entry from then on; undefined if it was removed, or names no replica that can be used. */
  readonly replica: ReplicaEntry | undefined;
  /**
   * Number of times that the replica had written by then, in the entry's words; also counts those that changed nothing
   * else, which the source does not show. Undefined if the entry does not state it.
   */
  readonly writeCount: number | undefined;
  /** Whether it is known that there was no entry before. */
  readonly isCreation: boolean;
}

/** Why a version of an item of the source is not used. */
export enum ItemRefusal {
  /** It has no key or no revision. */
  Malformed = 'malformed',
  /** Its value can't be parsed. */
  Encoding = 'encoding',
  /** It is a replica that no connection can be opened to. */
  Address = 'address',
  /** It is a replica at an address of this daemon. */
  OwnAddress = 'ownAddress',
  /** Its value is not valid for its key in another way. */
  Value = 'value',
}

/** Source of the records: the platform's store, or a stand-in in tests. */
export interface RecordSource {
  /** Number of versions of items that this daemon has read and refused, by reason; left out if it counts none. */
  readonly refusedCounts?: Readonly<Record<ItemRefusal, number>>;
  /** Reads all records; returns a full delta. */
  list(signal: AbortSignal): Promise<Delta>;
  /**
   * Waits for changes.
   * @param after - Revision that the caller has.
   * @param waitMs - Maximum wait for the first change, in milliseconds.
   * @returns The changes since, or undefined if the source no longer has that history.
   */
  watch(after: number, waitMs: number, signal: AbortSignal): Promise<Delta | undefined>;
  /** Whether the source still has all changes after a revision. */
  hasHistory(after: number, signal: AbortSignal): Promise<boolean>;
  /**
   * Reads all writes to entries of replicas after a revision, in their order.
   * @returns Undefined if the source no longer has a part of them.
   */
  replicaWrites(after: number, signal: AbortSignal): Promise<readonly EntryWrite[] | undefined>;
}
