/**
 * Log of recent crashes, which finds the features of requests that cause them.
 *
 * A feature is the fingerprint of a request, or something that it shares with others. Every feature of a request in
 * flight at a crash is a suspect until a request with it ends well.
 *
 * A request that is in flight at another crash caused both if no other request was at as many; after some more crashes it
 * did in any case. A shared feature caused its crashes if requests that differ otherwise had it at several, and it would
 * hardly be at all of them by chance. What caused a crash is quarantined, and what was beside it is cleared.
 */
import type { TimerService } from '../time/index.js';
import { groupCoincident } from './coincident-crashes.js';
import {
  ageRanges,
  compareEvidence,
  dropIndex,
  longestAnswerMs,
  sampleOf,
  variantsAt,
  wasInFlight,
} from './crash-samples.js';
import type { FeatureEvidence, FeatureSample, SuspectRequest } from './types.js';
import { EndCertainty, Suspicion } from './types.js';

/** One crash of one upstream, as the reports of all daemons describe it together. */
export interface Crash {
  readonly upstream: string;
  /** Monotonic time of its end, or of the last sign of life of one that is silent, in milliseconds. */
  readonly at: number;
  /** Monotonic time at which it became known, in milliseconds; the reports of other daemons come soon after. */
  readonly knownAt: number;
  readonly certainty: EndCertainty;
  /** Features of requests that were in flight and are not cleared. */
  readonly features: Set<string>;
  /** Requests that were in flight, by fingerprint; only those that caused it, once these are known. */
  readonly requests: Map<string, SuspectRequest>;
  /** Whether its cause is known: requests that are reported later are no suspects. */
  isExplained: boolean;
}

/** Bounds of the log. */
export interface CrashBounds {
  readonly timers: TimerService;
  /** Time for which a request is refused, in milliseconds. */
  readonly quarantineMs: number;
  /** Time after which a crash is forgotten, in milliseconds. */
  readonly suspectMs: number;
  /** Time after which the end of an upstream that is only presumed is forgotten, in milliseconds; as a crash by default. */
  readonly presumedMs?: number;
  /** Crashes after which a request is quarantined if no other request was in flight at as many. */
  readonly minCrashes: number;
  /** Crashes after which a request is quarantined in any case. */
  readonly maxCrashes: number;
  /** Crashes after which a shared feature is looked at while some are only presumed; as many as confirmed ones by default. */
  readonly minPresumed?: number;
  /** Time after a crash became known in which other daemons report what they had in flight, in milliseconds. */
  readonly settleMs: number;
  /**
   * Reports count as complete at multiples of this time only, so that crashes at about the same time are reviewed
   * together, in milliseconds; at any time by default.
   */
  readonly settleStepMs?: number;
  /** Reports about one upstream within this time are of one crash, in milliseconds. */
  readonly sameCrashMs: number;
  /** Largest number of features that are kept. */
  readonly capacity: number;
  /** Whether a shared feature would hardly be at its crashes by chance; without it, none is quarantined. */
  readonly isCause?: (evidence: FeatureEvidence) => boolean;
}

/** Called with changes of quarantines. */
export interface CrashListener {
  /**
   * Called for what this log has found itself.
   * @param isShared - Whether it is something that requests share rather than one request.
   */
  quarantined(feature: string, upstreams: readonly string[], isShared: boolean): void;
  /** Called, again and again, for what requests share that caused the ends of upstreams if these are confirmed. */
  presumed?(feature: string): void;
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

  private readonly byFeature = new Map<string, Set<Crash>>();

  /** Features of these that requests share. */
  private readonly sharedFeatures = new Set<string>();

  private readonly quarantine = new Map<string, QuarantineEntry>();

  private readonly clearedAt = new Map<string, number>();

  /** Latest crash of each upstream. */
  private readonly byUpstream = new Map<string, Crash>();

  /** Monotonic times at which upstreams turned out to run on, in milliseconds. */
  private readonly refutedAt = new Map<string, number>();

  constructor(
    private readonly bounds: CrashBounds,
    private readonly listener: CrashListener,
  ) {}

  /** Whether nothing is suspected or quarantined. */
  get isEmpty(): boolean {
    return this.byFeature.size === 0 && this.quarantine.size === 0;
  }

  /** Returns what is known of a request. */
  lookUp(fingerprint: string): Suspicion {
    if (this.quarantineOf(fingerprint) !== undefined) return Suspicion.Quarantined;
    const crashes = this.byFeature.get(fingerprint);
    if (crashes === undefined || crashes.size === 0) return Suspicion.Clear;
    const isUnresolved = this.isRepeated(fingerprint) && [...crashes].some((crash) => !this.isSettled(crash));
    return isUnresolved ? Suspicion.Unresolved : Suspicion.Suspect;
  }

  /** Whether a feature was in flight at a crash and is not cleared. */
  isSuspect(feature: string): boolean {
    return this.byFeature.has(feature);
  }

  /** Whether daemons may still report what they had in flight with a feature at one of its crashes. */
  isUnsettled(feature: string): boolean {
    return [...(this.byFeature.get(feature) ?? [])].some((crash) => !this.isSettled(crash));
  }

  /** Upstreams at whose crashes a feature is suspected. */
  upstreamsOf(feature: string): string[] {
    return [...(this.byFeature.get(feature) ?? [])].map(({ upstream }) => upstream);
  }

  /** Returns the quarantine of a request that is in force, if there is one. */
  quarantineOf(fingerprint: string): QuarantineEntry | undefined {
    const entry = this.quarantine.get(fingerprint);
    return entry !== undefined && entry.until > this.bounds.timers.now() ? entry : undefined;
  }

  /** Suspects that were in flight at several crashes, in an order that is the same on all daemons. */
  repeatedSuspects(): string[] {
    return [...this.byFeature.keys()]
      .filter((feature) => this.isRepeated(feature) && !this.isShared(feature))
      .sort();
  }

  /**
   * Adds requests that were in flight at a crash. What they share is weighed by {@link reviewAll} and
   * {@link reviewShared}: each crash is reported by many daemons, and weighing looks at all crashes.
   * @param at - Monotonic time of the crash, in milliseconds.
   * @returns Whether any of them, or that the crash is certain, was not known.
   */
  add(
    upstream: string,
    at: number,
    requests: Iterable<SuspectRequest>,
    certainty = EndCertainty.Confirmed,
  ): boolean {
    if (at <= this.bounds.timers.now() - this.bounds.suspectMs) return false;
    if (at <= (this.refutedAt.get(upstream) ?? Number.NEGATIVE_INFINITY)) return false;
    const crash = this.find(upstream, at, certainty);
    let hasChanged = certainty > crash.certainty;
    if (hasChanged) Object.assign(crash, { certainty });
    // What several daemons have heard last of it is the closest to its end.
    if (at > crash.at) {
      Object.assign(crash, { at });
      dropIndex(crash);
    }
    for (const request of requests) if (this.addRequest(request, crash)) hasChanged = true;
    this.reviewRequests(crash);
    return hasChanged;
  }

  /** Returns the monotonic time from which on the reports of a crash count as complete, in milliseconds. */
  settledAt({ knownAt }: Crash): number {
    const { settleMs, settleStepMs } = this.bounds;
    const at = knownAt + settleMs;
    return settleStepMs === undefined ? at : Math.ceil(at / settleStepMs) * settleStepMs;
  }

  /** Quarantines what caused crashes whose reports are complete by now. */
  reviewAll(): void {
    for (const crash of this.crashes) this.reviewRequests(crash);
    this.reviewShared();
  }

  /** Returns the latest crash of an upstream, if one is known. */
  crashOf(upstream: string): Crash | undefined {
    return this.byUpstream.get(upstream);
  }

  /** Records that an upstream that was presumed to have ended has. */
  confirm(upstream: string): void {
    const crash = this.byUpstream.get(upstream);
    if (crash?.certainty !== EndCertainty.Presumed) return;
    Object.assign(crash, { certainty: EndCertainty.Confirmed });
    this.reviewAll();
  }

  /** Quarantines what requests share that caused crashes; to be called when others of them have run since. */
  reviewShared(): void {
    const isAnyPresumed = this.crashes.some(({ certainty }) => certainty === EndCertainty.Presumed);
    for (const feature of [...this.sharedFeatures])
      if (this.isSharedCause(feature, EndCertainty.Confirmed)) this.convict(feature);
      else if (isAnyPresumed && this.isSharedCause(feature, EndCertainty.Presumed))
        this.listener.presumed?.(feature);
  }

  /**
   * Returns what speaks for a suspected feature as the cause of its crashes, as far as all daemons have reported them.
   * @param certainty - How sure the crashes must be at least.
   */
  evidenceOf(feature: string, certainty: EndCertainty): FeatureEvidence {
    const isWeighed = (crash: Crash): boolean => crash.certainty >= certainty && this.isSettled(crash);
    const crashes = [...(this.byFeature.get(feature) ?? [])].filter(
      (crash) => isWeighed(crash) && wasInFlight(crash, feature),
    );
    const own = new Set(crashes);
    const since = Math.min(...crashes.map(({ at }) => at));
    const variants = new Set(crashes.flatMap((crash) => [...variantsAt(crash, feature)]));
    const others = this.crashes.filter(
      (crash) => crash.at >= since && !crash.isExplained && !own.has(crash) && isWeighed(crash),
    );
    const groups = groupCoincident([...crashes, ...others]);
    const ownGroups = groups.filter((group) => group.some((crash) => own.has(crash)));
    // Requests that differ in nothing else show nothing that one of them does not.
    const ranges = ageRanges(ownGroups, feature).map(({ choices, inFlight }) => ({
      choices,
      inFlight: inFlight.sort(compareEvidence).slice(0, variants.size),
    }));
    return {
      feature,
      since,
      longestMs: this.longestMs(feature),
      ranges,
      beside: this.inFlightBeside(feature),
      otherCrashes: groups.length - ownGroups.length,
    };
  }

  /**
   * Counts all requests that were in flight at crashes whose cause is not known, as the reports of all daemons show them.
   * At each crash with the feature one request with it is left out: the crash may be due to that one.
   */
  private inFlightBeside(feature: string): FeatureSample {
    let requests = 0;
    let withFeature = 0;
    for (const crash of this.crashes) {
      if (crash.isExplained) continue;
      const sample = sampleOf(crash, feature);
      const left = Math.min(1, sample.withFeature);
      requests += sample.requests - left;
      withFeature += sample.withFeature - left;
    }
    return { requests, withFeature };
  }

  /**
   * Returns the longest time for which an answer with a feature had gone on at one of its crashes, in milliseconds. If
   * the feature causes crashes, it does so about that long after an answer begins.
   */
  longestMs(feature: string): number {
    return Math.max(
      0,
      ...[...(this.byFeature.get(feature) ?? [])].map((crash) => longestAnswerMs(crash, feature)),
    );
  }

  /**
   * Clears a feature of a request that ended well after its crashes; one in quarantine stays there.
   * @param at - Monotonic time up to which crashes are cleared, in milliseconds: the end of the request, or its begin for
   *   what it shares with others.
   * @returns Whether it was a suspect of any of these crashes.
   */
  clear(feature: string, at: number): boolean {
    if (this.quarantine.has(feature)) return false;
    this.recordCleared(feature, at);
    const crashes = [...(this.byFeature.get(feature) ?? [])].filter((crash) => crash.at <= at);
    for (const crash of crashes) this.removeSuspect(feature, crash);
    return crashes.length > 0;
  }

  /**
   * Drops the crash of an upstream that turned out to run on; it may end later.
   * @returns Whether it was known.
   */
  refute(upstream: string): boolean {
    const crash = this.byUpstream.get(upstream);
    if (crash === undefined || crash.isExplained) return false;
    this.refutedAt.set(upstream, this.bounds.timers.now());
    this.drop(crash);
    return true;
  }

  /**
   * Adds a quarantine that another daemon has found.
   * @returns Whether it was not known.
   */
  addQuarantine(fingerprint: string, entry: QuarantineEntry): boolean {
    const isKnown = this.quarantine.has(fingerprint);
    if (isKnown || entry.until <= this.bounds.timers.now()) return false;
    this.putInQuarantine(fingerprint, entry, this.byFeature.get(fingerprint) ?? []);
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
    const oldestPresumed = now - (this.bounds.presumedMs ?? this.bounds.suspectMs);
    for (const crash of [...this.crashes]) {
      const isOld =
        crash.certainty === EndCertainty.Presumed ? crash.at <= oldestPresumed : crash.at <= oldest;
      if (isOld) this.drop(crash);
    }
    for (const [upstream, at] of this.refutedAt) if (at <= oldest) this.refutedAt.delete(upstream);
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

  private recordCleared(feature: string, at: number): void {
    this.clearedAt.set(feature, Math.max(at, this.clearedAt.get(feature) ?? Number.NEGATIVE_INFINITY));
    if (this.clearedAt.size <= this.bounds.capacity) return;
    const [oldest] = this.clearedAt.keys();
    this.clearedAt.delete(oldest!);
  }

  private drop(crash: Crash): void {
    if (this.byUpstream.get(crash.upstream) === crash) this.byUpstream.delete(crash.upstream);
    for (const feature of [...crash.features]) this.removeSuspect(feature, crash);
    this.crashes = this.crashes.filter((known) => known !== crash);
  }

  private find(upstream: string, at: number, certainty: EndCertainty): Crash {
    const { sameCrashMs } = this.bounds;
    const known = this.crashes.find(
      (crash) => crash.upstream === upstream && Math.abs(crash.at - at) <= sameCrashMs,
    );
    if (known !== undefined) return known;
    const crash: Crash = {
      upstream,
      at,
      knownAt: this.bounds.timers.now(),
      certainty,
      features: new Set(),
      requests: new Map(),
      isExplained: false,
    };
    this.crashes.push(crash);
    this.byUpstream.set(upstream, crash);
    return crash;
  }

  /** Adds a request to a crash; returns whether it was not known to be there. */
  private addRequest(request: SuspectRequest, crash: Crash): boolean {
    const { fingerprint, shared } = request;
    if (crash.isExplained || this.byFeature.size >= this.bounds.capacity) return false;
    if (crash.features.has(fingerprint) || this.isClearedSince(fingerprint, crash)) return false;
    crash.requests.set(fingerprint, request);
    dropIndex(crash);
    this.addSuspect(fingerprint, crash);
    for (const { feature } of shared)
      if (!this.isClearedSince(feature, crash)) {
        this.sharedFeatures.add(feature);
        this.addSuspect(feature, crash);
      }
    return true;
  }

  private isClearedSince(feature: string, { at }: Crash): boolean {
    return (this.clearedAt.get(feature) ?? Number.NEGATIVE_INFINITY) > at;
  }

  private addSuspect(feature: string, crash: Crash): void {
    crash.features.add(feature);
    const crashes = this.byFeature.get(feature) ?? new Set<Crash>();
    this.byFeature.set(feature, crashes);
    crashes.add(crash);
  }

  private removeSuspect(feature: string, crash: Crash): void {
    crash.features.delete(feature);
    const crashes = this.byFeature.get(feature);
    crashes?.delete(crash);
    if (crashes?.size !== 0) return;
    this.byFeature.delete(feature);
    this.sharedFeatures.delete(feature);
  }

  private isRepeated(feature: string): boolean {
    return this.confirmedCrashes(feature).length >= this.bounds.minCrashes;
  }

  private confirmedCrashes(feature: string): Crash[] {
    const crashes = this.byFeature.get(feature) ?? [];
    return [...crashes].filter(({ certainty }) => certainty === EndCertainty.Confirmed);
  }

  private isSettled(crash: Crash): boolean {
    return this.bounds.timers.now() >= this.settledAt(crash);
  }

  /** Whether a feature is something that requests share rather than one request. */
  private isShared(feature: string): boolean {
    return [...(this.byFeature.get(feature) ?? [])].every(({ requests }) => !requests.has(feature));
  }

  /** Quarantines the request that a crash shows to be its cause; what is quarantined explains further crashes. */
  private reviewRequests(crash: Crash): void {
    if (crash.isExplained || crash.certainty !== EndCertainty.Confirmed) return;
    const known = [...crash.features].find((feature) => this.quarantineOf(feature) !== undefined);
    if (known !== undefined) {
      this.convict(known);
      return;
    }
    for (const fingerprint of [...crash.requests.keys()])
      if (crash.features.has(fingerprint) && this.isRequestCause(fingerprint, crash))
        this.convict(fingerprint);
  }

  /**
   * Whether a request caused its crashes: it was at several, and no other one at as many. While upstreams crash often, for
   * whatever reason, others are at several by chance; one of them has to be at more.
   */
  private isRequestCause(fingerprint: string, crash: Crash): boolean {
    const { minCrashes, maxCrashes } = this.bounds;
    if ((this.byFeature.get(fingerprint)?.size ?? 0) < minCrashes) return false;
    const crashes = this.confirmedCrashes(fingerprint).length;
    if (crashes >= maxCrashes) return true;
    return crashes >= minCrashes && this.isSettled(crash) && !this.hasRival(fingerprint, crashes);
  }

  /** Whether another request was at as many crashes. */
  private hasRival(fingerprint: string, crashes: number): boolean {
    return [...this.byFeature].some(
      ([other, { size }]) =>
        size >= crashes &&
        other !== fingerprint &&
        !this.isShared(other) &&
        this.confirmedCrashes(other).length >= crashes,
    );
  }

  /** Whether a feature that requests share caused its crashes, as far as these are sure enough. */
  private isSharedCause(feature: string, certainty: EndCertainty): boolean {
    const { isCause, minCrashes, minPresumed = minCrashes } = this.bounds;
    const least = certainty === EndCertainty.Confirmed ? minCrashes : minPresumed;
    const crashes = this.byFeature.get(feature)?.size ?? 0;
    if (isCause === undefined || crashes < least || this.quarantine.has(feature)) return false;
    if (!this.isShared(feature)) return false;
    const evidence = this.evidenceOf(feature, certainty);
    return evidence.ranges.every(({ inFlight }) => inFlight.length >= least) && isCause(evidence);
  }

  private convict(feature: string): void {
    const crashes = [...(this.byFeature.get(feature) ?? [])];
    const isKnown = this.quarantine.has(feature);
    const isShared = this.isShared(feature);
    const upstreams = crashes.map((crash) => crash.upstream);
    const until = Math.max(...crashes.map((crash) => crash.at)) + this.bounds.quarantineMs;
    this.putInQuarantine(feature, { upstreams, until }, crashes);
    if (!isKnown) this.listener.quarantined(feature, upstreams, isShared);
  }

  private putInQuarantine(feature: string, entry: QuarantineEntry, crashes: Iterable<Crash>): void {
    this.quarantine.set(feature, entry);
    for (const crash of [...crashes]) this.explain(crash, feature);
  }

  /**
   * Clears the suspects of a crash whose cause is known; those in quarantine stay there. What a request that caused it
   * shares with others stays suspected: it may be the cause of that.
   */
  private explain(crash: Crash, cause: string): void {
    Object.assign(crash, { isExplained: true });
    dropIndex(crash);
    const culprit = crash.requests.get(cause);
    const kept = new Set(culprit?.shared.map(({ feature }) => feature));
    for (const fingerprint of [...crash.requests.keys()])
      if (!this.quarantine.has(fingerprint) || culprit === undefined) crash.requests.delete(fingerprint);
    for (const feature of [...crash.features])
      if (!this.quarantine.has(feature) && !kept.has(feature)) this.removeSuspect(feature, crash);
  }
}
