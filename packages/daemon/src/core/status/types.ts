/** What a daemon tells operators about itself. */

/** One part's share of the status. */
export interface StatusSection {
  /** Unique name of the section. */
  readonly name: string;
  /** Makes the section, from plain data only. */
  collect(): unknown;
}

/** A daemon's status. */
export interface DaemonStatus {
  readonly host: string;
  readonly incarnation: number;
  /** Whether the daemon answered; the sections are empty otherwise. */
  readonly reached: boolean;
  readonly sections: Readonly<Record<string, unknown>>;
}

/** The sections of one daemon. */
export interface StatusBoard {
  /** Adds a section. */
  add(section: StatusSection): void;
  /** Makes all sections. */
  collect(): Readonly<Record<string, unknown>>;
}
