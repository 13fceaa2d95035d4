/** Draws a plan from a seed. */
import { createRandom } from '@celeryyoke/routing/testing';

import type { Fault, SoakPlan, SoakSize } from './types.js';
import { FaultKind } from './types.js';

const MS_PER_SECOND = 1000;
/** Share of the seeds whose daemons come up slowly while callers send already. */
const SLOW_START_CHANCE = 0.4;
const SLOW_START_MS = 20_000;
/** Share of the seeds whose callers come back after a failure. */
const RETRIES_CHANCE = 0.7;
const START_MS = 1500;
/** Time that the last daemon has before the traffic of a plan that starts quickly, in milliseconds. */
const SETTLE_MS = 3000;
/** Few adapters are resident on many engines, many on one or none. */
const ADAPTERS = [50, 300, 2000] as const;
/** Kinds that make callers' requests fail, so that daemons reserve retries. */
const FAILURES = [FaultKind.Shed, FaultKind.Errors, FaultKind.Reset, FaultKind.Hang] as const;
/** Kinds by which replicas declare something; drawn apart from the others, so that these stay the same. */
const DECLARATIONS = [FaultKind.Backoff, FaultKind.Leave] as const;
/** Kinds by which replicas seem to deny that they ran a request. */
const FALSE_DENIALS = [FaultKind.ExtraResponses, FaultKind.UnprovedRefusals] as const;
/** Kinds that cut daemons off from all replicas. */
const CUTS = [FaultKind.CutHang, FaultKind.CutReset, FaultKind.CutRefuse] as const;
/** Kinds that were added later and are drawn apart, so that the others stay the same for a seed. */
const LATER: readonly FaultKind[] = [
  ...DECLARATIONS,
  ...CUTS,
  FaultKind.CrashingRequest,
  FaultKind.CrashingPart,
  FaultKind.Brittle,
  FaultKind.Upgrade,
  FaultKind.StopReplicas,
  FaultKind.CutMuteOpen,
  FaultKind.Reconfigure,
  FaultKind.Drill,
  FaultKind.LateLoop,
  FaultKind.GiveUp,
  FaultKind.ExtraResponses,
  FaultKind.UnprovedRefusals,
  FaultKind.KillFleet,
];
const OTHERS = Object.values(FaultKind).filter((kind) => !LATER.includes(kind));
/** Mean time between two faults, in seconds. */
const SECONDS_PER_FAULT = 4;
/** Time for which a declaration holds, in milliseconds: longer than daemons may use a replica that leaves. */
const MIN_DECLARED_MS = 3500;
const MAX_DECLARED_MS = 9000;
/** Mean time between two cuts of daemons from all replicas, in milliseconds. */
const MS_PER_CUT = 12_000;
const MIN_CUT_MS = 5000;
const MAX_CUT_MS = 12_000;
/** Mean time between two times in which the plain replicas are brittle, and how long these last, in milliseconds. */
const MS_PER_BRITTLE = 20_000;
const MIN_BRITTLE_MS = 5000;
const MAX_BRITTLE_MS = 9000;
/** Mean time between two times in which all replicas are stopped, and how long these last, in milliseconds. */
const MS_PER_STOP = 8000;
const MIN_STOP_MS = 500;
const MAX_STOP_MS = 2500;
/** Time around the beginning of such a stop at which a configuration comes into force, in milliseconds. */
const CONFIGURED_AROUND_MS = 600;
/** Mean time between two drills of the store, and how long it is away, in milliseconds. */
const MS_PER_DRILL = 8000;
const MIN_AWAY_MS = 300;
const MAX_AWAY_MS = 1500;
/** Mean time between two times at which event loops are late, and how long these last, in milliseconds. */
const MS_PER_LATE_LOOP = 8000;
const MAX_LATE_MS = 4000;
/** How long replicas seem to deny runs, in milliseconds. */
const MIN_FALSE_DENIAL_MS = 1000;
const MAX_FALSE_DENIAL_MS = 4000;
/** Mean time between two callers whose request crashes replicas, in milliseconds. */
const MS_PER_CRASHING_REQUEST = 10_000;
/** Mean time between two times in which requests have a part that ends engines, in milliseconds. */
const MS_PER_CRASHING_PART = 20_000;
/** Mean time between two times at which engines get another software version, in milliseconds. */
const MS_PER_UPGRADE = 7000;
/** Shortest time for which such a caller comes again, in milliseconds: longer than the check's grace time. */
const MIN_CRASHING_MS = 6000;

/**
 * Draws a plan. Replicas refuse requests for most of the time, so that the budget binds; other faults overlap with that.
 * @param seed - The same seed and size give the same plan.
 * @param size - How large the run is.
 * @returns The plan.
 */
export function createPlan(seed: number, size: SoakSize): SoakPlan {
  const random = createRandom(`soak-${seed}`);
  const isSlowStart = random.chance(SLOW_START_CHANCE);
  const startSpreadMs = isSlowStart ? SLOW_START_MS : START_MS;
  const lengthMs = size.seconds * MS_PER_SECOND;
  const draw = (kinds: readonly FaultKind[], longestMs: number): Fault => {
    const atMs = Math.round(random.between(0, lengthMs));
    const forMs = Math.round(random.between(500, longestMs));
    return { kind: random.pick(kinds), atMs, forMs, share: random.between(0.1, 0.9) };
  };
  const count = Math.max(2, Math.round(size.seconds / SECONDS_PER_FAULT));
  const failures = Array.from({ length: count }, () => draw(FAILURES, lengthMs / 2));
  const others = Array.from({ length: count }, () => draw(OTHERS, lengthMs / 4));
  return {
    ...size,
    seed,
    startSpreadMs,
    trafficAfterMs: isSlowStart ? START_MS : startSpreadMs + SETTLE_MS,
    adapters: random.pick(ADAPTERS),
    hasRetries: random.chance(RETRIES_CHANCE),
    faults: [
      ...failures,
      ...others,
      ...drawDeclarations(seed, lengthMs),
      ...drawCrashing(FaultKind.CrashingRequest, `soak-crashing-${seed}`, MS_PER_CRASHING_REQUEST, lengthMs),
      ...drawCrashing(FaultKind.CrashingPart, `soak-crashing-parts-${seed}`, MS_PER_CRASHING_PART, lengthMs),
      ...drawCuts(seed, lengthMs),
      ...drawBrittle(seed, lengthMs),
      ...drawUpgrades(seed, lengthMs),
      ...drawStops(seed, lengthMs),
      ...drawDrills(seed, lengthMs),
      ...drawLateLoops(seed, lengthMs),
      ...drawFalseDenials(seed, lengthMs),
    ].sort((left, right) => left.atMs - right.atMs),
  };
}

/** Draws cuts of daemons from all replicas, in series that may overlap. */
function drawCuts(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-cuts-${seed}`);
  const count = Math.max(1, Math.round(lengthMs / MS_PER_CUT));
  return Array.from({ length: count }, () => ({
    kind: random.pick(CUTS),
    atMs: Math.round(random.between(0, lengthMs - MIN_CUT_MS)),
    forMs: Math.round(random.between(MIN_CUT_MS, MAX_CUT_MS)),
    share: random.between(0.1, 0.6),
  }));
}

/** Draws callers whose requests crash replicas, in series that may overlap. */
function drawCrashing(kind: FaultKind, seed: string, meanIntervalMs: number, lengthMs: number): Fault[] {
  const random = createRandom(seed);
  const count = Math.max(1, Math.round(lengthMs / meanIntervalMs));
  return Array.from({ length: count }, () => ({
    kind,
    atMs: Math.round(random.between(0, lengthMs / 2)),
    forMs: Math.round(random.between(MIN_CRASHING_MS, lengthMs / 2)),
    share: random.between(0, 1),
  }));
}

/** Draws times in which plain replicas are brittle, one after the other. */
function drawBrittle(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-brittle-${seed}`);
  const count = Math.max(1, Math.floor(lengthMs / MS_PER_BRITTLE));
  return Array.from({ length: count }, (_, index) => ({
    kind: FaultKind.Brittle,
    atMs: Math.round(index * MS_PER_BRITTLE + random.between(0, MS_PER_BRITTLE - MAX_BRITTLE_MS)),
    forMs: Math.round(random.between(MIN_BRITTLE_MS, MAX_BRITTLE_MS)),
    share: 1,
  }));
}

/** Draws times at which a part of the engines gets another software version; in the last, all of them do. */
function drawUpgrades(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-upgrades-${seed}`);
  const count = Math.max(2, Math.round(lengthMs / MS_PER_UPGRADE));
  return Array.from({ length: count }, (_, index) => ({
    kind: FaultKind.Upgrade,
    atMs: Math.round(((index + random.between(0, 1)) / count) * lengthMs),
    forMs: 0,
    share: index === count - 1 ? 1 : random.between(0.2, 0.5),
  }));
}

/**
 * Draws times in which all replicas are stopped, which may overlap, configurations beside them, and a time from which
 * on open connections are silent.
 */
function drawStops(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-stops-${seed}`);
  const count = Math.max(1, Math.round(lengthMs / MS_PER_STOP));
  const draw = (kind: FaultKind, share: number): Fault => ({
    kind,
    atMs: Math.round(random.between(0, lengthMs - MAX_STOP_MS)),
    forMs: Math.round(random.between(MIN_STOP_MS, MAX_STOP_MS)),
    share,
  });
  const stops = Array.from({ length: count }, () => draw(FaultKind.StopReplicas, 1));
  const configurations = stops.map(({ atMs }) => ({
    kind: FaultKind.Reconfigure,
    atMs: Math.max(0, atMs + Math.round(random.between(-CONFIGURED_AROUND_MS, CONFIGURED_AROUND_MS))),
    forMs: 0,
    share: 1,
  }));
  return [...stops, draw(FaultKind.CutMuteOpen, random.between(0.3, 1)), ...configurations];
}

/** Draws drills of the store, and configurations around them. */
function drawDrills(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-drills-${seed}`);
  const count = Math.max(1, Math.round(lengthMs / MS_PER_DRILL));
  const drills = Array.from({ length: count }, () => ({
    kind: FaultKind.Drill,
    atMs: Math.round(random.between(0, lengthMs - MAX_AWAY_MS)),
    forMs: Math.round(random.between(MIN_AWAY_MS, MAX_AWAY_MS)),
    share: random.between(0, 1),
  }));
  const configurations = drills.map(({ atMs }) => ({
    kind: FaultKind.Reconfigure,
    atMs: Math.max(0, atMs + Math.round(random.between(-MAX_AWAY_MS, 2 * MAX_AWAY_MS))),
    forMs: 0,
    share: 1,
  }));
  return [...drills, ...configurations];
}

/** Draws times at which event loops of daemons are late, and callers that give up meanwhile. */
function drawLateLoops(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-late-loops-${seed}`);
  const count = Math.max(1, Math.round(lengthMs / MS_PER_LATE_LOOP));
  return Array.from({ length: count }).flatMap(() => {
    const time = {
      atMs: Math.round(random.between(0, lengthMs - MAX_LATE_MS)),
      forMs: Math.round(random.between(0, MAX_LATE_MS)),
    };
    return [
      { ...time, kind: FaultKind.LateLoop, share: random.between(0.1, 0.4) },
      { ...time, kind: FaultKind.GiveUp, share: random.between(0.2, 0.6) },
    ];
  });
}

/** Draws times in which replicas seem to deny runs. */
function drawFalseDenials(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-false-denials-${seed}`);
  return FALSE_DENIALS.map((kind) => ({
    kind,
    atMs: Math.round(random.between(0, lengthMs - MAX_FALSE_DENIAL_MS)),
    forMs: Math.round(random.between(MIN_FALSE_DENIAL_MS, MAX_FALSE_DENIAL_MS)),
    share: random.between(0.2, 0.6),
  }));
}

function drawDeclarations(seed: number, lengthMs: number): Fault[] {
  const random = createRandom(`soak-declarations-${seed}`);
  return DECLARATIONS.flatMap((kind) =>
    Array.from({ length: Math.max(1, Math.round(lengthMs / MAX_DECLARED_MS / 2)) }, () => ({
      kind,
      atMs: Math.round(random.between(0, lengthMs / 2)),
      forMs: Math.round(random.between(MIN_DECLARED_MS, MAX_DECLARED_MS)),
      share: random.between(0.1, 0.6),
    })),
  );
}
