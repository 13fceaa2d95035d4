/** Checks of the promises, from what callers and replicas saw. */
import type { RetryWindow } from '@celeryyoke/routing/testing';
import { RetryRecord } from '@celeryyoke/routing/testing';

import type { CallerAttempt, ConfigProbe } from '../callers/index.js';
import { CallerOutcome } from '../callers/index.js';
import type {
  Abandonment,
  Arrival,
  Interruption,
  ReplicaCrash,
  ReplicaFall,
  VersionChange,
} from '../replicas/index.js';
import { ENGINE_SERVICE, PLAIN_SERVICE, REPEAT_BOUNDS } from '../site/index.js';
import type { StoreDrill } from '../site/index.js';
import { checkAbandoned } from './abandoned.js';
import type { BrittleTime, TooManyFalls } from './brittle.js';
import { checkFalls } from './brittle.js';
import type { CrashingViolation } from './crashes.js';
import { checkCrashing, checkRefusedBeside } from './crashes.js';
import type { CutFigures, DaemonCut } from './cuts.js';
import { checkCuts, measureCuts } from './cuts.js';
import type { JoinedStream, TakeUpFigures } from './continuations.js';
import { checkJoined, checkTakeUps, measureTakeUps } from './continuations.js';
import type { Excuses, HostViolation } from './declarations.js';
import type { DepartedRequest } from './departed.js';
import { checkDeparted } from './departed.js';
import { checkConfigs, checkDrills } from './drills.js';
import { checkBackoffs, checkLeaving } from './declarations.js';
import { allDisturbances } from './disturbances.js';

/** What a run showed of the retries of one service. */
export interface RepeatFigures {
  readonly service: string;
  readonly requests: number;
  readonly arrivals: number;
  readonly repeats: number;
  /** The window with the most retries beyond what is allowed, or the fewest below; undefined without any retry. */
  readonly worst: RetryWindow | undefined;
  /** Windows beyond what is allowed that do not overlap. */
  readonly violations: readonly RetryWindow[];
}

/** What a run showed. */
export interface SoakFigures {
  readonly repeats: readonly RepeatFigures[];
  /** Requests that may run once and ran more often. */
  readonly ranTwice: readonly string[];
  /** Requests that ran although their callers were promised that they did not. */
  readonly ranThoughRefused: readonly string[];
  /** Requests that were sent on to a replica long after it had told the same daemon that it leaves. */
  readonly sentToLeaving: readonly HostViolation[];
  /** Backoffs in which a replica got more from the daemon that it had asked than is tolerated. */
  readonly sentInBackoff: readonly HostViolation[];
  /** Requests that reached replicas again and again although several had crashed under them. */
  readonly sentThoughCrashing: readonly CrashingViolation[];
  /** Requests that were refused for crashes that they did not cause. */
  readonly refusedBeside: readonly string[];
  /** Times in which daemons without links to replicas served their callers far worse than the others. */
  readonly badlyServedInCuts: readonly CutFigures[];
  /** Times in which too many brittle replicas fell over. */
  readonly tooManyFalls: readonly TooManyFalls[];
  /** Streams with events of several software versions, or with events that are missing or come twice. */
  readonly joinedStreams: readonly JoinedStream[];
  /** Requests that daemons left while sound replicas worked on them. */
  readonly abandoned: readonly Abandonment[];
  /** Figures of streams that callers took up, if these went on far more seldom than new streams began. */
  readonly lostTakeUps: readonly TakeUpFigures[];
  /** Requests that reached replicas long after their callers had left, if they are more than a few. */
  readonly sentAfterLeaving: readonly DepartedRequest[];
  /** Probes that were answered as only an older configuration allows. */
  readonly lateConfigs: readonly ConfigProbe[];
  /** Drills after which the store was asked too often for a history that it did not have. */
  readonly busyDrills: readonly StoreDrill[];
}

/** What callers and replicas saw. */
export interface SoakRecord {
  /** What callers sent and got. */
  readonly attempts: readonly CallerAttempt[];
  /** What replicas read. */
  readonly arrivals: readonly Arrival[];
  readonly crashes: readonly ReplicaCrash[];
  /** Times in which daemons were cut off from all replicas. */
  readonly cuts: readonly DaemonCut[];
  readonly falls: readonly ReplicaFall[];
  /** Times in which the plain replicas were brittle. */
  readonly brittleTimes: readonly BrittleTime[];
  readonly versionChanges: readonly VersionChange[];
  /** Requests whose connections were closed while sound replicas worked on them. */
  readonly abandonments: readonly Abandonment[];
  /** Times in which replicas treated most of their requests badly, or said that they leave. */
  readonly misbehaviours: readonly Interruption[];
  readonly configProbes: readonly ConfigProbe[];
  readonly drills: readonly StoreDrill[];
  readonly daemonCount: number;
}

/** Figures of a run that are shown whether or not they are good enough. */
export interface RunMeasurements {
  readonly cuts: readonly CutFigures[];
  readonly takeUps: TakeUpFigures;
}

const NO_EXCUSES: Excuses = { outages: [], interruptions: [] };

/** Measures how callers fared in cuts, and with streams that they took up. */
export function measureRun(record: SoakRecord, excuses: Excuses): RunMeasurements {
  const { attempts, arrivals, cuts } = record;
  return {
    cuts: measureCuts(attempts, arrivals, cuts, allDisturbances(excuses)),
    takeUps: measureTakeUps(record, excuses),
  };
}

/**
 * Checks a run.
 * @param record - What callers and replicas saw.
 * @param excuses - Faults that excuse a daemon.
 * @param measured - What {@link measureRun} returns for both.
 * @returns What it showed.
 */
export function checkRun(
  record: SoakRecord,
  excuses: Excuses = NO_EXCUSES,
  measured = measureRun(record, excuses),
): SoakFigures {
  const { attempts, arrivals, crashes, falls, brittleTimes, abandonments, cuts } = record;
  const runs = new Map<string, number>();
  for (const { request, hasRun } of arrivals) if (hasRun) runs.set(request, (runs.get(request) ?? 0) + 1);
  const once = attempts.filter(({ route }) => route.kind !== 'safe' && !route.isResumable);
  const refused = attempts.filter(({ outcome }) => outcome === CallerOutcome.Refused);
  return {
    repeats: [ENGINE_SERVICE, PLAIN_SERVICE].map((service) => checkRepeats(service, attempts, arrivals)),
    ranTwice: once.filter(({ id }) => (runs.get(id) ?? 0) > 1).map(({ id }) => id),
    ranThoughRefused: refused
      .filter(({ id, route }) => route.kind !== 'safe' && !route.isResumable && runs.has(id))
      .map(({ id }) => id),
    sentToLeaving: checkLeaving(attempts, arrivals, excuses),
    sentInBackoff: checkBackoffs(attempts, arrivals, excuses),
    sentThoughCrashing: checkCrashing(attempts, arrivals, crashes, excuses.outages),
    refusedBeside: checkRefusedBeside(attempts),
    badlyServedInCuts: checkCuts(measured.cuts),
    tooManyFalls: checkFalls(attempts, falls, brittleTimes, excuses.outages),
    joinedStreams: checkJoined(attempts),
    abandoned: checkAbandoned(attempts, abandonments, cuts, allDisturbances(excuses)),
    lostTakeUps: checkTakeUps(measured.takeUps),
    sentAfterLeaving: checkDeparted(attempts, arrivals, {
      outages: allDisturbances(excuses),
      cuts,
      interruptions: excuses.interruptions,
    }),
    lateConfigs: checkConfigs(record.configProbes, allDisturbances(excuses), record.drills),
    busyDrills: checkDrills(record.drills, record.daemonCount),
  };
}

/** Whether a run broke no promise. */
export function isClean({ repeats, ...broken }: SoakFigures): boolean {
  const areRepeatsWithin = repeats.every(({ violations }) => violations.length === 0);
  return areRepeatsWithin && Object.values(broken).every((found) => found.length === 0);
}

function checkRepeats(
  service: string,
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
): RepeatFigures {
  const record = new RetryRecord();
  const own = new Map(
    attempts.filter(({ route }) => route.service === service).map((sent) => [sent.id, sent]),
  );
  for (const { sentAt } of own.values()) record.recordRequest(sentAt);
  const arrived = arrivals.filter(({ request }) => own.has(request));
  for (const { request, at } of arrived) record.recordArrival(request, at);
  const windows = record.windows(REPEAT_BOUNDS);
  return {
    service,
    requests: own.size,
    arrivals: arrived.length,
    repeats: record.retryTimes().length,
    worst: windows[0],
    violations: withoutOverlap(windows.filter(({ retries: repeats, allowed }) => repeats > allowed)),
  };
}

/** Keeps the worst of windows that overlap. */
function withoutOverlap(windows: readonly RetryWindow[]): RetryWindow[] {
  const kept: RetryWindow[] = [];
  for (const window of windows) {
    const isApart = kept.every(({ from }) => Math.abs(from - window.from) >= REPEAT_BOUNDS.windowMs);
    if (isApart) kept.push(window);
  }
  return kept;
}
