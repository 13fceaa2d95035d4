/**
 * The configuration that operators declare: routes, upstream services, client accounts and bounds for
 * callers.
 */
import type { ClientAccount } from '../accounts/index.js';

/** How often a request of a route may run. */
export enum RouteKind {
  /** Any number of times. */
  Safe = 'safe',
  /** At most once for each request that a caller sends. */
  Unsafe = 'unsafe',
  /** The response is a stream of events; the request is retried only where the route is resumable. */
  Streaming = 'streaming',
}

/** A service that a route leads to, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the other targets of the route. */
  readonly weight: number;
}

/** A route, selected by host and longest path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until the caller gets its response, in milliseconds. */
  readonly timeoutMs: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Upstreams that one request of a caller may run on. */
  readonly maxAttempts: number;
  /**
   * Longest gap between two events of a stream that its callers expect, in milliseconds; undefined where none is
   * declared.
   */
  readonly maxPauseMs: number | undefined;
  /** Whether a broken stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  /** Whether requests need no key. */
  readonly isAnonymous: boolean;
}

/** A base model that engines of a service may have loaded. */
export interface EngineModel {
  readonly name: string;
  /** Size of its weights in megabytes. */
  readonly weightsMb: number;
  /** Size of one adapter in megabytes. */
  readonly adapterMb: number;
}

/** Properties of the engines of a service. */
export interface EngineSpec {
  /** Requests that one engine batches. */
  readonly slots: number;
  /** Memory of one engine for weights and adapters, in megabytes. */
  readonly memoryMb: number;
  /** Adapters that may be resident on one engine. */
  readonly adapterSlots: number;
  /** Models that the weight store delivers per second, over all engines. */
  readonly modelLoadsPerSecond: number;
  readonly models: readonly EngineModel[];
}

/** A service and the common properties of its replicas. */
export interface UpstreamService {
  readonly name: string;
  /** Connections that one replica accepts from all daemons together. */
  readonly maxConnections: number;
  /** Set where the replicas are inference engines. */
  readonly engine: EngineSpec | undefined;
}

/** Bounds of what a caller may send, and of how long it may take. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The whole configuration; a newer one has a higher version. */
export interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly UpstreamService[];
  readonly bounds: CallerBounds;
  /** Undefined where the configuration declares no accounts; keys are not checked then. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
