/** Types of the audit trail. */

/** What changed. */
export enum AuditKind {
  ConfigAccepted = 'config-accepted',
  ConfigRefused = 'config-refused',
  OwnershipTaken = 'ownership-taken',
  OwnershipLost = 'ownership-lost',
  OrderSent = 'order-sent',
  OrderResult = 'order-result',
  EventPlanChanged = 'event-plan-changed',
  DrainBegun = 'drain-begun',
  DrainEnded = 'drain-ended',
  QuarantineSet = 'quarantine-set',
  QuarantineLifted = 'quarantine-lifted',
  PeerRefused = 'peer-refused',
  PauseNoticed = 'pause-noticed',
  HostListHeld = 'host-list-held',
  HostListTaken = 'host-list-taken',
}

/** A change as a part reports it. */
export interface AuditChange {
  /** What changed. */
  readonly kind: AuditKind;
  /** What it happened to, such as an engine's name or a revision. */
  readonly subject: string;
  /** Why. */
  readonly cause: string;
  /** State before, where there was one. */
  readonly before?: unknown;
  /** State after, where there is one. */
  readonly after?: unknown;
}

/** A change as the trail keeps it. */
export interface AuditRecord extends AuditChange {
  /** Running number within the process, from 1. */
  readonly seq: number;
  /** Wall-clock time, ISO 8601. */
  readonly time: string;
  /** The daemon that reports it. */
  readonly daemon: string;
}

/** The audit trail of a process. */
export interface AuditTrail {
  /** Records a change. */
  record(change: AuditChange): void;
  /**
   * Reads the records kept.
   * @param afterSeq - Leaves out records up to this number.
   * @returns Records, oldest first.
   */
  read(afterSeq?: number): readonly AuditRecord[];
  /**
   * Subscribes to new records.
   * @param listener - Called with each.
   * @returns Ends the subscription.
   */
  subscribe(listener: (record: AuditRecord) => void): () => void;
}
