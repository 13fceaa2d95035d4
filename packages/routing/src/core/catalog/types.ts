/** What operators declare: routes, upstream services, client accounts and the bounds of what a caller may send. */
import type { ClientAccount } from '../accounts/index.js';

/** What may be repeated of a request. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** Runs at most once for each attempt of the caller. */
  Unsafe = 'unsafe',
  /** Answers with a stream of events; repeated only where the route is resumable. */
  Streaming = 'streaming',
}

/** One service that a route leads to, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Weight against the other targets of the route. */
  readonly weight: number;
}

/** A route, chosen by host and longest path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is on time, in milliseconds; of a stream, its first event. */
  readonly objectiveMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Upstreams that one attempt of a caller may run on. */
  readonly maxAttempts: number;
  /** Longest pause between two events for which a stream is still on time, in milliseconds; undefined where none is stated. */
  readonly maxPauseMs: number | undefined;
  /** Whether a broken stream may go on at another upstream. */
  readonly isResumable: boolean;
  /** Whether requests need no key. */
  readonly isAnonymous: boolean;
}

/** A base model that engines of a service may hold. */
export interface EngineModel {
  readonly name: string;
  /** Size of its weights in megabytes. */
  readonly weightsMb: number;
  /** Size of one adapter in megabytes. */
  readonly adapterMb: number;
}

/** What the engines of a service are like. */
export interface EngineSpec {
  /** Requests that one engine batches. */
  readonly slots: number;
  /** Memory of one engine for weights and adapters, in megabytes. */
  readonly memoryMb: number;
  /** Adapters that one engine may hold. */
  readonly adapterSlots: number;
  /** Whole models that the weight store gives out a second, over all engines. */
  readonly modelLoadsPerSecond: number;
  readonly models: readonly EngineModel[];
}

/** A service with its replicas' common properties. */
export interface UpstreamService {
  readonly name: string;
  /** Connections that one replica takes from all daemons together. */
  readonly maxConnections: number;
  /** Set where the replicas are inference engines. */
  readonly engine: EngineSpec | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The whole configuration; versions rise. */
export interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly UpstreamService[];
  readonly bounds: CallerBounds;
  /** Undefined where the configuration declares none: then keys are not looked at. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
