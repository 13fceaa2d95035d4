/**
 * Indexes the records of the platform for request handling: replicas, declared adapter versions, and the
 * configuration.
 */
import { isDeepStrictEqual } from 'node:util';

import type { TimerService } from '@celeryyoke/core';

import type { ReplicaAvailability } from '../availability/index.js';
import { DeclarationSource } from '../availability/index.js';
import type { RoutingDocument } from '../catalog/index.js';
import { RouteTable } from '../catalog/index.js';
import { ExchangePurpose } from '../channels/index.js';
import type { Change, ReplicaEntry, ReplicaStart } from './types.js';
import { RecordKind, replicaId, ReplicaState } from './types.js';
import type { ReplicatedStore } from './replicated-store.js';

/** A declared version of an adapter, and when this daemon received it. */
export interface DeclaredVersion {
  readonly version: number;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/**
 * Maximum number of replicas whose latest start is remembered, and of incarnations whose software version is; the one
 * updated least recently is dropped first.
 */
const MAX_KNOWN_STARTS = 4096;

/**
 * Time after the beginning of an epoch of the store for which a replica that had been removed before is not listed
 * again, in milliseconds: its entry is one of a copy until the store has removed what does not write again.
 */
const HELD_BACK_MS = 10_000;

/**
 * Called when a replica appears, changes or is removed. `entry` is undefined if it was removed, `before` if
 * it is new.
 */
export type ReplicaListener = (
  id: string,
  entry: ReplicaEntry | undefined,
  before: ReplicaEntry | undefined,
) => void;

/**
 * Replicas, declared versions and the configuration in force, updated with each change of the store's copy.
 */
export class ReplicaRegistry {
  /** Routes of the configuration in force; undefined before the first document. */
  table: RouteTable | undefined;

  private readonly replicas = new Map<string, ReplicaEntry>();

  /** Replicas that leave or are not listed any more, by id, while they may still get requests. */
  private readonly departed = new Map<string, ReplicaEntry>();

  /** Ids of the listed replicas, by key of their record. */
  private readonly idOfKey = new Map<string, string>();

  /** Latest known start of each replica, by name: a late entry of an earlier incarnation is ignored. */
  private readonly latestStarts = new Map<string, number>();

  /** Software version that the entries of each incarnation have named, by its id; undefined if they differ. */
  private readonly statedVersions = new Map<string, string | undefined>();

  /** Latest changes of entries that are held back, by key. */
  private readonly heldBack = new Map<string, Change>();

  private readonly declaredVersions = new Map<string, DeclaredVersion>();

  private readonly replicaListeners: ReplicaListener[] = [];

  /** Monotonic time at which the last ready replica of each service was lost, in milliseconds. */
  private readonly lostAt = new Map<string, number>();

  private readonly heldBackListeners: ((id: string, forMs: number) => void)[] = [];

  private readonly tableListeners: ((table: RouteTable) => void)[] = [];

  constructor(
    private readonly view: ReplicatedStore,
    private readonly availability: ReplicaAvailability,
    private readonly timers: TimerService,
  ) {
    view.onChange((change) => this.applyChange(change));
    availability.onLeaving(({ replica }) => this.markLeaving(replica));
  }

  /** Subscribes to changes of replicas; the listener is called after each. */
  onReplica(listener: ReplicaListener): void {
    this.replicaListeners.push(listener);
  }

  /** Subscribes to the configuration; the listener is called with each newer table. */
  onTable(listener: (table: RouteTable) => void): void {
    this.tableListeners.push(listener);
  }

  /** Subscribes to replicas whose entries are held back, with the time for which they are, in milliseconds. */
  onHeldBack(listener: (id: string, forMs: number) => void): void {
    this.heldBackListeners.push(listener);
  }

  all(): Iterable<ReplicaEntry> {
    return this.replicas.values();
  }

  /** Entry of one incarnation of a replica; undefined if it is not listed. */
  replica(id: string): ReplicaEntry | undefined {
    return this.replicas.get(id);
  }

  /**
   * Replicas of a service that accept new requests; if there is none, those that left recently.
   * @param softwareVersion - Leaves out replicas of any other version; undefined for all.
   */
  readyReplicas(service: string, softwareVersion?: string): ReplicaEntry[] {
    const isWanted = (entry: ReplicaEntry): boolean =>
      entry.service === service &&
      (softwareVersion === undefined || entry.softwareVersion === softwareVersion);
    const found: ReplicaEntry[] = [];
    for (const entry of this.replicas.values())
      if (entry.state === ReplicaState.Ready && isWanted(entry)) found.push(entry);
    return found.length > 0 ? found : this.recentlyDeparted().filter(isWanted);
  }

  /**
   * Returns for how long a service has had no ready replica, in milliseconds.
   * @returns 0 if it has one, Infinity if none has been known.
   */
  absentMs(service: string): number {
    if (this.readyReplicas(service).length > 0) return 0;
    const lostAt = this.lostAt.get(service);
    return lostAt === undefined ? Number.POSITIVE_INFINITY : this.timers.now() - lostAt;
  }

  /** Newest declared version of an adapter; undefined if none was declared. */
  declaredVersion(model: string, adapter: string): DeclaredVersion | undefined {
    return this.declaredVersions.get(`${model}/${adapter}`);
  }

  private recentlyDeparted(): ReplicaEntry[] {
    for (const id of this.departed.keys())
      if (!this.availability.accepts(id, ExchangePurpose.Request)) this.departed.delete(id);
    return [...this.departed.values()];
  }

  private applyChange(change: Change): void {
    const { record } = change;
    this.heldBack.delete(change.key);
    if (record === undefined) this.removeReplica(change.key);
    else if (record.kind === RecordKind.Replica) this.applyReplica(change, record.replica);
    else if (record.kind === RecordKind.AdapterVersion) {
      const { model, adapter, version } = record.declared;
      const known = this.declaredVersions.get(`${model}/${adapter}`);
      if (known !== undefined && known.version >= version) return;
      this.declaredVersions.set(`${model}/${adapter}`, { version, receivedAt: this.timers.now() });
    } else if (this.isNewDocument(record.document)) {
      this.table = new RouteTable(record.document);
      const services = new Set(record.document.services.map(({ name }) => name));
      for (const service of this.lostAt.keys()) if (!services.has(service)) this.lostAt.delete(service);
      for (const listener of this.tableListeners) listener(this.table);
    }
  }

  /** Whether a document is of a later version, or one that was written again with other contents. */
  private isNewDocument(document: RoutingDocument): boolean {
    const known = this.table?.document;
    if (known === undefined || document.version !== known.version)
      return document.version > (known?.version ?? Number.NEGATIVE_INFINITY);
    return !isDeepStrictEqual(document, known);
  }

  /**
   * Records that a replica has restarted, as reported by the replica or a peer before its entry in the store
   * shows it. No model is resident on the new incarnation, and its software may be of another version.
   * @returns Whether the start is later than the latest known one.
   */
  recordStart({ name, bornAt }: ReplicaStart): boolean {
    if (bornAt <= (this.latestStarts.get(name) ?? Number.NEGATIVE_INFINITY)) return false;
    this.storeStart(name, bornAt);
    for (const [key, id] of this.idOfKey) {
      const entry = this.replicas.get(id);
      if (entry?.name !== name) continue;
      const models = entry.models === undefined ? undefined : [];
      const started = { ...entry, id: replicaId(name, bornAt), bornAt, models, softwareVersion: undefined };
      this.listReplica(key, started);
      break;
    }
    return true;
  }

  /**
   * Returns an entry with its start: the latest known one if the entry does not state it. Undefined if the
   * entry belongs to an earlier incarnation.
   */
  private withLatestStart(entry: ReplicaEntry): ReplicaEntry | undefined {
    const { name, bornAt } = entry;
    const latest = this.latestStarts.get(name);
    if (bornAt === undefined) {
      if (latest === undefined) return entry;
      return { ...entry, id: replicaId(name, latest), bornAt: latest };
    }
    if (latest !== undefined && bornAt < latest) return undefined;
    this.storeStart(name, bornAt);
    return entry;
  }

  private storeStart(name: string, bornAt: number): void {
    setLatest(this.latestStarts, name, bornAt);
  }

  private applyReplica(change: Change, received: ReplicaEntry): void {
    const started = this.withLatestStart(received);
    if (started === undefined) return;
    const heldBackMs = this.heldBackMs(started.id);
    if (heldBackMs <= 0) this.listReplica(change.key, started);
    else this.holdBack(change, started.id, heldBackMs);
  }

  /** Time for which the entry of a replica is still held back, in milliseconds. */
  private heldBackMs(id: string): number {
    const { epochSince } = this.view;
    const wasRemoved = (this.availability.unlistedSince(id) ?? Number.POSITIVE_INFINITY) <= epochSince;
    return wasRemoved ? epochSince + HELD_BACK_MS - this.timers.now() : 0;
  }

  private holdBack(change: Change, id: string, ms: number): void {
    this.heldBack.set(change.key, change);
    for (const listener of this.heldBackListeners) listener(id, ms);
    this.timers.after(ms, () => {
      if (this.heldBack.get(change.key) === change) this.applyChange(change);
    });
  }

  private listReplica(key: string, started: ReplicaEntry): void {
    const entry = this.withDeclaredState(started);
    // All state of an earlier incarnation is void, so listeners are notified of its removal.
    const knownId = this.idOfKey.get(key);
    if (knownId !== undefined && knownId !== entry.id) this.removeReplica(key);
    const before = this.replicas.get(entry.id);
    this.idOfKey.set(key, entry.id);
    this.availability.recordListed(entry.id, true);
    this.store(this.withSoleVersion(entry), before);
  }

  /** Leaves out the software version of an entry that contradicts an earlier one: a process has the same all the time. */
  private withSoleVersion(entry: ReplicaEntry): ReplicaEntry {
    const { id, softwareVersion } = entry;
    const isFirst = !this.statedVersions.has(id);
    if (isFirst && softwareVersion === undefined) return entry;
    const isSame = isFirst || this.statedVersions.get(id) === softwareVersion;
    const soleVersion = isSame ? softwareVersion : undefined;
    setLatest(this.statedVersions, id, soleVersion);
    return { ...entry, softwareVersion: soleVersion };
  }

  /** Merges the state of an entry with what the replica has declared otherwise: it never stops leaving. */
  private withDeclaredState(entry: ReplicaEntry): ReplicaEntry {
    if (entry.state === ReplicaState.Leaving)
      this.availability.recordLeaving(entry.id, DeclarationSource.Entry);
    return this.availability.isLeaving(entry.id) ? { ...entry, state: ReplicaState.Leaving } : entry;
  }

  private markLeaving(id: string): void {
    const before = this.replicas.get(id);
    if (before?.state !== ReplicaState.Ready) return;
    this.store({ ...before, state: ReplicaState.Leaving }, before);
  }

  private store(entry: ReplicaEntry, before: ReplicaEntry | undefined): void {
    this.replicas.set(entry.id, entry);
    if (entry.state === ReplicaState.Ready) this.departed.delete(entry.id);
    else this.departed.set(entry.id, entry);
    if (before?.state === ReplicaState.Ready) this.lostAt.set(before.service, this.timers.now());
    for (const listener of this.replicaListeners) listener(entry.id, entry, before);
  }

  private removeReplica(key: string): void {
    const id = this.idOfKey.get(key);
    if (id === undefined) return;
    this.idOfKey.delete(key);
    const entry = this.replicas.get(id);
    this.replicas.delete(id);
    this.availability.recordListed(id, false);
    if (entry !== undefined) this.departed.set(id, entry);
    // Without a start, its id may be that of another process later.
    if (entry?.bornAt === undefined) this.statedVersions.delete(id);
    if (entry?.state === ReplicaState.Ready) this.lostAt.set(entry.service, this.timers.now());
    for (const listener of this.replicaListeners) listener(id, undefined, entry);
  }
}

/** Sets an entry as the latest of a bounded map, and drops the one that was set least recently. */
function setLatest<T>(entries: Map<string, T>, key: string, value: T): void {
  entries.delete(key);
  entries.set(key, value);
  if (entries.size <= MAX_KNOWN_STARTS) return;
  const [oldest] = entries.keys();
  entries.delete(oldest!);
}
