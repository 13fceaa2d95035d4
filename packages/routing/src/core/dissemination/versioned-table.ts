/** Rows that the owners of engines publish, the latest of each engine. */

/** What orders the rows of one engine: a later owner wins, then a later row of the same owner. */
export interface EngineRow {
  /** One start of a replica. */
  readonly replica: string;
  /** Fencing token of the owner that published the row. */
  readonly token: number;
  /** Raised by the owner with each row. */
  readonly sequence: number;
}

/** The latest row of each engine. */
export class VersionedTable<Row extends EngineRow> {
  private readonly rows = new Map<string, Row>();

  /**
   * Makes an empty table.
   * @param isListed - Whether the registry lists an engine; rows of others are not passed on.
   */
  constructor(private readonly isListed: (replica: string) => boolean) {}

  /**
   * Takes a row.
   * @param row - The row.
   * @returns Whether it was news.
   */
  merge(row: Row): boolean {
    const known = this.rows.get(row.replica);
    if (known !== undefined && !isLater(row, known)) return false;
    this.rows.set(row.replica, row);
    return true;
  }

  /**
   * Finds the row of an engine.
   * @param replica - The engine.
   * @returns The latest row, or undefined.
   */
  get(replica: string): Row | undefined {
    return this.rows.get(replica);
  }

  /** Rows of all listed engines. */
  snapshot(): Row[] {
    return [...this.rows.values()].filter(({ replica }) => this.isListed(replica));
  }

  /**
   * Forgets an engine that is gone.
   * @param replica - The engine.
   */
  forget(replica: string): void {
    this.rows.delete(replica);
  }
}

function isLater(row: EngineRow, known: EngineRow): boolean {
  return row.token === known.token ? row.sequence > known.sequence : row.token > known.token;
}
