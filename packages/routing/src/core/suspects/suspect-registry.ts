/**
 * Keeps requests that crash replicas from crashing one replica after the other.
 *
 * A daemon that finds a replica crashed publishes the fingerprints of the requests that it had in flight there. From
 * these reports all daemons find the same suspects, place them apart, and refuse what crashes replicas for a time.
 */
import type {
  DecisionLog,
  FeatureEvidence,
  FeatureSample,
  SharedFeature,
  SuspectRequest,
  TimerHandle,
  TimerService,
} from '@celeryyoke/core';
import { CrashLog, EndCertainty, Suspicion } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { AnswerRun, AttemptLedger, AttemptRecord } from './attempt-ledger.js';
import type { CrashDetector } from './crash-detector.js';
import { END_SIGNS, EndSign, REFUTE_AFTER_MS, UNHEARD_AFTER_MS } from './end-signs.js';
import type { FeatureUse } from './evidence.js';
import { chanceOf, isCause } from './evidence.js';
import { FeatureStatistics, isSoundRun } from './feature-statistics.js';
import type { RequestFingerprints } from './fingerprint.js';
import { featureNames } from './fingerprint.js';
import { rankReplicas } from './placement.js';
import { PROVISIONAL_MS, ProvisionalRefusals } from './provisional-refusals.js';
import type { SuspectFrame } from './suspect-codec.js';
import { decodeSuspect, encodeSuspect } from './suspect-codec.js';
import type { CrashRow, QuarantineRow, SuspectRow } from './types.js';
import { SuspectRowKind } from './types.js';

/** Time for which a request that crashes replicas is refused, in milliseconds. */
const QUARANTINE_MS = 600_000;
/** Time in which all daemons report what they had in flight at a crash, in milliseconds. */
const SETTLE_MS = 150;
const MIN_CRASHES = 2;
const MAX_CRASHES = 4;
/** Ends after which what requests share is looked at while some ends are only presumed. */
const MIN_PRESUMED = 3;
/** Reports about one incarnation of a replica are of one crash. */
const SAME_CRASH_MS = QUARANTINE_MS;
/** Largest delay of a message between daemons, by which a time is taken for a later one, in milliseconds. */
const TIME_MARGIN_MS = 100;
/** Time after which the end of a replica that is only presumed is forgotten, in milliseconds. */
const PRESUMED_MS = 30_000;
/** Shortest time between two reviews of what requests share, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
/** Crashes whose reports are complete within such a time are reviewed together, in milliseconds. */
const SETTLE_STEP_MS = 25;
/** Reports that come late within such a time are reviewed together, in milliseconds. */
const LATE_REPORTS_MS = 50;
/** Time before a crash up to which a request that was given up may have caused it, in milliseconds. */
const GIVEN_UP_MS = 250;
/** Largest number of features that are kept. */
const CAPACITY = 4096;
const EXPIRY_INTERVAL_MS = 1000;
/** Largest number of crashes, and of cleared requests, that a daemon is told when it subscribes. */
const MAX_SNAPSHOT_ROWS = 64;
/** Largest number of requests in one report. */
const MAX_REQUESTS = 512;
/** Largest fleet in which each daemon is told directly, which is faster than the tree. */
const MAX_DIRECT_PEERS = 16;
/**
 * Times after a crash between which a response to a report shows that there was none, in milliseconds: later than what the
 * replica may have sent before, and earlier than it can be back.
 */
const REFUTE_FROM_MS = 300;
const REFUTE_UNTIL_MS = 1500;

/** Parts of the daemon that the registry uses. */
export interface SuspectRegistryOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'send' | 'handle'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly detector: Pick<CrashDetector, 'hasCrashed' | 'forget'>;
  readonly attempts: Pick<AttemptLedger, 'onProgress' | 'onUnbegun' | 'unanswered' | 'lastHeardAt'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Requests in flight at crashes, as the reports of all daemons show them. */
export class SuspectRegistry {
  private readonly crashes: CrashLog;

  private readonly statistics: FeatureStatistics;

  /** Requests that this daemon had in flight on replicas that crashed, by replica. */
  private readonly ownReports = new Map<string, CrashRow>();

  private readonly provisional: ProvisionalRefusals;

  private readonly refutedListeners: ((replica: string) => void)[] = [];

  private readonly endedListeners: ((replica: string, at: number) => void)[] = [];

  private readonly expiryTimer: TimerHandle;

  /** Earliest crash that each scheduled review looks at, by the time of the review, in monotonic milliseconds. */
  private readonly scheduledReviews = new Map<number, number>();

  /** Monotonic time at which the latest review of what requests share ended, in milliseconds. */
  private reviewedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: SuspectRegistryOptions) {
    const { cluster, tree, timers, attempts, log } = options;
    this.provisional = new ProvisionalRefusals(timers, log);
    this.statistics = new FeatureStatistics(timers);
    const bounds = {
      timers,
      isCause: (evidence: FeatureEvidence) => this.isCause(evidence),
      quarantineMs: QUARANTINE_MS,
      suspectMs: QUARANTINE_MS,
      presumedMs: PRESUMED_MS,
      minCrashes: MIN_CRASHES,
      maxCrashes: MAX_CRASHES,
      minPresumed: MIN_PRESUMED,
      settleMs: SETTLE_MS,
      settleStepMs: SETTLE_STEP_MS,
      sameCrashMs: SAME_CRASH_MS,
      capacity: CAPACITY,
    };
    this.crashes = new CrashLog(bounds, {
      quarantined: (feature, replicas, isShared) => this.handleQuarantine(feature, replicas, isShared),
      presumed: (feature) => this.refuseProvisionally(feature),
      lifted: (fingerprint) =>
        log.decide('request.released', 'A request is no longer quarantined.', { fingerprint }),
    });
    tree.register(Topic.Suspect, this.topic());
    cluster.handle(MessageType.Suspects, (_from, frames: SuspectFrame[]) => {
      for (const frame of frames) this.mergeFrame(frame);
    });
    attempts.onProgress((record) => this.recordProgress(record));
    attempts.onUnbegun(({ subject: { route, shared, fingerprints } }) => {
      if (shared.length > 0) this.countRun(route, shared, fingerprints().exact);
    });
    this.expiryTimer = timers.repeat(EXPIRY_INTERVAL_MS, () => this.expire());
  }

  /** Cancels the timer. */
  stop(): void {
    this.expiryTimer.cancel();
  }

  /**
   * Returns what is known of a request.
   * @param fingerprints - Computes its fingerprints; not called while nothing is known of any request.
   */
  suspicionOf(fingerprints: () => RequestFingerprints): Suspicion {
    if (this.crashes.isEmpty && this.provisional.isEmpty) return Suspicion.Clear;
    this.runDueReviews();
    const { exact, anyQuery, shared } = fingerprints();
    if (shared.some(({ feature }) => this.remainingMs(feature) > 0)) return Suspicion.Quarantined;
    const suspicion = this.crashes.lookUp(exact);
    if (anyQuery === undefined || suspicion === Suspicion.Quarantined) return suspicion;
    const suspicionOfPath = this.crashes.lookUp(anyQuery);
    return suspicionOfPath === Suspicion.Clear ? suspicion : suspicionOfPath;
  }

  /** Time for which a request is still refused, in milliseconds; 0 when it is not in quarantine. */
  quarantineMs(fingerprints: RequestFingerprints): number {
    return Math.max(...[...featureNames(fingerprints)].map((feature) => this.remainingMs(feature)));
  }

  private remainingMs(fingerprint: string): number {
    const until = this.crashes.quarantineOf(fingerprint)?.until ?? this.provisional.untilOf(fingerprint);
    return until === undefined ? 0 : Math.max(0, until - this.options.timers.now());
  }

  /**
   * Ranks replicas for a suspect; all daemons rank them alike.
   * @returns The rank of each replica; 0 is the first choice.
   */
  rankReplicas({ exact, anyQuery }: RequestFingerprints, replicas: readonly string[]): Map<string, number> {
    const isKnown = anyQuery === undefined || this.crashes.lookUp(exact) !== Suspicion.Clear;
    const fingerprint = isKnown ? exact : anyQuery;
    return rankReplicas({ fingerprint, repeated: this.crashes.repeatedSuspects(), replicas });
  }

  /**
   * Counts a request that a replica runs and that shares anything.
   * @param route - Name of its route.
   * @param shared - What it shares with others.
   * @param request - Its fingerprint.
   */
  countRun(route: string, shared: readonly SharedFeature[], request: string): void {
    const features = shared.map(({ feature }) => feature);
    this.statistics.countRun({ route, features, request });
  }

  /** Clears what an answer that goes on shares with others, and weighs what others share again. */
  private recordProgress(run: AnswerRun): void {
    if (run.shared.length === 0) return;
    if (run.livedMs === 0 && !run.isWhole) this.countRun(run.route, run.shared, run.request);
    this.statistics.recordRun(run);
    if (this.crashes.isEmpty) return;
    this.clearBy(run);
    const { timers } = this.options;
    if (timers.now() - this.reviewedAt < REVIEW_INTERVAL_MS) return;
    this.crashes.reviewShared();
    this.reviewedAt = timers.now();
  }

  /** Schedules one review for all reports of a crash, at the moment from which on its suspects may be sent again. */
  private scheduleReview(replica: string, at: number): void {
    const { timers } = this.options;
    const crash = this.crashes.crashOf(replica);
    if (crash === undefined) return;
    const settledAt = this.crashes.settledAt(crash);
    const lateAt = Math.ceil(timers.now() / LATE_REPORTS_MS) * LATE_REPORTS_MS;
    const dueAt = settledAt > timers.now() ? settledAt : lateAt;
    const since = this.scheduledReviews.get(dueAt);
    this.scheduledReviews.set(dueAt, Math.min(at, since ?? at));
    if (since === undefined) this.startReviewTimer(dueAt);
  }

  private startReviewTimer(dueAt: number): void {
    const { timers } = this.options;
    timers.after(Math.ceil(dueAt - timers.now()), () => {
      // Timers may fire up to a millisecond early, when the reports do not count as complete yet.
      if (timers.now() < dueAt) this.startReviewTimer(dueAt);
      else this.runScheduledReview(dueAt);
    });
  }

  /** Runs reviews whose timers are late: a suspect may be sent again once the reports of its crash are complete. */
  private runDueReviews(): void {
    const now = this.options.timers.now();
    for (const dueAt of [...this.scheduledReviews.keys()]) if (dueAt <= now) this.runScheduledReview(dueAt);
  }

  private runScheduledReview(dueAt: number): void {
    const since = this.scheduledReviews.get(dueAt);
    this.scheduledReviews.delete(dueAt);
    if (since !== undefined) this.reviewSince(since);
  }

  /**
   * Reviews what is known of an end, which may have become known only after answers that began since have shown what does
   * not cause it.
   * @param at - Monotonic time of the end, in milliseconds.
   */
  private reviewSince(at: number): void {
    for (const run of this.statistics.runsSince(at)) this.clearBy(run);
    this.crashes.reviewAll();
  }

  /**
   * Clears what an answer shares with others, as far as it shows that this crashes no replica. How long an answer with it
   * may go on until a crash is known once all daemons have reported theirs; a whole one shows it in any case.
   */
  private clearBy(run: AnswerRun): void {
    for (const { feature } of run.shared) {
      if (!this.crashes.isSuspect(feature)) continue;
      if (!run.isWhole && this.crashes.isUnsettled(feature)) continue;
      if (isSoundRun(run, this.crashes.longestMs(feature))) this.clearShared(feature, run.beganAt!);
    }
  }

  /**
   * Records that the connection of an attempt ended before the response. If its replica has crashed, all requests that
   * it has not answered are suspects.
   * @param hasCrashed - Whether the replica has crashed; found out when it is left out.
   * @returns A promise that settles when peers have been told, so that a resend finds them warned.
   */
  async attemptCut(replica: ReplicaEntry, hasCrashed?: boolean): Promise<void> {
    if (!(hasCrashed ?? (await this.options.detector.hasCrashed(replica)))) return;
    this.reportEnd(replica.id, EndSign.Closed);
  }

  /** Reports that a replica has ended, with the requests that it has not answered. */
  reportEnd(replica: string, sign: Exclude<EndSign, EndSign.Reported>): void {
    const { certainty, isDated } = END_SIGNS[sign];
    const at = isDated ? this.options.timers.now() : this.estimateEnd(replica);
    if (certainty === EndCertainty.Confirmed) this.crashes.confirm(replica);
    this.reportUnanswered(replica, at, certainty, sign);
  }

  /** Estimates when a silent replica has ended: at its last bytes, or as peers have found if it has sent nothing here. */
  private estimateEnd(replica: string): number {
    const { attempts, timers } = this.options;
    const heardAt = attempts.lastHeardAt(replica) ?? Number.NEGATIVE_INFINITY;
    const sentAt = attempts
      .unanswered(replica)
      .filter(({ endedAt = heardAt }) => endedAt >= heardAt - GIVEN_UP_MS)
      .map((record) => record.sentAt);
    const firstSentAt = Math.min(timers.now(), ...sentAt);
    if (firstSentAt <= heardAt) return heardAt;
    return this.crashes.crashOf(replica)?.at ?? Math.min(timers.now(), firstSentAt + UNHEARD_AFTER_MS);
  }

  /** Reports the requests that a replica has not answered, as far as peers have not been told. */
  private reportUnanswered(replica: string, endedAt: number, certainty: EndCertainty, sign: EndSign): void {
    const { self, log } = this.options;
    const known = this.ownReports.get(replica);
    const records = this.unreported(replica, Math.min(known?.at ?? endedAt, endedAt));
    const isSurer = known !== undefined && certainty > known.certainty;
    if (records.length === 0 && !isSurer) return;
    const requests = [...(known?.requests ?? []), ...records.flatMap((record) => this.suspectsOf(record))];
    const row: CrashRow = {
      kind: SuspectRowKind.Crash,
      replica,
      reporter: self,
      at: known?.at ?? endedAt,
      certainty: isSurer ? certainty : (known?.certainty ?? certainty),
      requests: requests.slice(-MAX_REQUESTS),
    };
    this.ownReports.set(replica, row);
    log.decide('replica.crashed', `Replica ${replica} has ended with requests in flight: ${sign}.`, {
      replica,
      sign,
      isPresumed: certainty === EndCertainty.Presumed,
      endedAgoMs: Math.round(this.options.timers.now() - row.at),
      inFlight: requests.length,
      fingerprints: records.map((record) => record.subject.fingerprints().exact).join(' '),
      answeredMs: records.map(({ answer }) => Math.round(answer.livedMs)).join(' '),
    });
    this.merge(row);
    this.publish(row);
  }

  /** Attempts that a replica has not answered, that were made until its end, and of which peers have not been told. */
  private unreported(replica: string, endedAt: number): AttemptRecord[] {
    const reported = new Set(this.ownReports.get(replica)?.requests.map(({ fingerprint }) => fingerprint));
    return this.options.attempts
      .unanswered(replica)
      .filter((record) => record.endedAt === undefined || record.endedAt >= endedAt - GIVEN_UP_MS)
      .filter((record) => !reported.has(record.subject.fingerprints().exact));
  }

  /** Adds what this daemon had in flight to what a peer has reported, unless the replica goes on here. */
  private contribute({ replica, at, certainty }: CrashRow): void {
    const heardAt = this.options.attempts.lastHeardAt(replica) ?? Number.NEGATIVE_INFINITY;
    const isPresumed = certainty === EndCertainty.Presumed;
    if (heardAt > at + REFUTE_AFTER_MS) {
      this.refute(replica);
      return;
    }
    const isOpen = (record: AttemptRecord): boolean => record.endedAt === undefined;
    // What is still open at a replica whose connections have closed is reported when this daemon finds that out.
    const records = this.unreported(replica, at).filter((record) => isPresumed || !isOpen(record));
    if (records.length > 0) this.reportUnanswered(replica, at, certainty, EndSign.Reported);
  }

  private suspectsOf({ subject, sentAt, answer: { beganAt } }: AttemptRecord): SuspectRequest[] {
    const { fingerprints, shared } = subject;
    const { exact, anyQuery } = fingerprints();
    const request: SuspectRequest = { fingerprint: exact, shared, sentAt, beganAt };
    // What comes again as it was needs no other name; the query may be what differs the next time.
    const isNew = this.crashes.lookUp(exact) === Suspicion.Clear;
    return isNew && anyQuery !== undefined ? [request, { fingerprint: anyQuery, shared: [] }] : [request];
  }

  /** Records that a request was served, or failed, by a replica that survived it. */
  attemptCompleted({ exact, anyQuery }: RequestFingerprints): void {
    const at = this.options.timers.now();
    this.clear(exact, at);
    if (anyQuery !== undefined) this.clear(anyQuery, at);
  }

  private clear(feature: string, at: number, answeredMs?: number): boolean {
    if (!this.crashes.clear(feature, at)) return false;
    this.options.log.decide('request.cleared', 'A suspect ended well.', { fingerprint: feature, answeredMs });
    this.publish({ kind: SuspectRowKind.Cleared, fingerprint: feature, at });
    return true;
  }

  /**
   * Clears a shared feature. Peers take the time for a later one by the delay of the message, so it is cleared as far
   * here: what they have cleared they would not clear again for this daemon.
   */
  private clearShared(feature: string, beganAt: number): void {
    const answeredMs = Math.round(this.options.timers.now() - beganAt);
    if (this.clear(feature, beganAt, answeredMs)) this.crashes.clear(feature, beganAt + TIME_MARGIN_MS);
  }

  /** Whether a shared feature caused its crashes, as far as the runs at this daemon show. */
  private isCause(evidence: FeatureEvidence): boolean {
    const { feature, since, longestMs } = evidence;
    const use = this.statistics.useOf(feature, since + TIME_MARGIN_MS, longestMs, (at) =>
      this.provisional.wasRefusedAt(feature, at),
    );
    if (!isCause(evidence, use)) return false;
    this.logCause(evidence, use);
    return true;
  }

  private logCause(evidence: FeatureEvidence, use: FeatureUse): void {
    const { feature, since, longestMs, ranges, beside, otherCrashes } = evidence;
    this.options.log.decide('request.cause', 'Requests that crash replicas have one thing in common.', {
      fingerprint: feature,
      crashes: ranges[0]?.inFlight.length,
      longestMs: Math.round(longestMs),
      inFlight: ranges.map(({ inFlight }) => inFlight.map(describeSample).join(' ')).join(' / '),
      beside: describeSample(beside),
      otherCrashes,
      firstAgoMs: Math.round(this.options.timers.now() - since),
      share: use.share,
      shareAtLeast: use.shareAtLeast,
      soundRuns: Math.round(use.soundRuns),
      chance: chanceOf(evidence, use),
    });
  }

  /**
   * Records that a replica has responded: if it was reported to have crashed, that was wrong. One that is silent may
   * respond to reports, and to nothing else.
   */
  recordResponse(replica: string): void {
    const crash = this.crashes.crashOf(replica);
    if (crash === undefined || crash.isExplained || crash.certainty === EndCertainty.Presumed) return;
    const agoMs = this.options.timers.now() - crash.at;
    if (agoMs > REFUTE_FROM_MS && agoMs < REFUTE_UNTIL_MS) this.refute(replica);
  }

  /**
   * Returns the monotonic time of the end of a replica as far as it may still be refuted, in milliseconds; undefined if
   * none is known.
   */
  unexplainedEnd(replica: string): number | undefined {
    const crash = this.crashes.crashOf(replica);
    return crash === undefined || crash.isExplained ? undefined : crash.at;
  }

  /** Whether the end of a replica is presumed only. */
  isPresumed(replica: string): boolean {
    return this.crashes.crashOf(replica)?.certainty === EndCertainty.Presumed;
  }

  /**
   * Subscribes to replicas that have ended for certain, as this daemon or a peer has found.
   * @param listener - Called with the monotonic time of the end, in milliseconds.
   */
  onEnded(listener: (replica: string, at: number) => void): void {
    this.endedListeners.push(listener);
  }

  /** Subscribes to replicas that turn out to go on. */
  onRefuted(listener: (replica: string) => void): void {
    this.refutedListeners.push(listener);
  }

  /** Records that a replica that was reported to have ended goes on. */
  refute(replica: string): void {
    const row: SuspectRow = { kind: SuspectRowKind.Refuted, replica };
    if (this.merge(row)) this.publish(row);
  }

  /** Refuses what requests share that would be a cause if the ends that are presumed were confirmed. */
  private refuseProvisionally(feature: string): void {
    const until = this.options.timers.now() + PROVISIONAL_MS;
    const replicas = this.crashes.upstreamsOf(feature);
    const row = { ...quarantineRow(feature, replicas, until), isProvisional: true };
    if (this.merge(row)) this.publish(row);
  }

  private handleQuarantine(feature: string, replicas: readonly string[], isShared: boolean): void {
    const entry = this.crashes.quarantineOf(feature);
    if (entry === undefined) return;
    this.logQuarantine(feature, replicas);
    // All daemons find a request from the same reports, so one that reported its crashes is enough to publish it.
    const isReporter = [...this.ownReports.values()].some(({ requests }) =>
      requests.some(({ fingerprint }) => fingerprint === feature),
    );
    if (isReporter || isShared) this.publish(quarantineRow(feature, entry.upstreams, entry.until));
  }

  private logQuarantine(fingerprint: string, replicas: readonly string[]): void {
    this.options.log.decide('request.quarantined', 'Requests that crash replicas are refused for a time.', {
      fingerprint,
      replicas: replicas.join(' '),
      forMs: Math.round(this.remainingMs(fingerprint)),
    });
  }

  private publish(row: SuspectRow): void {
    const { self, cluster, tree, timers } = this.options;
    tree.publish(Topic.Suspect, row);
    const peers = cluster.aliveAddresses().filter((address) => address !== self);
    if (peers.length > MAX_DIRECT_PEERS) return;
    const frames = [encodeSuspect(row, timers.now())];
    for (const address of peers) cluster.send(address, MessageType.Suspects, frames);
  }

  /** Merges a row of a peer; a malformed one does not affect the others. */
  private mergeFrame(frame: SuspectFrame): void {
    const { timers, log } = this.options;
    try {
      this.merge(decodeSuspect(frame, timers.now()));
    } catch (err) {
      log.debug(`Ignored a malformed row about suspects: ${String(err)}.`);
    }
  }

  /**
   * Merges a row.
   * @returns Whether it changed anything.
   */
  private merge(row: SuspectRow): boolean {
    return this.merges[row.kind](row as never);
  }

  private readonly merges: {
    readonly [Kind in SuspectRowKind]: (row: Extract<SuspectRow, { kind: Kind }>) => boolean;
  } = {
    [SuspectRowKind.Crash]: (row) => {
      const { replica, at, certainty, requests, reporter } = row;
      const isNew = this.crashes.add(replica, at, requests, certainty);
      if (isNew && certainty === EndCertainty.Confirmed)
        for (const listener of this.endedListeners) listener(replica, at);
      if (isNew && reporter !== this.options.self) this.contribute(row);
      if (isNew) this.scheduleReview(replica, at);
      return isNew;
    },
    [SuspectRowKind.Cleared]: ({ fingerprint, at }) => this.crashes.clear(fingerprint, at),
    [SuspectRowKind.Quarantine]: (row) => {
      if (row.isProvisional) return this.provisional.add(row);
      const { fingerprint, replicas, until } = row;
      const isNew = this.crashes.addQuarantine(fingerprint, { upstreams: replicas, until });
      if (isNew) this.logQuarantine(fingerprint, replicas);
      return isNew;
    },
    [SuspectRowKind.Refuted]: ({ replica }) => {
      const isNew = this.crashes.refute(replica);
      this.options.detector.forget(replica);
      if (isNew) for (const listener of this.refutedListeners) listener(replica);
      this.ownReports.delete(replica);
      if (isNew)
        this.options.log.decide('replica.crashed', `Replica ${replica} responds, so it has not crashed.`, {
          replica,
          isRefuted: true,
        });
      return isNew;
    },
  };

  /** Number of requests that are refused. */
  get quarantinedCount(): number {
    return this.crashes.quarantined().size;
  }

  private expire(): void {
    this.crashes.expire();
    this.crashes.reviewShared();
    this.provisional.expire((feature) => this.crashes.quarantineOf(feature) !== undefined);
    const oldest = this.options.timers.now() - QUARANTINE_MS;
    for (const [replica, { at }] of this.ownReports) if (at < oldest) this.ownReports.delete(replica);
  }

  private topic(): TopicHandler<SuspectRow> {
    const { timers } = this.options;
    return {
      isUrgent: true,
      keyOf,
      merge: (row) => this.merge(row),
      snapshot: () => [...this.snapshot()],
      encode: (row) => encodeSuspect(row, timers.now()),
      decode: (frame) => decodeSuspect(frame as SuspectFrame, timers.now()),
    };
  }

  /** What a daemon needs to know that has just started. */
  private *snapshot(): Generator<SuspectRow, void, undefined> {
    const { self } = this.options;
    for (const [fingerprint, { upstreams, until }] of this.crashes.quarantined())
      yield quarantineRow(fingerprint, upstreams, until);
    for (const [fingerprint, at] of this.crashes.cleared().slice(0, MAX_SNAPSHOT_ROWS))
      yield { kind: SuspectRowKind.Cleared, fingerprint, at };
    for (const { upstream, at, certainty, requests } of this.crashes.recent().slice(0, MAX_SNAPSHOT_ROWS))
      yield {
        kind: SuspectRowKind.Crash,
        replica: upstream,
        reporter: self,
        at,
        certainty,
        requests: [...requests.values()].slice(0, MAX_REQUESTS),
      };
  }
}

function describeSample({ requests, withFeature }: FeatureSample): string {
  return `${withFeature}/${requests}`;
}

function quarantineRow(fingerprint: string, replicas: readonly string[], until: number): QuarantineRow {
  return { kind: SuspectRowKind.Quarantine, fingerprint, isProvisional: false, replicas, until };
}

function keyOf(row: SuspectRow): string {
  const { kind } = row;
  if (kind === SuspectRowKind.Crash) return `${kind} ${row.replica} ${row.reporter}`;
  if (kind === SuspectRowKind.Refuted) return `${kind} ${row.replica}`;
  return `${kind} ${row.fingerprint}`;
}
