/** Health of upstreams: what passive reports and active probes say of each. */
import type { Log, TimerService } from '@celeryyoke/core';

/** What is believed of an upstream. */
export enum HealthState {
  Healthy = 'healthy',
  /** It gets no new work until a probe or the end of its pause lets it try again. */
  Unhealthy = 'unhealthy',
}

/** An upstream that is watched. */
export interface WatchedUpstream {
  readonly name: string;
  /** Upstreams that can stand in for each other; the panic threshold counts within a group. */
  readonly group: string;
}

/**
 * Asks an upstream whether it works.
 * @param upstream - Its name.
 * @param signal - Gives up.
 * @returns A promise that rejects when it does not work.
 */
export type UpstreamProbe = (upstream: string, signal: AbortSignal) => Promise<unknown>;

/** Options of the health of upstreams. */
export interface UpstreamHealthOptions {
  readonly timers: TimerService;
  readonly log: Log;
  /** Active check; without one, an unhealthy upstream is tried again when its pause is over. */
  readonly probe?: UpstreamProbe;
  /** Time between probes of one upstream; 1,000 ms when left out. */
  readonly probeIntervalMs?: number;
  /** Longest time for one probe; 500 ms when left out. */
  readonly probeTimeoutMs?: number;
  /** Failures in a row that make an upstream unhealthy; 3 when left out. */
  readonly failures?: number;
  /** Successful probes in a row that make it healthy again; 2 when left out. */
  readonly successes?: number;
  /** First pause of an unhealthy upstream without a probe; doubles up to 16 times; 2,000 ms when left out. */
  readonly pauseMs?: number;
  /** Time over which a recovered upstream's weight grows to 1; 10,000 ms when left out, 0 for none. */
  readonly slowStartMs?: number;
  /** Health is ignored in a group when a greater share of it is unhealthy; 0.5 when left out, 1 for never. */
  readonly panicShare?: number;
}

/** Health of upstreams. */
export interface UpstreamHealth {
  /** Replaces the upstreams that are watched; what is known of those that stay is kept. */
  watch(upstreams: readonly WatchedUpstream[]): void;
  /** Whether an upstream may get new work; true for one that is not watched. */
  usable(upstream: string): boolean;
  /** Share of its usual work that an upstream should get, from above 0 to 1. */
  weight(upstream: string): number;
  /** What is believed of an upstream, whether or not its group is in panic. */
  state(upstream: string): HealthState;
  /** Whether so much of a group looks unhealthy that health is ignored there. */
  inPanic(group: string): boolean;
  /** Reports a call that the upstream answered. */
  succeeded(upstream: string): void;
  /** Reports a call that failed by the upstream's or the link's fault. */
  failed(upstream: string): void;
  /** Reports that the upstream came up anew with nothing loaded; it starts slowly. */
  restarted(upstream: string): void;
  /** Ends the probes. */
  stop(): Promise<void>;
}
