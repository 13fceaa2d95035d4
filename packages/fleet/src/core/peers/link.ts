/**
 * The dialling side of the link to one peer. Its task dials the peer, authenticates, sends heartbeats until
 * the connection ends, waits for a backoff, and dials again.
 */
import type { Task } from '@celeryyoke/core';
import { CeleryyokeError, runTask, toCeleryyokeError } from '@celeryyoke/core';

import type { BusContext } from './context.js';
import { DialledSession } from './session.js';
import type { PeerAddress, PeerIdentity } from './types.js';
import { PeerEventKind } from './types.js';

/** Errors of a handshake that was refused: the peer was reached, so an operator has to act. */
const REFUSAL_KINDS = new Set<string>(['PeerKeyWrong', 'PeerVersionWrong', 'PeerStranger', 'PeerSuperseded']);

/** A session whose peer is authenticated. */
interface OpenSession {
  readonly session: DialledSession;
  readonly peer: PeerIdentity;
}

/** A dial in progress; settles when the peer is authenticated or the dial fails. */
interface Dial {
  readonly done: Promise<OpenSession>;
  resolve(open: OpenSession): void;
  reject(err: unknown): void;
}

function createDial(): Dial {
  let resolve: Dial['resolve'] = () => undefined;
  let reject: Dial['reject'] = () => undefined;
  const done = new Promise<OpenSession>((onDone, onFail) => {
    resolve = onDone;
    reject = onFail;
  });
  done.catch(() => undefined);
  return { done, resolve, reject };
}

/** The link to one peer, over one connection at a time. */
export class PeerLink {
  private dial: Dial | undefined = createDial();

  private open: OpenSession | undefined;

  private lastUsedAt: number;

  private task: Task<void> | undefined;

  constructor(
    private readonly bus: BusContext,
    readonly target: PeerAddress,
    private isPersistent: boolean,
  ) {
    this.lastUsedAt = bus.options.timers.now();
  }

  /** The peer, while the link is up. */
  get peer(): PeerIdentity | undefined {
    return this.open?.peer;
  }

  /**
   * Starts the task of the link.
   * @returns A promise that settles when the task has ended, and never rejects.
   */
  async start(): Promise<void> {
    this.task = runTask((signal) => this.run(signal));
    await this.task.done.catch(() => undefined);
  }

  /** Sets whether the link is kept open with heartbeats, or closed when no calls use it. */
  setPersistent(isPersistent: boolean): void {
    this.isPersistent = isPersistent;
  }

  /** Ends the task and the connection. */
  async stop(): Promise<void> {
    await this.task?.stop();
  }

  /**
   * Calls a procedure. Waits for a dial in progress, but fails at once during the backoff before the next
   * one.
   * @param input - Its encoded input.
   * @returns Its encoded output.
   * @throws CeleryyokeError PeerUnreachable, or what the handler threw.
   */
  async call(procedure: string, input: Uint8Array<ArrayBuffer>, signal: AbortSignal): Promise<Uint8Array> {
    this.lastUsedAt = this.bus.options.timers.now();
    const { session } = this.open ?? (await this.waitForDial(signal));
    signal.throwIfAborted();
    const { output } = await session.call(procedure, input, signal);
    return output;
  }

  private waitForDial(signal: AbortSignal): Promise<OpenSession> {
    const { dial } = this;
    if (dial === undefined) throw this.unreachableError();
    return new Promise((resolve, reject) => {
      const onAbort = (): void => reject(this.unreachableError());
      signal.addEventListener('abort', onAbort, { once: true });
      dial.done.then(resolve, () => reject(this.unreachableError()));
    });
  }

  private unreachableError(): CeleryyokeError {
    return new CeleryyokeError('PeerUnreachable', { peer: this.target.name, sent: 'no' });
  }

  private *run(signal: AbortSignal): Generator<unknown, void> {
    let failures = 0;
    while (!this.isIdle()) {
      this.dial ??= createDial();
      const session = new DialledSession(this.bus, this.target);
      let wasIdle = false;
      try {
        const peer = (yield this.authenticate(session)) as PeerIdentity;
        failures = 0;
        this.onConnected({ session, peer });
        yield* this.maintain({ session, peer });
        wasIdle = true;
      } catch (thrown) {
        signal.throwIfAborted();
        failures += 1;
        this.reportFailure(thrown);
      } finally {
        this.onDisconnected(session, wasIdle);
      }
      yield this.bus.options.timers.sleep(this.nextBackoffMs(failures), signal);
    }
  }

  /**
   * Sends heartbeats on a persistent link; returns when a link for calls is idle, throws when the connection
   * ends.
   */
  private *maintain({ session, peer }: OpenSession): Generator<unknown, void> {
    const { options, settings } = this.bus;
    while (!this.isIdle()) {
      if (this.isPersistent) yield this.sendHeartbeat(session, peer);
      yield options.timers.sleep(settings.heartbeatMs, session.ended);
    }
  }

  private async sendHeartbeat(session: DialledSession, peer: PeerIdentity): Promise<void> {
    const { bus } = this;
    const heartbeat = bus.createHeartbeat(peer.name, true);
    bus.counters.heartbeats.add();
    const response = await this.withTimeout(bus.settings.heartbeatTimeoutMs, session.ended, (limitedSignal) =>
      session.sendHeartbeat(heartbeat, limitedSignal),
    );
    bus.emit(PeerEventKind.HeartbeatExchanged, peer.name, peer);
    bus.mergeSections(peer, response);
  }

  private authenticate(session: DialledSession): Promise<PeerIdentity> {
    const { dialTimeoutMs } = this.bus.settings;
    return this.withTimeout(dialTimeoutMs, session.ended, (limitedSignal) =>
      session.authenticate(limitedSignal),
    );
  }

  /** Runs a step with a timeout; stops waiting even if the step ignores its signal. */
  private async withTimeout<T>(
    ms: number,
    signal: AbortSignal,
    step: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const timer = this.bus.options.timers.after(ms, () => controller.abort(this.unreachableError()));
    const onAbort = (): void => controller.abort(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
    try {
      return await Promise.race([step(controller.signal), rejectOnAbort(controller.signal)]);
    } finally {
      timer.cancel();
      signal.removeEventListener('abort', onAbort);
    }
  }

  private onConnected(open: OpenSession): void {
    this.open = open;
    this.bus.log.info(`Link to ${open.peer.name} is up.`);
    this.bus.emit(PeerEventKind.Authenticated, open.peer.name, open.peer);
    this.dial?.resolve(open);
    this.dial = undefined;
  }

  /**
   * Ends a session. Closing an idle one is not reported as a loss, as it does not mean that the peer is
   * unreachable.
   */
  private onDisconnected(session: DialledSession, wasIdle: boolean): void {
    const { open, bus } = this;
    session.end();
    this.dial?.reject(this.unreachableError());
    this.dial = undefined;
    this.open = undefined;
    if (open !== undefined) bus.log.info(`Link to ${open.peer.name} is down.`);
    if (!wasIdle) bus.emit(PeerEventKind.Lost, this.target.name, open?.peer);
  }

  private reportFailure(thrown: unknown): void {
    const err = toCeleryyokeError(thrown);
    if (REFUSAL_KINDS.has(err.kind)) this.bus.recordRefusal(this.target.name, err);
    else this.bus.log.debug(`Link to ${this.target.name} failed: ${err.message}`);
  }

  private isIdle(): boolean {
    const { options, settings } = this.bus;
    return !this.isPersistent && options.timers.now() - this.lastUsedAt > settings.idleLinkMs;
  }

  private nextBackoffMs(failures: number): number {
    const { backoffMinMs, backoffMaxMs } = this.bus.settings;
    const random = this.bus.options.random ?? Math.random;
    const longest = Math.min(backoffMaxMs, backoffMinMs * 2 ** Math.min(failures, 20));
    return longest * (0.5 + random() / 2);
  }
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    if (signal.aborted) reject(signal.reason);
    signal.addEventListener('abort', () => reject(signal.reason), { once: true });
  });
}
