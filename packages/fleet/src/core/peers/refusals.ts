/**
 * Records refused peers in the log and the audit trail, at most once a minute for each peer and error code.
 */
import type { AuditTrail, CeleryyokeError, Log, TimerService } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';

const MIN_INTERVAL_MS = 60_000;
const MAX_ENTRIES = 256;

/** Options of {@link RefusalRecord}. */
export interface RefusalOptions {
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
}

/** Rate-limited record of refused peers. */
export class RefusalRecord {
  private readonly lastRecordedAt = new Map<string, number>();

  constructor(private readonly options: RefusalOptions) {}

  /**
   * Records a refusal, unless the same one was recorded within the last minute.
   * @param peer - The name that the peer gave, or that was dialled.
   */
  record(peer: string, err: CeleryyokeError): void {
    const { timers, log, audit } = this.options;
    const key = `${err.code} ${peer}`;
    const last = this.lastRecordedAt.get(key);
    if (last !== undefined && timers.now() - last < MIN_INTERVAL_MS) return;
    this.removeExpired();
    // The names come from unauthenticated peers, so memory and log output for them are bounded.
    if (this.lastRecordedAt.size >= MAX_ENTRIES) return;
    this.lastRecordedAt.set(key, timers.now());
    log.warn(`${err.message} (code ${err.code})`);
    audit.record({
      kind: AuditKind.PeerRefused,
      subject: peer,
      cause: err.message,
      after: { code: err.code },
    });
  }

  private removeExpired(): void {
    const since = this.options.timers.now() - MIN_INTERVAL_MS;
    for (const [key, at] of this.lastRecordedAt) if (at < since) this.lastRecordedAt.delete(key);
  }
}
