/** Refuses a set once: it is audited the first time, and passed over when it is offered again. */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';

import type { RefusedSet } from './types.js';

/** Sets remembered; older ones would be judged and audited again. */
const REMEMBERED = 64;

/** Refused sets shown to operators. */
const SHOWN = 8;

/** Options of the refusals. */
export interface RefusalOptions {
  readonly audit: AuditTrail;
  readonly log: Log;
  readonly timers: TimerService;
}

/** A refusal to note. */
export interface Refusal {
  /** Identifies the set, or the reason when it may be judged again. */
  readonly key: string;
  readonly revision: number | undefined;
  /** Where it came from, such as `service`. */
  readonly from: string;
  /** Place and reason. */
  readonly reason: string;
}

/** The refusals of one daemon. */
export class Refusals {
  private readonly known = new Map<string, RefusedSet>();

  constructor(private readonly options: RefusalOptions) {}

  /** Whether a set was refused before. */
  has(key: string): boolean {
    return this.known.has(key);
  }

  /** Notes a refusal; a second one of the same key does nothing. */
  refuse({ key, revision, from, reason }: Refusal): void {
    if (this.known.has(key)) return;
    const { audit, log, timers } = this.options;
    this.known.set(key, { revision, reason, time: new Date(timers.wall()).toISOString() });
    if (this.known.size > REMEMBERED) this.known.delete(this.known.keys().next().value!);
    const subject = revision === undefined ? 'a root document' : `revision ${revision}`;
    audit.record({ kind: AuditKind.ConfigRefused, subject, cause: `from ${from}: ${reason}` });
    log.warn(`Refused ${subject} from ${from}: ${reason}`);
  }

  /** The newest refusals. */
  recent(): RefusedSet[] {
    return [...this.known.values()].slice(-SHOWN);
  }
}
