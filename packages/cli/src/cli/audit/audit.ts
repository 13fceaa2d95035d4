/** `celeryyoke audit`: reads or follows a daemon's audit trail. */
import type { AuditRecord } from '@celeryyoke/core';

import { callDaemon, followDaemon } from '../../core/admin/index.js';

/** Options of the command. */
export interface AuditOptions {
  /** Base URL of a daemon's operators' listener. */
  readonly daemon: string;
  /** Waits for new records. */
  readonly follow?: boolean;
  /** Writes JSON lines. */
  readonly json?: boolean;
  /** Leaves out records up to this number. */
  readonly after?: number;
}

function showState(before: unknown, after: unknown): string {
  if (before === undefined && after === undefined) return '';
  return ` ${JSON.stringify(before) ?? '-'} -> ${JSON.stringify(after) ?? '-'}`;
}

function renderRecord(record: AuditRecord): string {
  const change = showState(record.before, record.after);
  return `${record.time} ${record.daemon} #${record.seq} ${record.kind} ${record.subject}: ${record.cause}${change}`;
}

/**
 * Runs the command.
 * @param options - What to show.
 * @param print - Writes a line.
 */
export async function runAudit(options: AuditOptions, print: (text: string) => void): Promise<void> {
  const show = options.json ? (record: AuditRecord) => JSON.stringify(record) : renderRecord;
  const path = `/admin/audit?after=${options.after ?? 0}`;
  if (!options.follow) {
    const records = await callDaemon<readonly AuditRecord[]>(options.daemon, 'GET', path);
    for (const record of records) print(show(record));
    return;
  }
  for await (const record of followDaemon<AuditRecord>(options.daemon, `${path}&follow=true`))
    print(show(record));
}
