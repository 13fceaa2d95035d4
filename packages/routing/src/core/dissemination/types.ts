/** Types of the state that all daemons share. */

/** Kinds of shared rows. */
export enum Topic {
  /** Members of the fleet. */
  Member = 1,
  /** Which daemon owns which engine. */
  EngineLease = 2,
  /** Free slots and requests in flight of an engine. */
  EngineLoad = 3,
  /** Adapters resident on an engine. */
  Residency = 4,
  /** Starts of replicas that are not yet in the platform's view. */
  Start = 5,
  /** Buckets of client accounts. */
  AccountQuota = 6,
  /** Rates that replicas state. */
  ReplicaLimit = 7,
}

/** How the rows of one topic are merged and written. */
export interface TopicHandler<Row> {
  /** Whether rows are sent without waiting for others to send along. */
  readonly isUrgent: boolean;
  /** Name of a row; a later row of the same name replaces one that waits to be sent. */
  keyOf(row: Row): string;
  /**
   * Takes a row that another daemon published.
   * @returns Whether it was news.
   */
  merge(row: Row): boolean;
  /** All rows, for a daemon that has just subscribed. */
  snapshot(): readonly Row[];
  /** Compact form of a row, as plain data. */
  encode(row: Row): unknown;
  decode(wire: unknown): Row;
}
