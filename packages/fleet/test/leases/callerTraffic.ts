/**
 * Requests of callers against a test site, each dispatched, sent to an engine and ended as a daemon does it.
 */
import { CeleryyokeError } from '@celeryyoke/core';

import type { DispatchGrant } from '../../src/index.js';
import type { TestDaemon, TestSite } from './site.js';

export interface CallerTrafficOptions {
  readonly site: TestSite;
  /** How long a request runs. */
  readonly serviceMs: number;
  /** Time between the check of the lease and the arrival at the engine. */
  readonly sendDelayMs: number;
  /** Skips the check of the lease, to show which harm the check prevents. */
  readonly skipsLeaseCheck?: boolean;
}

/** A request may end this much after its deadline, because timers advance in steps. */
const DEADLINE_SLACK_MS = 100;

/** Sends requests through the daemons and counts how they ended. */
export class CallerTraffic {
  served = 0;

  notRun = 0;

  /** Outcomes that no caller may see: unexpected errors, and requests that ended after their deadline. */
  readonly faults: string[] = [];

  private readonly openRequests = new Map<string, string>();

  constructor(private readonly options: CallerTrafficOptions) {}

  /** Sends a request through a daemon, and retries while its leases are not usable. */
  async send(
    daemonName: string,
    key: string,
    waitMs: number,
    serviceMs = this.options.serviceMs,
  ): Promise<void> {
    const { site } = this.options;
    const daemon = site.daemon(daemonName);
    const request = site.createRequest(key, waitMs);
    this.openRequests.set(request.requestId, daemonName);
    let askedAt = 0;
    try {
      for (;;) {
        await daemon.process.whenRunning();
        askedAt = site.timers.now();
        const grant = await daemon.dispatcher.acquire(request, new AbortController().signal);
        if (await this.run(grant, request.requestId, key, daemon, serviceMs)) break;
      }
      this.served += 1;
    } catch (err) {
      if (err instanceof CeleryyokeError && err.isNotRun) this.notRun += 1;
      else this.faults.push(String(err));
      const dueAt = Math.max(request.deadlineAt, daemon.process.resumedAt, askedAt);
      const overdueMs = site.timers.now() - dueAt;
      if (overdueMs > DEADLINE_SLACK_MS)
        this.faults.push(
          `${request.requestId} of ${daemonName} ended ${overdueMs} ms late at ${site.timers.now()}`,
        );
    }
    this.openRequests.delete(request.requestId);
  }

  /** Ids of the requests that have not ended. */
  unfinishedRequests(): string[] {
    return [...this.openRequests.keys()];
  }

  /** Drops the requests of a daemon that has crashed. */
  forgetDaemon(daemonName: string): void {
    for (const [id, name] of this.openRequests) if (name === daemonName) this.openRequests.delete(id);
  }

  /** Runs a request under a lease; false when it must be dispatched again. */
  private async run(
    grant: DispatchGrant,
    id: string,
    key: string,
    daemon: TestDaemon,
    serviceMs: number,
  ): Promise<boolean> {
    const { site, sendDelayMs, skipsLeaseCheck = false } = this.options;
    // The process may be paused between the grant and the step that sends the request.
    await daemon.process.beforeSend();
    if (!skipsLeaseCheck && !grant.isValid()) {
      grant.release(true);
      return false;
    }
    const engine = site.engine(grant.engine.name);
    await site.timers.sleep(sendDelayMs);
    if (!engine.start(id, key)) {
      await daemon.process.whenRunning();
      grant.release(true);
      return false;
    }
    await site.timers.sleep(serviceMs);
    engine.end(id);
    await daemon.process.whenRunning();
    grant.release(true);
    return true;
  }
}
