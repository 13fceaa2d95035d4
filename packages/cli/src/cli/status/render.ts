/** Writes the status of a fleet as tables. */
import Table from 'cli-table3';

import type { DaemonStatus } from './types.js';

const NO_BORDERS = { head: [], border: [], compact: true };

function showCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (Array.isArray(value)) return value.map(showCell).join(' ');
  if (typeof value === 'object') {
    return Object.entries(value)
      .map(([key, one]) => `${key}=${showCell(one)}`)
      .join(' ');
  }
  return String(value);
}

function tableOfRows(rows: readonly object[]): string {
  const heads = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const table = new Table({ head: heads, style: NO_BORDERS });
  for (const row of rows) {
    const cells = new Map(Object.entries(row));
    table.push(heads.map((head) => showCell(cells.get(head))));
  }
  return table.toString();
}

function tableOfFields(fields: object): string {
  const table = new Table({ style: NO_BORDERS });
  for (const [key, value] of Object.entries(fields)) table.push([key, showCell(value)]);
  return table.toString();
}

function isRowList(value: unknown): value is readonly object[] {
  return Array.isArray(value) && value.every((one) => typeof one === 'object' && one !== null);
}

function renderSection(value: unknown): string {
  if (isRowList(value)) return value.length === 0 ? '(none)' : tableOfRows(value);
  if (typeof value === 'object' && value !== null) return tableOfFields(value);
  return showCell(value);
}

function renderDaemon(daemon: DaemonStatus): string {
  if (!daemon.reached) return `== ${daemon.host}: does not answer`;
  const blocks = Object.entries(daemon.sections).map(
    ([name, value]) => `-- ${name}\n${renderSection(value)}`,
  );
  return [`== ${daemon.host} (incarnation ${daemon.incarnation})`, ...blocks].join('\n');
}

/**
 * Writes the status of a fleet.
 * @param fleet - One status for each daemon.
 * @returns Text with one table for each section of each daemon.
 */
export function renderFleet(fleet: readonly DaemonStatus[]): string {
  return fleet.map(renderDaemon).join('\n\n');
}
