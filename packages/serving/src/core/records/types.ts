/** Records of requests, which `celeryyoke explain` reads. */

/** One try of a request on one upstream. */
export interface AttemptRecord {
  readonly upstream: string;
  /** Why this upstream. */
  readonly reasons: readonly string[];
  /** Time that it waited for an adapter to be loaded, in milliseconds. */
  readonly loadWaitMs: number;
  /** Time that it waited for a place on the engine, in milliseconds. */
  readonly queueWaitMs: number;
  /** Data events that the caller had before this try. */
  readonly resumedFrom: number;
  /** How it ended, in a few words. */
  outcome: string;
}

/** What is known of one request. */
export interface RequestRecord {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Wall-clock time of arrival, ISO 8601. */
  readonly receivedAt: string;
  caller?: string;
  /** Adapter and version that it was resolved to when it was admitted, or the plain service. */
  target?: string;
  /** Revision of the configuration that it was admitted under. */
  revision?: number;
  priority?: number;
  /** Time allowed in milliseconds; undefined for none. */
  timeoutMs?: number;
  readonly attempts: AttemptRecord[];
  /** Data events that went out to the caller. */
  events: number;
  /** Time from arrival to the first byte of the answer's body, in milliseconds. */
  firstByteMs?: number;
  /** Time from arrival to the end, in milliseconds; undefined while it runs. */
  durationMs?: number;
  /** HTTP status that the caller got. */
  status?: number;
  /** Result code that the caller got; 0 when it went well. */
  code?: number;
  /** How it ended. */
  outcome?: string;
}

/** The newest requests of this daemon. */
export interface RequestLog {
  /** Opens the record of a request that has just come in. */
  open(record: RequestRecord): void;
  /** Finds a record by its request id. */
  find(id: string): RequestRecord | undefined;
  /** Reads the newest records, newest first. */
  recent(count: number): readonly RequestRecord[];
}
