/** The replicas and declared versions in the view, indexed for the requests. */
import type { TimerService } from '@celeryyoke/core';

import { RouteTable } from '../catalog/index.js';
import type { Change, ReplicaEntry, ReplicaStart } from './types.js';
import { RecordKind, replicaId, ReplicaState } from './types.js';
import type { ReplicatedStore } from './replicated-store.js';

/** A declared version of an adapter and when this daemon learnt of it. */
export interface DeclaredVersion {
  readonly version: number;
  /** Monotonic milliseconds. */
  readonly learntAt: number;
}

/**
 * How long a replica that left may still be chosen when its service has no other, in milliseconds. An entry also
 * vanishes when the registry was away, and is back within 2 s; the users' bound on new work for a leaving replica is
 * 2 s, and the rest is for the way there.
 */
const LINGER_MS = 1500;

/** Names of replicas whose latest start is remembered, the latest heard of last. */
const MAX_STARTS = 4096;

/** Told when a replica appears, changes or goes; the entry is undefined when it is gone, the one before when it is new. */
export type ReplicaListener = (
  id: string,
  entry: ReplicaEntry | undefined,
  before: ReplicaEntry | undefined,
) => void;

/** Replicas, versions and the configuration in force. */
export class ReplicaRegistry {
  /** The routes in force; undefined before the first document. */
  table: RouteTable | undefined;

  private readonly replicas = new Map<string, ReplicaEntry>();

  /** Replicas that left a moment ago, and when. */
  private readonly left = new Map<string, { readonly entry: ReplicaEntry; readonly at: number }>();

  private readonly idOfKey = new Map<string, string>();

  /** Latest known start of each replica, by its name: an entry of an earlier one that comes late changes nothing. */
  private readonly starts = new Map<string, number>();

  private readonly versions = new Map<string, DeclaredVersion>();

  private readonly listeners: ReplicaListener[] = [];

  private readonly tableListeners: ((table: RouteTable) => void)[] = [];

  /**
   * Makes a registry over a view.
   * @param view - The records.
   * @param timers - Time.
   */
  constructor(
    view: ReplicatedStore,
    private readonly timers: TimerService,
  ) {
    view.onChange((change) => this.take(change));
  }

  /**
   * Subscribes to replicas.
   * @param listener - Called after each change.
   */
  onReplica(listener: ReplicaListener): void {
    this.listeners.push(listener);
  }

  /**
   * Subscribes to the configuration.
   * @param listener - Called with each newer table.
   */
  onTable(listener: (table: RouteTable) => void): void {
    this.tableListeners.push(listener);
  }

  /** All replicas that the registry lists. */
  all(): Iterable<ReplicaEntry> {
    return this.replicas.values();
  }

  /**
   * Finds a replica.
   * @param id - One start of it.
   * @returns Its entry, or undefined when it is not listed.
   */
  replica(id: string): ReplicaEntry | undefined {
    return this.replicas.get(id);
  }

  /**
   * Lists the replicas of a service that take new work.
   * @param service - The service.
   * @returns Their entries; where there is none, those that left a moment ago.
   */
  ready(service: string): ReplicaEntry[] {
    const found: ReplicaEntry[] = [];
    for (const entry of this.replicas.values())
      if (entry.service === service && entry.state === ReplicaState.Ready) found.push(entry);
    return found.length > 0 ? found : this.lingering(service);
  }

  /**
   * Finds the declared version of an adapter.
   * @param model - Base model.
   * @param adapter - Adapter.
   * @returns The version, or undefined when none was declared.
   */
  declared(model: string, adapter: string): DeclaredVersion | undefined {
    return this.versions.get(`${model}/${adapter}`);
  }

  private lingering(service: string): ReplicaEntry[] {
    const found: ReplicaEntry[] = [];
    const oldest = this.timers.now() - LINGER_MS;
    for (const [id, { entry, at }] of this.left) {
      if (at < oldest) this.left.delete(id);
      else if (entry.service === service) found.push(entry);
    }
    return found;
  }

  private take(change: Change): void {
    const { record } = change;
    if (record === undefined) this.drop(change.key);
    else if (record.kind === RecordKind.Replica) this.takeReplica(change.key, record.replica);
    else if (record.kind === RecordKind.AdapterVersion) {
      const { model, adapter, version } = record.declared;
      const known = this.versions.get(`${model}/${adapter}`);
      if (known !== undefined && known.version >= version) return;
      this.versions.set(`${model}/${adapter}`, { version, learntAt: this.timers.now() });
    } else if (this.table === undefined || record.document.version > this.table.document.version) {
      this.table = new RouteTable(record.document);
      for (const listener of this.tableListeners) listener(this.table);
    }
  }

  /**
   * Notes that a replica has started again, as itself or a peer says before its entry does. The new start holds nothing.
   * @param start - The replica and its start.
   * @returns Whether this was news.
   */
  noteStart({ name, bornAt }: ReplicaStart): boolean {
    if (bornAt <= (this.starts.get(name) ?? Number.NEGATIVE_INFINITY)) return false;
    this.rememberStart(name, bornAt);
    for (const [key, id] of this.idOfKey) {
      const entry = this.replicas.get(id);
      if (entry?.name !== name) continue;
      const models = entry.models === undefined ? undefined : [];
      this.takeReplica(key, { ...entry, id: replicaId(name, bornAt), bornAt, models });
      break;
    }
    return true;
  }

  /** The entry as one of a known start; undefined when it is of an earlier one. */
  private ofLatestStart(entry: ReplicaEntry): ReplicaEntry | undefined {
    const { name, bornAt } = entry;
    const latest = this.starts.get(name);
    if (bornAt === undefined) {
      if (latest === undefined) return entry;
      return { ...entry, id: replicaId(name, latest), bornAt: latest };
    }
    if (latest !== undefined && bornAt < latest) return undefined;
    this.rememberStart(name, bornAt);
    return entry;
  }

  private rememberStart(name: string, bornAt: number): void {
    this.starts.delete(name);
    this.starts.set(name, bornAt);
    if (this.starts.size <= MAX_STARTS) return;
    const [oldest] = this.starts.keys();
    this.starts.delete(oldest!);
  }

  private takeReplica(key: string, told: ReplicaEntry): void {
    const entry = this.ofLatestStart(told);
    if (entry === undefined) return;
    // What was known of an earlier start is void: to all listeners that replica is gone.
    const knownId = this.idOfKey.get(key);
    if (knownId !== undefined && knownId !== entry.id) this.drop(key);
    const before = this.replicas.get(entry.id);
    this.idOfKey.set(key, entry.id);
    this.replicas.set(entry.id, entry);
    if (entry.state === ReplicaState.Ready) this.left.delete(entry.id);
    else this.noteLeft(entry);
    for (const listener of this.listeners) listener(entry.id, entry, before);
  }

  private drop(key: string): void {
    const id = this.idOfKey.get(key);
    if (id === undefined) return;
    this.idOfKey.delete(key);
    const entry = this.replicas.get(id);
    this.replicas.delete(id);
    if (entry !== undefined) this.noteLeft(entry);
    for (const listener of this.listeners) listener(id, undefined, entry);
  }

  private noteLeft(entry: ReplicaEntry): void {
    if (!this.left.has(entry.id)) this.left.set(entry.id, { entry, at: this.timers.now() });
  }
}
