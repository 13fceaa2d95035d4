/** Health of upstreams: passive reports, a probe task for each upstream, slow start and a panic threshold. */
import type { Task } from '@celeryyoke/core';
import { runTask } from '@celeryyoke/core';

import type { HealthBounds } from './record.js';
import { HealthRecord } from './record.js';
import type { HealthState, UpstreamHealth, UpstreamHealthOptions, WatchedUpstream } from './types.js';
import { HealthState as State } from './types.js';

const DEFAULT_FAILURES = 3;
const DEFAULT_SUCCESSES = 2;
const DEFAULT_PAUSE_MS = 2000;
const DEFAULT_SLOW_START_MS = 10_000;
const DEFAULT_PANIC_SHARE = 0.5;
const DEFAULT_PROBE_INTERVAL_MS = 1000;
const DEFAULT_PROBE_TIMEOUT_MS = 500;

interface Watched {
  readonly group: string;
  readonly record: HealthRecord;
  readonly task: Task<void> | undefined;
}

/** Health by watched upstream. */
class WatchedHealth implements UpstreamHealth {
  private readonly watched = new Map<string, Watched>();

  private readonly bounds: HealthBounds;

  constructor(private readonly options: UpstreamHealthOptions) {
    this.bounds = {
      failures: options.failures ?? DEFAULT_FAILURES,
      successes: options.successes ?? DEFAULT_SUCCESSES,
      pauseMs: options.pauseMs ?? DEFAULT_PAUSE_MS,
      slowStartMs: options.slowStartMs ?? DEFAULT_SLOW_START_MS,
      probed: options.probe !== undefined,
    };
  }

  watch(upstreams: readonly WatchedUpstream[]): void {
    const names = new Set(upstreams.map((upstream) => upstream.name));
    for (const [name, { task }] of this.watched) {
      if (names.has(name)) continue;
      void task?.stop();
      this.watched.delete(name);
    }
    for (const { name, group } of upstreams) {
      const known = this.watched.get(name);
      const record = known?.record ?? this.makeRecord(name);
      this.watched.set(name, { group, record, task: known === undefined ? this.probe(record) : known.task });
    }
  }

  usable(upstream: string): boolean {
    const known = this.watched.get(upstream);
    return known === undefined || known.record.usable() || this.inPanic(known.group);
  }

  weight(upstream: string): number {
    return this.watched.get(upstream)?.record.weight() ?? 1;
  }

  state(upstream: string): HealthState {
    return this.watched.get(upstream)?.record.state() ?? State.Healthy;
  }

  inPanic(group: string): boolean {
    let size = 0;
    let unhealthy = 0;
    for (const { group: other, record } of this.watched.values()) {
      if (other !== group) continue;
      size += 1;
      if (record.state() === State.Unhealthy) unhealthy += 1;
    }
    return unhealthy > size * (this.options.panicShare ?? DEFAULT_PANIC_SHARE);
  }

  succeeded(upstream: string): void {
    this.watched.get(upstream)?.record.succeed(false);
  }

  failed(upstream: string): void {
    this.watched.get(upstream)?.record.fail();
  }

  restarted(upstream: string): void {
    this.watched.get(upstream)?.record.startSlowly();
  }

  async stop(): Promise<void> {
    const tasks = [...this.watched.values()].map(({ task }) => task?.stop());
    await Promise.all(tasks);
  }

  private makeRecord(name: string): HealthRecord {
    return new HealthRecord(name, this.bounds, this.options.timers, this.options.log);
  }

  private probe(record: HealthRecord): Task<void> | undefined {
    const { probe, timers } = this.options;
    if (probe === undefined) return undefined;
    const intervalMs = this.options.probeIntervalMs ?? DEFAULT_PROBE_INTERVAL_MS;
    const timeoutMs = this.options.probeTimeoutMs ?? DEFAULT_PROBE_TIMEOUT_MS;
    return runTask(function* probeForEver(signal) {
      for (;;) {
        yield timers.sleep(intervalMs, signal);
        const limit = new AbortController();
        const timer = timers.after(timeoutMs, () => limit.abort());
        try {
          yield Promise.race([probe(record.name, limit.signal), abortOf(limit.signal)]);
          record.succeed(true);
        } catch {
          if (signal.aborted) return;
          record.fail();
        } finally {
          timer.cancel();
        }
      }
    });
  }
}

function abortOf(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(signal.reason), { once: true });
  });
}

/**
 * Makes the health of upstreams.
 * @param options - Bounds, time and the probe.
 * @returns Health that watches nothing yet.
 */
export function createUpstreamHealth(options: UpstreamHealthOptions): UpstreamHealth {
  return new WatchedHealth(options);
}
