/** `celeryyoke status`: asks one daemon about the whole fleet. */
import { setTimeout as delay } from 'node:timers/promises';

import { callDaemon } from '../../core/admin/index.js';
import { renderFleet } from './render.js';
import type { DaemonStatus } from './types.js';

const WATCH_INTERVAL_MS = 1000;
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

/** Options of the command. */
export interface StatusOptions {
  /** Base URL of a daemon's operators' listener. */
  readonly daemon: string;
  /** Writes JSON in place of tables. */
  readonly json?: boolean;
  /** Shows it again every second until interrupted. */
  readonly watch?: boolean;
  /** Shows only this section. */
  readonly section?: string;
}

function pickSection(fleet: readonly DaemonStatus[], section: string | undefined): readonly DaemonStatus[] {
  if (section === undefined) return fleet;
  return fleet.map((daemon) => ({
    ...daemon,
    sections: section in daemon.sections ? { [section]: daemon.sections[section] } : {},
  }));
}

async function readOnce(options: StatusOptions): Promise<string> {
  const fleet = await callDaemon<readonly DaemonStatus[]>(options.daemon, 'GET', '/admin/status');
  const picked = pickSection(fleet, options.section);
  return options.json ? JSON.stringify(picked, null, 2) : renderFleet(picked);
}

/**
 * Runs the command.
 * @param options - What to show.
 * @param print - Writes a block of text.
 */
export async function runStatus(options: StatusOptions, print: (text: string) => void): Promise<void> {
  if (!options.watch) {
    print(await readOnce(options));
    return;
  }
  for (;;) {
    print(CLEAR_SCREEN + (await readOnce(options)));
    await delay(WATCH_INTERVAL_MS);
  }
}
