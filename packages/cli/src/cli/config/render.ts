/** Writes what is in force on each daemon as one table. */
import type { DistributionStatus } from '@celeryyoke/fleet';
import Table from 'cli-table3';

import type { DaemonStatus } from '../status/types.js';

/** Digits of a digest that are shown; enough to tell two apart at a glance. */
const DIGEST_SHOWN = 12;

const HEADS = ['daemon', 'revision', 'digest', 'in force since', 'from'];

/** What one daemon told about its configuration. */
export interface DaemonConfig {
  readonly host: string;
  /** Undefined when the daemon did not answer. */
  readonly config: DistributionStatus | undefined;
}

/**
 * Picks the configuration out of a fleet's status.
 * @param fleet - One status for each daemon.
 * @returns What each daemon told, by name.
 */
export function pickConfigs(fleet: readonly DaemonStatus[]): DaemonConfig[] {
  const picked = fleet.map(({ host, reached, sections }) => ({
    host,
    config: reached ? (sections.config as DistributionStatus | undefined) : undefined,
  }));
  return picked.sort((left, right) => (left.host < right.host ? -1 : 1));
}

/**
 * Tells whether all daemons that answered have the same in force.
 * @param daemons - What each daemon told.
 * @returns Whether they agree.
 */
export function areAlike(daemons: readonly DaemonConfig[]): boolean {
  const known = daemons.flatMap(({ config }) => (config === undefined ? [] : [config]));
  return new Set(known.map(({ revision, digest }) => `${revision} ${digest}`)).size <= 1;
}

function rowOf({ host, config }: DaemonConfig): string[] {
  if (config === undefined) return [host, 'does not answer', '', '', ''];
  if (config.revision === 0) return [host, 'none', '', '', ''];
  return [host, String(config.revision), config.digest.slice(0, DIGEST_SHOWN), config.since, config.origin];
}

/** Sets that were refused, each once, with the daemons that refused it. */
function describeRefusals(daemons: readonly DaemonConfig[]): string[] {
  const refusers = new Map<string, string[]>();
  for (const { host, config } of daemons) {
    for (const { revision, reason } of config?.refused ?? []) {
      const what = revision === undefined ? 'a root document' : `revision ${revision}`;
      const text = `${what}: ${reason}`;
      refusers.set(text, [...(refusers.get(text) ?? []), host]);
    }
  }
  return Array.from(refusers, ([text, hosts]) => `refused by ${hosts.join(', ')}: ${text}`);
}

/**
 * Writes the table, and below it what was refused.
 * @param daemons - What each daemon told.
 * @returns The text.
 */
export function renderConfigs(daemons: readonly DaemonConfig[]): string {
  const table = new Table({ head: HEADS, style: { head: [], border: [], compact: true } });
  for (const daemon of daemons) table.push(rowOf(daemon));
  const verdict = areAlike(daemons) ? 'All that answer have the same in force.' : 'The daemons differ.';
  return [table.toString(), verdict, ...describeRefusals(daemons)].join('\n');
}
