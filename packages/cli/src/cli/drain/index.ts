/** `celeryyoke drain`: lets one daemon finish its work and exit. */
import { callDaemon } from '../../core/admin/index.js';

/** Options of the command. */
export interface DrainOptions {
  /** Base URL of any daemon's operators' listener. */
  readonly daemon: string;
}

/** Answer of the operators' listener. */
interface DrainAnswer {
  readonly host: string;
  readonly draining: boolean;
}

/**
 * Runs the command.
 * @param host - Host whose daemon drains.
 * @param options - Over which daemon.
 * @param print - Writes a line.
 */
export async function runDrain(
  host: string,
  options: DrainOptions,
  print: (text: string) => void,
): Promise<void> {
  const path = `/admin/drain?host=${encodeURIComponent(host)}`;
  const answer = await callDaemon<DrainAnswer>(options.daemon, 'POST', path);
  print(
    `${answer.host} ${answer.draining ? 'drains; it exits when its last request has ended' : 'does not drain'}.`,
  );
}
