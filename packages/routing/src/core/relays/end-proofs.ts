/**
 * Proves that a response which ends with its connection is complete: the system closes the connections of a process that dies in
 * good order too (RFC 9112, section 8).
 *
 * The process that has sent it is alive after the end if it answers then, or if a connection is still open that was established no
 * later than that of the response: a connection ends with its process.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import { Presence } from './replica-presence.js';

/** Time for which ends at the same replica are collected before it is asked, in milliseconds. */
const COLLECT_MS = 5;
/** Time in which this daemon sees all connections to a process close that has died, in milliseconds. */
const CLOSE_SPREAD_MS = 50;
/** Time after which a replica that has not answered is asked again, in milliseconds. */
const RETRY_PAUSE_MS = 50;
/** Time after which an end that is not proved counts as one that was cut, in milliseconds: callers leave after twice that. */
const PROOF_TIMEOUT_MS = 1000;

/** Answers after which only the other connections tell whether the process has died. */
const IN_DOUBT: ReadonlySet<Presence> = new Set([Presence.Gone, Presence.Unknown]);

/** A response that has just ended with its connection. */
export interface EndedResponse {
  /** Monotonic time at which its connection was established, in milliseconds; undefined if not known. */
  readonly connectedAt: number | undefined;
  /** Id of the caller's request; undefined if it was none. */
  readonly requestId: string | undefined;
}

/** What a proof uses. */
export interface EndProofsOptions {
  /** Finds out what answers at the address of a replica now. */
  readonly presenceOf: (replica: ReplicaEntry) => Promise<Presence>;
  /**
   * Whether a connection to a replica that was established by a monotonic time is still open, as far as it is being read.
   * @param at - Monotonic time, in milliseconds.
   */
  readonly isConnectedSince: (replica: string, at: number) => boolean;
  readonly timers: Pick<TimerService, 'now' | 'sleep'>;
  readonly log: DecisionLog;
}

/** What was found, and how long that took. */
interface Verdict {
  readonly presence: Presence;
  readonly isProved: boolean;
  readonly tookMs: number;
}

/** Proofs of all replicas; ends of one moment share an answer. */
export class EndProofs {
  /** Questions that have not been sent yet, by replica. */
  private readonly collecting = new Map<string, Promise<Presence>>();

  constructor(private readonly options: EndProofsOptions) {}

  /**
   * Finds out whether a response that has just ended with its connection is complete.
   * @returns Whether that is proved; never rejects.
   */
  async prove(replica: ReplicaEntry, { connectedAt, requestId }: EndedResponse): Promise<boolean> {
    const { timers } = this.options;
    const endedAt = timers.now();
    const isOpenElsewhere = (): boolean => this.isOpenElsewhere(replica, connectedAt);
    const presence = await this.awaitPresence(replica, endedAt, isOpenElsewhere);
    const spreadLeftMs = endedAt + CLOSE_SPREAD_MS - timers.now();
    if (IN_DOUBT.has(presence) && spreadLeftMs > 0) await timers.sleep(spreadLeftMs);
    const isProved = presence === Presence.Listed || (IN_DOUBT.has(presence) && isOpenElsewhere());
    this.record(replica, requestId, { presence, isProved, tookMs: Math.round(timers.now() - endedAt) });
    return isProved;
  }

  /** Asks until there is an answer, the time is over, or the other connections tell enough. */
  private async awaitPresence(
    replica: ReplicaEntry,
    endedAt: number,
    isOpenElsewhere: () => boolean,
  ): Promise<Presence> {
    const { timers } = this.options;
    const end = new AbortController();
    const timeout = timers.sleep(PROOF_TIMEOUT_MS, end.signal).then(
      () => Presence.Unknown,
      () => Presence.Unknown,
    );
    const isOver = (): boolean => {
      const passedMs = timers.now() - endedAt;
      return passedMs >= PROOF_TIMEOUT_MS || (passedMs >= CLOSE_SPREAD_MS && isOpenElsewhere());
    };
    let presence = await Promise.race([this.ask(replica), timeout]);
    while (presence === Presence.Unknown && !isOver()) {
      await timers.sleep(RETRY_PAUSE_MS);
      presence = await Promise.race([this.ask(replica), timeout]);
    }
    end.abort();
    return presence;
  }

  private ask(replica: ReplicaEntry): Promise<Presence> {
    const { id } = replica;
    const pending = this.collecting.get(id);
    if (pending !== undefined) return pending;
    const { timers, presenceOf } = this.options;
    const asked = timers.sleep(COLLECT_MS).then(() => {
      this.collecting.delete(id);
      return presenceOf(replica);
    });
    this.collecting.set(id, asked);
    return asked;
  }

  private isOpenElsewhere({ id }: ReplicaEntry, connectedAt: number | undefined): boolean {
    return connectedAt !== undefined && this.options.isConnectedSince(id, connectedAt);
  }

  private record({ id }: ReplicaEntry, requestId: string | undefined, verdict: Verdict): void {
    const { log } = this.options;
    const write = verdict.isProved ? log.detail : log.decide;
    const text = verdict.isProved ? 'is complete' : 'counts as cut';
    write('response.end', `A response of ${id} that ended with its connection ${text}.`, {
      request: requestId,
      replica: id,
      ...verdict,
    });
  }
}
