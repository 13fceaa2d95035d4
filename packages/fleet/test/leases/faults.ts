/**
 * Fault injection for one daemon: a process that can be paused, and lost, delayed, duplicated and reordered
 * messages.
 */
import type { ManualTimerService, TimerService } from '@celeryyoke/core';
import { CeleryyokeError, hash32 } from '@celeryyoke/core';
import type { EngineClient } from '@celeryyoke/platform';

import type { PeerBus, PeerCallOptions, PeerProcedure } from '../../src/index.js';

const HASH_RANGE = 2 ** 32;

/** Response to a message that is lost. */
const NEVER_SETTLES = new Promise<never>(() => {});

/** Seeded, reproducible random numbers. */
export class SeededRandom {
  private count = 0;

  constructor(private readonly seed: number) {}

  /** Returns the next number, at least 0 and less than 1. */
  next(): number {
    this.count += 1;
    return hash32(String(this.count), this.seed) / HASH_RANGE;
  }
}

/** A process that can be paused: its timers, calls and responses are held back until it is resumed. */
export class FakeProcess {
  private onResume: (() => void)[] | undefined;

  isDead = false;

  resumedAt = -Infinity;

  private pausesBeforeSend = false;

  constructor(private readonly timers: ManualTimerService) {}

  get isPaused(): boolean {
    return this.onResume !== undefined;
  }

  pause(): void {
    this.onResume ??= [];
  }

  /** Pauses the process between the grant of the next lease and the sending of its request. */
  pauseBeforeSend(): void {
    this.pausesBeforeSend = true;
  }

  /**
   * Runs between the grant of a lease and the sending of its request; resolves when the process is not
   * paused.
   */
  beforeSend(): Promise<void> {
    if (this.pausesBeforeSend) this.pause();
    this.pausesBeforeSend = false;
    return this.whenRunning();
  }

  resume(): void {
    const callbacks = this.onResume ?? [];
    this.onResume = undefined;
    this.resumedAt = this.timers.now();
    for (const callback of callbacks) callback();
  }

  /** Resolves when the process is not paused; never when it has crashed. */
  whenRunning(): Promise<void> {
    if (this.isDead) return NEVER_SETTLES;
    if (this.onResume === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      this.onResume?.push(() => {
        resolve(this.whenRunning());
      });
    });
  }

  /** Timers whose callbacks are held back while the process is paused. */
  timerService(): TimerService {
    const { timers } = this;
    const gated = (callback: () => void) => (): void => {
      if (this.isDead) return;
      if (this.onResume === undefined) callback();
      else this.onResume.push(gated(callback));
    };
    const after: TimerService['after'] = (ms, callback) => {
      let isCancelled = false;
      const handle = timers.after(
        ms,
        gated(() => {
          if (!isCancelled) callback();
        }),
      );
      return {
        cancel: () => {
          isCancelled = true;
          handle.cancel();
        },
      };
    };
    const repeat: TimerService['repeat'] = (ms, callback) =>
      timers.repeat(ms, () => gated(() => callback(timers.now()))());
    const sleep: TimerService['sleep'] = async (ms, signal) => {
      await timers.sleep(ms, signal);
      await this.whenRunning();
    };
    return { ...timers, now: timers.now, wall: timers.wall, every: timers.every, after, repeat, sleep };
  }

  /** A client whose responses are held back while the process is paused. */
  client(client: EngineClient): EngineClient {
    const gate = async <T>(promise: Promise<T>): Promise<T> => {
      try {
        return await promise;
      } finally {
        await this.whenRunning();
      }
    };
    return {
      ...client,
      order: (order) => gate(client.order(order)),
      report: (timeoutMs) => gate(client.report(timeoutMs)),
    };
  }
}

/** Faults of the connections between daemons. */
export interface LinkFaults {
  /** Share of messages that are lost, in each direction. */
  lost: number;
  /** Share of messages that are delivered twice. */
  doubled: number;
  /** Longest random delay in milliseconds; messages may overtake one another. */
  delayMs: number;
}

export interface FaultyBusOptions {
  readonly bus: PeerBus;
  readonly timers: ManualTimerService;
  readonly random: SeededRandom;
  readonly faults: LinkFaults;
  readonly process: FakeProcess;
}

/** Injects faults between a daemon and its bus; a call still times out whatever happens to its messages. */
export function createFaultyBus(options: FaultyBusOptions): PeerBus {
  const { bus, timers, random, faults, process } = options;
  const transmit = async (): Promise<boolean> => {
    if (faults.delayMs > 0) await timers.sleep(random.next() * faults.delayMs);
    return random.next() >= faults.lost;
  };
  async function deliver<I, O>(
    peer: string,
    procedure: PeerProcedure<I, O>,
    input: I,
    opts: PeerCallOptions,
  ): Promise<O> {
    if (!(await transmit())) return NEVER_SETTLES;
    const output = await bus.call(peer, procedure, input, opts);
    return (await transmit()) ? output : NEVER_SETTLES;
  }
  async function call<I, O>(
    peer: string,
    procedure: PeerProcedure<I, O>,
    input: I,
    opts: PeerCallOptions,
  ): Promise<O> {
    if (peer === bus.self.name) return bus.call(peer, procedure, input, opts);
    if (random.next() < faults.doubled) deliver(peer, procedure, input, opts).catch(() => undefined);
    const timeout = timers.sleep(opts.timeoutMs).then((): O => {
      throw new CeleryyokeError('PeerUnreachable', { peer });
    });
    timeout.catch(() => undefined);
    try {
      return await Promise.race([deliver(peer, procedure, input, opts), timeout]);
    } finally {
      await process.whenRunning();
    }
  }
  return {
    self: bus.self,
    handle: (procedure, handler) =>
      bus.handle(procedure, async (input, from) => {
        await process.whenRunning();
        return handler(input, from);
      }),
    call,
    addHeartbeatSection: (section) =>
      bus.addHeartbeatSection({
        name: section.name,
        collect: (peer) => section.collect(peer),
        merge: (from, data) => {
          process.whenRunning().then(
            () => section.merge(from, data),
            () => undefined,
          );
        },
      }),
  };
}
