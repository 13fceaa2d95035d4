/**
 * Log of recent crashes, which finds the requests that cause them.
 *
 * Every request in flight at a crash is a suspect until it ends well. A suspect that is in flight at another crash,
 * as the only such request there, caused both; at a further crash it did in any case. It is quarantined, and the
 * other suspects of its crashes are cleared.
 */
import type { TimerService } from '../time/index.js';
import { Suspicion } from './types.js';

/** One crash of one upstream, as the reports of all daemons describe it together. */
export interface Crash {
  readonly upstream: string;
  /** Monotonic time of the first report, in milliseconds. */
  readonly at: number;
  /** Requests that were in flight and are not cleared. */
  readonly fingerprints: Set<string>;
  /** Whether its cause is known, or it was none: requests that are reported later are no suspects. */
  isExplained: boolean;
}

/** Bounds of the log. */
export interface CrashBounds {
  readonly timers: TimerService;
  /** Time for which a request is refused, in milliseconds. */
  readonly quarantineMs: number;
  /** Time after which a crash is forgotten, in milliseconds. */
  readonly suspectMs: number;
  /** Crashes after which a request is quarantined if no other request was in flight at several. */
  readonly minCrashes: number;
  /** Crashes after which a request is quarantined in any case. */
  readonly maxCrashes: number;
  /** Time after a crash in which other daemons report what they had in flight, in milliseconds. */
  readonly settleMs: number;
  /** Reports about one upstream within this time are of one crash, in milliseconds. */
  readonly sameCrashMs: number;
  /** Largest number of fingerprints that are kept. */
  readonly capacity: number;
}

/** Called with changes of quarantines. */
export interface CrashListener {
  quarantined(fingerprint: string, upstreams: readonly string[]): void;
  lifted(fingerprint: string): void;
}

/** A request in quarantine. */
export interface QuarantineEntry {
  /** Upstreams that crashed under it. */
  readonly upstreams: readonly string[];
  /** Monotonic time of the end, in milliseconds. */
  readonly until: number;
}

/** Recent crashes, their suspects, and the quarantines in force. */
export class CrashLog {
  private crashes: Crash[] = [];

  private readonly byFingerprint = new Map<string, Set<Crash>>();

  private readonly quarantine = new Map<string, QuarantineEntry>();

  private readonly clearedAt = new Map<string, number>();

  constructor(
    private readonly bounds: CrashBounds,
    private readonly listener: CrashListener,
  ) {}

  /** Whether no request is suspected or quarantined. */
  get isEmpty(): boolean {
    return this.byFingerprint.size === 0 && this.quarantine.size === 0;
  }

  /** Returns what is known of a request. */
  lookUp(fingerprint: string): Suspicion {
    if (this.quarantineOf(fingerprint) !== undefined) return Suspicion.Quarantined;
    const crashes = this.byFingerprint.get(fingerprint);
    if (crashes === undefined || crashes.size === 0) return Suspicion.Clear;
    const isUnresolved = this.isRepeated(fingerprint) && [...crashes].some((crash) => !this.isSettled(crash));
    return isUnresolved ? Suspicion.Unresolved : Suspicion.Suspect;
  }

  /** Returns the quarantine of a request that is in force, if there is one. */
  quarantineOf(fingerprint: string): QuarantineEntry | undefined {
    const entry = this.quarantine.get(fingerprint);
    return entry !== undefined && entry.until > this.bounds.timers.now() ? entry : undefined;
  }

  /** Suspects that were in flight at several crashes, in an order that is the same on all daemons. */
  repeatedSuspects(): string[] {
    return [...this.byFingerprint.keys()].filter((fingerprint) => this.isRepeated(fingerprint)).sort();
  }

  /**
   * Adds requests that were in flight at a crash.
   * @param at - Monotonic time of the crash, in milliseconds.
   * @returns Whether any of them was not known to be.
   */
  add(upstream: string, at: number, fingerprints: Iterable<string>): boolean {
    if (at <= this.bounds.timers.now() - this.bounds.suspectMs) return false;
    const crash = this.find(upstream, at);
    let hasChanged = false;
    for (const fingerprint of fingerprints) {
      if (crash.isExplained || this.byFingerprint.size >= this.bounds.capacity) break;
      const isCleared = (this.clearedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > at;
      if (isCleared || crash.fingerprints.has(fingerprint)) continue;
      this.addSuspect(fingerprint, crash);
      hasChanged = true;
    }
    this.review(crash);
    return hasChanged;
  }

  /** Quarantines the requests that caused crashes whose reports are complete by now. */
  reviewAll(): void {
    for (const crash of this.crashes) this.review(crash);
  }

  /**
   * Clears a request that ended well after its crashes; one in quarantine stays there.
   * @param at - Monotonic time of its end, in milliseconds.
   * @returns Whether it was a suspect.
   */
  clear(fingerprint: string, at: number): boolean {
    const crashes = this.byFingerprint.get(fingerprint);
    if (this.quarantine.has(fingerprint)) return false;
    this.clearedAt.set(
      fingerprint,
      Math.max(at, this.clearedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY),
    );
    if (crashes === undefined) return false;
    for (const crash of crashes) if (crash.at <= at) this.removeSuspect(fingerprint, crash);
    return true;
  }

  /**
   * Drops the crash of an upstream that turned out to run on.
   * @returns Whether it was known.
   */
  refute(upstream: string): boolean {
    const crash = this.crashes.findLast((known) => known.upstream === upstream && !known.isExplained);
    if (crash === undefined) return false;
    this.explain(crash);
    return true;
  }

  /**
   * Adds a quarantine that another daemon has found.
   * @returns Whether it was not known.
   */
  addQuarantine(fingerprint: string, entry: QuarantineEntry): boolean {
    const isKnown = this.quarantine.has(fingerprint);
    if (isKnown || entry.until <= this.bounds.timers.now()) return false;
    this.putInQuarantine(fingerprint, entry, this.byFingerprint.get(fingerprint) ?? []);
    return true;
  }

  /** Drops what is too old. */
  expire(): void {
    const now = this.bounds.timers.now();
    const oldest = now - this.bounds.suspectMs;
    for (const [fingerprint, entry] of this.quarantine) {
      if (entry.until > now) continue;
      this.quarantine.delete(fingerprint);
      this.clear(fingerprint, now);
      this.listener.lifted(fingerprint);
    }
    for (const crash of this.crashes) {
      if (crash.at > oldest) continue;
      for (const fingerprint of crash.fingerprints) this.removeSuspect(fingerprint, crash);
    }
    this.crashes = this.crashes.filter((crash) => crash.at > oldest);
    for (const [fingerprint, at] of this.clearedAt) if (at <= oldest) this.clearedAt.delete(fingerprint);
  }

  /** Recent crashes, the newest first. */
  recent(): readonly Crash[] {
    return this.crashes.toReversed();
  }

  /** Requests that were cleared recently, with the monotonic time of that, the newest first. */
  cleared(): readonly (readonly [fingerprint: string, at: number])[] {
    return [...this.clearedAt].toReversed();
  }

  /** Quarantines in force. */
  quarantined(): ReadonlyMap<string, QuarantineEntry> {
    return this.quarantine;
  }

  private find(upstream: string, at: number): Crash {
    const { sameCrashMs } = this.bounds;
    const known = this.crashes.find(
      (crash) => crash.upstream === upstream && Math.abs(crash.at - at) <= sameCrashMs,
    );
    if (known !== undefined) return known;
    const crash = { upstream, at, fingerprints: new Set<string>(), isExplained: false };
    this.crashes.push(crash);
    return crash;
  }

  private addSuspect(fingerprint: string, crash: Crash): void {
    crash.fingerprints.add(fingerprint);
    const crashes = this.byFingerprint.get(fingerprint) ?? new Set<Crash>();
    this.byFingerprint.set(fingerprint, crashes);
    crashes.add(crash);
  }

  private removeSuspect(fingerprint: string, crash: Crash): void {
    crash.fingerprints.delete(fingerprint);
    const crashes = this.byFingerprint.get(fingerprint);
    crashes?.delete(crash);
    if (crashes?.size === 0) this.byFingerprint.delete(fingerprint);
  }

  private isRepeated(fingerprint: string): boolean {
    return (this.byFingerprint.get(fingerprint)?.size ?? 0) >= this.bounds.minCrashes;
  }

  private isSettled({ at }: Crash): boolean {
    return this.bounds.timers.now() - at >= this.bounds.settleMs;
  }

  /** Quarantines the requests that a crash shows to be its cause. */
  private review(crash: Crash): void {
    if (crash.isExplained) return;
    const repeated = [...crash.fingerprints].filter((fingerprint) => this.isRepeated(fingerprint));
    const isOnlyOne = repeated.length === 1 && this.isSettled(crash);
    for (const fingerprint of repeated) {
      const crashes = this.byFingerprint.get(fingerprint)!;
      if (isOnlyOne || crashes.size >= this.bounds.maxCrashes) this.convict(fingerprint, crashes);
    }
  }

  private convict(fingerprint: string, crashes: ReadonlySet<Crash>): void {
    const isKnown = this.quarantine.has(fingerprint);
    const upstreams = [...crashes].map((crash) => crash.upstream);
    const until = Math.max(...[...crashes].map((crash) => crash.at)) + this.bounds.quarantineMs;
    this.putInQuarantine(fingerprint, { upstreams, until }, crashes);
    if (!isKnown) this.listener.quarantined(fingerprint, upstreams);
  }

  private putInQuarantine(fingerprint: string, entry: QuarantineEntry, crashes: Iterable<Crash>): void {
    this.quarantine.set(fingerprint, entry);
    for (const crash of [...crashes]) this.explain(crash);
  }

  /** Clears the suspects of a crash whose cause is known; those in quarantine stay there. */
  private explain(crash: Crash): void {
    const { fingerprints } = crash;
    Object.assign(crash, { isExplained: true });
    for (const fingerprint of fingerprints)
      if (!this.quarantine.has(fingerprint)) this.removeSuspect(fingerprint, crash);
  }
}
