/** Types of custody: which two daemons hold the records of a bucket of keys, agreed by explicit handover. */
import type { Log, TimerService } from '@celeryyoke/core';

import type { Membership } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** A daemon in one generation; custody that it held in an earlier generation is lost. */
export interface DaemonRef {
  readonly name: string;
  readonly generation: number;
}

/** A period of custody of a bucket by one pair. */
export interface CustodyTerm {
  readonly bucket: number;
  /** Increases with each handover. */
  readonly epoch: number;
  /** Admits keys, and decides on the next pair. */
  readonly home: DaemonRef;
  /** Holds a copy of each record, and decides on the next pair once the home is gone. */
  readonly backup: DaemonRef;
  /** Wall-clock time from which this pair knows every record of the bucket. */
  readonly knownSince: number;
}

/** Records of buckets, which move with custody. */
export interface CustodyCargo {
  /** Packs the records of a bucket into at least one part of bounded size. */
  pack(bucket: number): readonly unknown[];
  /** Merges one part into the records of a bucket. */
  unpack(bucket: number, part: unknown): void;
  /** Deletes the records of a bucket that this daemon has handed over or may no longer hold. */
  drop(bucket: number): void;
}

/** Custody of a daemon as reported to operators. */
export interface CustodyStatus {
  /** Number of buckets of which it is the home; `backup` likewise. */
  readonly home: number;
  readonly backup: number;
  /** Handovers in progress. */
  readonly handovers: number;
  /** Whether it may act on its custody now. */
  readonly mayAct: boolean;
}

/** Custody of buckets on one daemon. */
export interface Custody {
  /** Number of buckets, the same on every daemon. */
  readonly buckets: number;
  bucketOf(key: string): number;
  /** The term that this daemon holds and may act on now, as home or backup. */
  heldTerm(bucket: number): CustodyTerm | undefined;
  /** The term if this daemon is its home and may act on it now. */
  homeTerm(bucket: number): CustodyTerm | undefined;
  /** The daemon that is most likely the home. */
  likelyHome(bucket: number): string | undefined;
  /** Records that a daemon named another one as the home. */
  recordHomeHint(bucket: number, home: string): void;
  /** Sets the records that move with custody. */
  setCargo(cargo: CustodyCargo): void;
  /** Names of all daemons that may still act, this one included. */
  possibleDaemons(): ReadonlySet<string>;
  /** Whether a process can no longer act: it stopped, was replaced, or was off the host list for too long. */
  isStopped(name: string, incarnation: number): boolean;
  /** Whether any daemon is known to hold a bucket; false at the first start of a fleet. */
  isFormed(): boolean;
  status(): CustodyStatus;
  /** Whether every bucket that this daemon should be the home of has its pair. */
  isSettled(): boolean;
  /** Hands over all buckets for a graceful shutdown; settles when none is held or the signal aborts. */
  handOverAll(signal: AbortSignal): Promise<void>;
  /** Stops the task, stops acting, and reports that to the peers. */
  stop(): Promise<void>;
}

export interface CustodyOptions {
  readonly bus: PeerBus;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly log: Log;
  /** Number of buckets, the same on every daemon; 256 when left out. */
  readonly buckets?: number;
  /** Greatest number of daemons that hold buckets, the same on every daemon; 16 when left out. */
  readonly maxCustodians?: number;
  /** Requests connections to all custodians if this daemon is one, else to none; called when they change. */
  readonly pin?: (peers: readonly string[]) => void;
  /** Interval between rounds of the task; 200 ms when left out. */
  readonly roundMs?: number;
  /** Timeout of one call to a peer; 500 ms when left out. */
  readonly callTimeoutMs?: number;
  /**
   * Time off the host list after which a host counts as gone. It must be longer than the sum of
   * `maxViewAgeMs` and the time for which the lists of two readers can contradict each other. 15,000 ms when
   * left out, Infinity for never.
   */
  readonly absentAfterMs?: number;
  /**
   * Age of the host list above which it counts as stale, and time without a round after which this process
   * counts as paused. A daemon with a stale list acts only while all listed peers are reachable.
   * 5,000 ms when left out.
   */
  readonly maxViewAgeMs?: number;
}
