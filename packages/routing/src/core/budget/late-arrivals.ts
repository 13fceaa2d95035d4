/**
 * Attempts that ended without a sign that their replica has read them. A replica that is stopped reads what was written to
 * it when it goes on, whatever has become of the connection, so such an attempt may still arrive.
 */
import type { TimerService } from '@celeryyoke/core';

/** Time in which a replica that runs reads what was written to it, in milliseconds. */
const READ_WITHIN_MS = 300;

/** A replica that an attempt was sent to. */
export interface AttemptTarget {
  /** Incarnation of the replica. */
  readonly id: string;
  /** Name that all incarnations of the replica share. */
  readonly name: string;
}

/** An attempt that may still arrive. */
export class LateArrival {
  /** Whether it may still arrive. */
  isOpen = true;

  private readonly listeners: (() => void)[] = [];

  /**
   * @param sentAt - Monotonic time at which it was sent, in milliseconds.
   */
  constructor(
    readonly target: AttemptTarget,
    readonly sentAt: number,
  ) {}

  /** Calls back once, when the attempt has arrived or never will. */
  onSettled(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Notes that it has arrived or never will; to be called once. */
  settle(): void {
    this.isOpen = false;
    for (const listener of this.listeners) listener();
  }
}

/** What late arrivals are told apart by. */
export interface LateArrivalsOptions {
  readonly timers: TimerService;
  /** Time for which an entry must be missing until its replica counts as ended, in milliseconds. */
  readonly goneAfterMs: number;
  /** Whether a replica is listed. */
  readonly isListed: (replica: string) => boolean;
}

/** Tracks attempts until their replicas are heard from, or have ended. */
export class LateArrivals {
  private readonly open = new Map<string, LateArrival[]>();

  /** Monotonic times at which replicas were last heard from, in milliseconds. */
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly options: LateArrivalsOptions) {}

  /** Number of attempts that may still arrive. */
  get size(): number {
    return [...this.open.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /**
   * Tracks an attempt that was sent and has ended without a byte from its replica.
   * @param sentAt - Monotonic time at which it was sent, in milliseconds.
   * @returns Undefined if the replica has been heard from since, so that it has read the attempt.
   */
  track(target: AttemptTarget, sentAt: number): LateArrival | undefined {
    if ((this.heardAt.get(target.id) ?? Number.NEGATIVE_INFINITY) >= sentAt + READ_WITHIN_MS)
      return undefined;
    const arrival = new LateArrival(target, sentAt);
    this.open.set(target.id, [...(this.open.get(target.id) ?? []), arrival]);
    if (!this.options.isListed(target.id)) this.recordRemoved(target.id);
    return arrival;
  }

  /** Records that a replica has sent something: it has read what was written to it some time before. */
  recordHeard(replica: string): void {
    const now = this.options.timers.now();
    this.heardAt.set(replica, now);
    this.settle(replica, ({ sentAt }) => sentAt + READ_WITHIN_MS <= now);
  }

  /** Records that a replica has ended: what it had not read is lost. */
  recordEnded(replica: string): void {
    this.settle(replica, () => true);
  }

  /** Records that an incarnation of a replica is listed: those before have ended. */
  recordListed({ id, name }: AttemptTarget): void {
    for (const [replica, [arrival]] of this.open)
      if (replica !== id && arrival?.target.name === name) this.recordEnded(replica);
  }

  /** Records that the entry of a replica was removed, which also happens to one that is stopped. */
  recordRemoved(replica: string): void {
    const { timers, goneAfterMs, isListed } = this.options;
    timers.after(goneAfterMs, () => {
      if (isListed(replica)) return;
      this.recordEnded(replica);
      this.heardAt.delete(replica);
    });
  }

  private settle(replica: string, hasArrived: (arrival: LateArrival) => boolean): void {
    const arrivals = this.open.get(replica);
    if (arrivals === undefined) return;
    const remaining = arrivals.filter((arrival) => !hasArrived(arrival));
    if (remaining.length > 0) this.open.set(replica, remaining);
    else this.open.delete(replica);
    for (const arrival of arrivals) if (!remaining.includes(arrival)) arrival.settle();
  }
}
