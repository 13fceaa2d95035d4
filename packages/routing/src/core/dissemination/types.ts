/** Types of the shared state of all daemons. */

/** Topics of the shared state; the numbers are sent to other daemons. */
export enum Topic {
  /** Members of the fleet. */
  Member = 1,
  /** Leases of engines. */
  EngineLease = 2,
  /** Free slots and requests in flight of an engine. */
  EngineLoad = 3,
  /** Adapters that are resident on an engine. */
  Residency = 4,
  /** Process starts of replicas that are not yet in the platform's view. */
  ReplicaStart = 5,
  /** Quota buckets of client accounts. */
  AccountQuota = 6,
  /** Rate limits that replicas state. */
  ReplicaLimit = 7,
  /** Replicas that have told a daemon that they leave. */
  ReplicaLeaving = 8,
  /** Requests in flight at crashes of replicas, and those that are refused for that. */
  Suspect = 9,
  /** Services whose replicas a daemon can't reach. */
  CutOff = 10,
  /** Limits of rejections that replicas state. */
  RejectionLimit = 11,
}

/** Merges and encodes the rows of one topic. */
export interface TopicHandler<Row> {
  /** Whether rows are sent almost at once instead of being collected for a batch. */
  readonly isUrgent: boolean;
  /** Key of a row; a later row of the same key replaces one that waits to be sent. */
  keyOf(row: Row): string;
  /**
   * Merges a row that another daemon published.
   * @returns Whether it changed the state of this daemon.
   */
  merge(row: Row): boolean;
  /** All rows, to exchange with a daemon on subscription. */
  snapshot(): readonly Row[];
  /** Encodes a row as compact plain data. */
  encode(row: Row): unknown;
  decode(wire: unknown): Row;
}
