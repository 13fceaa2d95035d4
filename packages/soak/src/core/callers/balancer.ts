/** Which daemons get new requests of callers: those that say that they are ready, as a platform's balancer asks them. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { request } from 'undici';

import type { DaemonAddress } from '../site/index.js';

const ASK_MS = 1000;
/** Consecutive responses other than 200 after which a daemon gets no new requests. */
const MISSES = 2;
const OK = 200;

/** The daemons in rotation. */
export class Balancer {
  private readonly misses = new Map<string, number>();

  private readonly asking: TimerHandle;

  constructor(
    private readonly daemons: readonly DaemonAddress[],
    timers: TimerService,
  ) {
    for (const { name } of daemons) this.misses.set(name, MISSES);
    this.asking = timers.repeat(ASK_MS, () => {
      for (const daemon of daemons) void this.ask(daemon);
    });
  }

  /** Daemons in rotation; all of them where there is none. */
  inRotation(): readonly DaemonAddress[] {
    const ready = this.daemons.filter(({ name }) => this.misses.get(name)! < MISSES);
    return ready.length > 0 ? ready : this.daemons;
  }

  /** Ends the questions. */
  stop(): void {
    this.asking.cancel();
  }

  private async ask({ name, readiness }: DaemonAddress): Promise<void> {
    const signal = AbortSignal.timeout(ASK_MS);
    const isReady = await request(`http://${readiness}/v1/readiness`, { signal })
      .then(async ({ statusCode, body }) => {
        await body.dump();
        return statusCode === OK;
      })
      .catch(() => false);
    this.misses.set(name, isReady ? 0 : (this.misses.get(name) ?? 0) + 1);
  }
}
