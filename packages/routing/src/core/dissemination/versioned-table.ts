/** Table of the rows that owners of engines publish, with the latest row of each engine. */

/** Version of an engine's row: a higher token wins, then a higher sequence number under the same token. */
export interface EngineRow {
  /** Incarnation of the engine. */
  readonly replica: string;
  /** Fencing token of the lease under which the owner published the row. */
  readonly token: number;
  /** Raised by the owner with each row that it publishes. */
  readonly sequence: number;
}

/** Keeps the latest row of each engine. */
export class VersionedTable<Row extends EngineRow> {
  private readonly rows = new Map<string, Row>();

  /**
   * Creates an empty table.
   * @param isRegistered - Whether an engine is in the registry; snapshots leave out the rows of others.
   */
  constructor(private readonly isRegistered: (replica: string) => boolean) {}

  /**
   * Merges a row.
   * @returns Whether it is later than the known row and replaced it.
   */
  merge(row: Row): boolean {
    const known = this.rows.get(row.replica);
    if (known !== undefined && !isLater(row, known)) return false;
    this.rows.set(row.replica, row);
    return true;
  }

  /** Latest row of an engine, if there is one. */
  get(replica: string): Row | undefined {
    return this.rows.get(replica);
  }

  /** Rows of all engines in the registry. */
  snapshot(): Row[] {
    return [...this.rows.values()].filter(({ replica }) => this.isRegistered(replica));
  }

  /** Removes the row of an engine that no longer exists. */
  forget(replica: string): void {
    this.rows.delete(replica);
  }
}

function isLater(row: EngineRow, known: EngineRow): boolean {
  return row.token === known.token ? row.sequence > known.sequence : row.token > known.token;
}
