/** The effective configuration of one site: base file and overlay, merged and checked. */

/** Whether an engine refuses orders that carry an old fencing number. */
export enum Fencing {
  Honoured = 'honoured',
  Ignored = 'ignored',
}

/** A failure domain. */
export interface DomainConfig {
  readonly name: string;
  /** Region that the domain lies in. */
  readonly region: string;
}

/** A base model. */
export interface ModelConfig {
  readonly name: string;
  /** Size of its weights in megabytes. */
  readonly sizeMb: number;
}

/** A model-serving replica. */
export interface EngineConfig {
  readonly name: string;
  readonly domain: string;
  /** Base URL, such as `http://10.0.0.1:8000`. */
  readonly address: string;
  /** Base model that it serves. */
  readonly model: string;
  /** Weight store that it loads from. */
  readonly store: string;
  /** Adapter slots. */
  readonly slots: number;
  /** Most requests in one step. */
  readonly batch: number;
  readonly fencing: Fencing;
}

/** One upstream of a plain service. */
export interface ServiceUpstreamConfig {
  readonly name: string;
  readonly domain: string;
  readonly address: string;
}

/** A route of a plain service whose calls may not be repeated. */
export interface NonIdempotentRoute {
  /** HTTP method, or `*`. */
  readonly method: string;
  /** Path prefix below the service's own prefix. */
  readonly path: string;
}

/** A plain service. */
export interface PlainServiceConfig {
  readonly name: string;
  /** Route prefix, such as `/payouts`. */
  readonly prefix: string;
  readonly upstreams: readonly ServiceUpstreamConfig[];
  readonly nonIdempotent: readonly NonIdempotentRoute[];
  /** Longest time for one call in milliseconds. */
  readonly timeoutMs: number;
}

/** A weight store. */
export interface StoreConfig {
  readonly name: string;
  readonly address: string;
  /** Loads a second that it allows. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed together. */
  readonly concurrentLoads: number;
}

/** An adapter with its versions. */
export interface AdapterConfig {
  readonly name: string;
  /** Base model that it belongs to. */
  readonly model: string;
  /** Declared versions. */
  readonly versions: readonly string[];
  /** Version that a request without one gets. */
  readonly current: string;
  readonly sizeMb: number;
}

/**
 * Adapters of a kind, whose names are a prefix and a number. An adapter that is declared by itself
 * goes before a family's member of the same name.
 */
export interface AdapterFamilyConfig {
  readonly name: string;
  /** Names of its members, such as `style-{0001..3000}`; zeros at the front pad to the same width. */
  readonly pattern: string;
  /** Base model that its members belong to. */
  readonly model: string;
  /** Declared versions. */
  readonly versions: readonly string[];
  /** Version that a request without one gets. */
  readonly current: string;
  readonly sizeMb: number;
}

/**
 * Adapters that are declared one by one. An array is one; the compact table that a site of many
 * thousands needs is another, so its entries are made while it is read.
 */
export interface AdapterList extends Iterable<AdapterConfig> {
  readonly length: number;
}

/** An adapter that must be ready for an event. */
export interface EventAdapterConfig {
  readonly adapter: string;
  /** Version; the current one when left out. */
  readonly version?: string | undefined;
  /** Expected requests a second. */
  readonly rps: number;
}

/** An event with a fixed start. */
export interface EventConfig {
  readonly name: string;
  /** Start, milliseconds since the epoch. */
  readonly startMs: number;
  /** End, milliseconds since the epoch. */
  readonly endMs: number;
  readonly adapters: readonly EventAdapterConfig[];
}

/** A caller and its limits, which hold for the whole fleet. */
export interface CallerConfig {
  readonly name: string;
  /** SHA-256 of the caller's key in hexadecimal. */
  readonly keySha256: string;
  /** Requests a second. */
  readonly requestsPerSecond: number;
  /** Requests that may run at once. */
  readonly concurrency: number;
  /** Weight in fair queueing. */
  readonly weight: number;
  /** Priority of its requests when they state none; higher goes first. */
  readonly priority: number;
}

/** Weights and bounds of the policy. */
export interface PolicyConfig {
  /** 1 weighs load stalls only, 0 batch efficiency only. */
  readonly stallWeight: number;
  /** Longest time that a load for a rarely used adapter can be passed over, in milliseconds. */
  readonly maxLoadWaitMs: number;
  /** First-token bound in milliseconds. */
  readonly firstTokenMs: number;
  /** Bound between tokens in milliseconds. */
  readonly interTokenMs: number;
}

/** The effective configuration of one site. */
export interface SiteConfig {
  readonly site: string;
  readonly domains: readonly DomainConfig[];
  readonly models: readonly ModelConfig[];
  readonly engines: readonly EngineConfig[];
  readonly services: readonly PlainServiceConfig[];
  readonly stores: readonly StoreConfig[];
  readonly adapters: AdapterList;
  /** Families of adapters; none when left out. */
  readonly families?: readonly AdapterFamilyConfig[] | undefined;
  readonly events: readonly EventConfig[];
  readonly callers: readonly CallerConfig[];
  readonly policy: PolicyConfig;
}

/** An adapter and version that a request was resolved to when it was admitted. */
export interface ResolvedAdapter {
  readonly adapter: string;
  readonly version: string;
  readonly model: string;
  /** Unique key of adapter and version, `adapter@version`. */
  readonly key: string;
  readonly sizeMb: number;
}

/** A configuration that was accepted, with its look-ups; it never changes. */
export interface ConfigSnapshot {
  readonly revision: number;
  /** Digest of its contents, the same on every daemon. */
  readonly digest: string;
  readonly config: SiteConfig;
  /**
   * Resolves the name that a request gives.
   * @param name - `adapter` or `adapter@version`.
   * @returns What it resolves to.
   * @throws CeleryyokeError AdapterUnknown or VersionUnknown.
   */
  resolve(name: string): ResolvedAdapter;
  /** Finds an adapter by name, declared by itself or in a family. */
  adapter(name: string): AdapterConfig | undefined;
  /** How many adapters there are, families included. */
  readonly adapterCount: number;
  /**
   * Reads adapters in a fixed order, families included.
   * @param after - Name of the last adapter of the page before; undefined for the first page.
   * @param limit - Most adapters to return.
   * @returns The page; empty at the end.
   */
  adapterPage(after: string | undefined, limit: number): readonly AdapterConfig[];
  /** Finds an engine by name. */
  engine(name: string): EngineConfig | undefined;
  /** Finds a caller by the SHA-256 of its key. */
  callerByKey(keySha256: string): CallerConfig | undefined;
  /** Finds the plain service with the longest prefix of a path. */
  serviceFor(path: string): PlainServiceConfig | undefined;
}

/** The configuration in force; parts subscribe to it. */
export interface ConfigHolder {
  /** The snapshot in force, or undefined before the first. */
  current(): ConfigSnapshot | undefined;
  /**
   * Reads the snapshot in force.
   * @throws CeleryyokeError ConfigUnavailable before the first.
   */
  require(): ConfigSnapshot;
  /**
   * Puts a snapshot in force if its revision is newer; it never goes back.
   * @param snapshot - The new one.
   * @returns Whether it was put in force.
   */
  accept(snapshot: ConfigSnapshot): boolean;
  /**
   * Subscribes to changes.
   * @param listener - Called with the new and the previous snapshot.
   * @returns Ends the subscription.
   */
  subscribe(listener: (next: ConfigSnapshot, previous: ConfigSnapshot | undefined) => void): () => void;
}
