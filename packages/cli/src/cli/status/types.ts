/** The status of one daemon, as its operators' listener gives it. */
export interface DaemonStatus {
  readonly host: string;
  readonly incarnation: number;
  /** Whether the daemon answered. */
  readonly reached: boolean;
  /** Sections by name; their shape is the business of the part that wrote them. */
  readonly sections: Readonly<Record<string, unknown>>;
}
