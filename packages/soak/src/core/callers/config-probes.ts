/** Asks daemons for the route that a configuration has added, when it must be in force. */
import type { TimerService } from '@celeryyoke/core';
import { request } from 'undici';

import type { DaemonAddress } from '../site/index.js';
import { CALLER_HOST, versionPrefix } from '../site/index.js';

const TIMEOUT_MS = 2000;

/** A daemon that was asked. */
export interface ConfigProbe {
  readonly daemon: string;
  readonly version: number;
  /** Unix milliseconds. */
  readonly at: number;
  /** Status of the response. */
  readonly status: number;
}

/** Probes of a run. */
export class ConfigProbes {
  readonly results: ConfigProbe[] = [];

  private count = 0;

  constructor(
    private readonly daemons: readonly DaemonAddress[],
    private readonly timers: TimerService,
  ) {}

  /** Asks all daemons for the route of a version when it must be in force. */
  schedule(version: number, afterMs: number): void {
    this.timers.after(afterMs, () => {
      for (const daemon of this.daemons) void this.ask(daemon, version);
    });
  }

  private async ask({ name, callers }: DaemonAddress, version: number): Promise<void> {
    this.count += 1;
    const headers = {
      host: CALLER_HOST,
      'celeryyoke-request-id': `config-${version}-${this.count}`,
      'celeryyoke-deadline-remaining': String(TIMEOUT_MS),
    };
    const at = this.timers.wall();
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const { statusCode, body } = await request(`http://${callers}${versionPrefix(version)}`, {
        headers,
        signal,
      });
      await body.dump();
      this.results.push({ daemon: name, version, at, status: statusCode });
    } catch {
      // A daemon that doesn't answer shows nothing of its configuration.
    }
  }
}
