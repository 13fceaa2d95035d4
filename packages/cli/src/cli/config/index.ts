/** `celeryyoke config status`: the revision in force on each daemon. */
import { CeleryyokeError } from '@celeryyoke/core';

import { callDaemon } from '../../core/admin/index.js';
import type { CliIo } from '../../core/program/index.js';
import { ExitCode } from '../../core/program/index.js';
import type { DaemonStatus } from '../status/types.js';
import { areAlike, pickConfigs, renderConfigs } from './render.js';

/** Options of the command. */
export interface ConfigOptions {
  /** Base URL of any daemon's operators' listener. */
  readonly daemon: string;
  /** Writes JSON. */
  readonly json?: boolean;
}

/**
 * Runs the command.
 * @param action - What to do; only `status` there is.
 * @param options - Over which daemon.
 * @param io - Where it writes.
 * @returns Whether the daemons differ.
 */
export async function runConfig(action: string, options: ConfigOptions, io: CliIo): Promise<ExitCode> {
  if (action !== 'status') {
    throw new CeleryyokeError('CommandInvalid', { reason: `"${action}" is no action, expected status.` });
  }
  const fleet = await callDaemon<readonly DaemonStatus[]>(options.daemon, 'GET', '/admin/status');
  const daemons = pickConfigs(fleet);
  io.print(options.json ? JSON.stringify(daemons, null, 2) : renderConfigs(daemons));
  return areAlike(daemons) ? ExitCode.Ok : ExitCode.Found;
}
