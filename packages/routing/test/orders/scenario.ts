/** Draws the parameters of a simulation from its seed. */
import type { Random } from './random.js';

/** Share of the engines that reject older tokens. */
const FENCED_SHARE = 0.7;
/** Mean interval of events that do not occur. */
const NEVER_MS = 1e9;

/** Kinds of faults in addition to lost and delayed calls. */
export enum ScenarioKind {
  Plain = 'plain',
  /** Some engines accept orders with older tokens; some responses belong to other calls. */
  Harsh = 'harsh',
  /**
   * Some engines accept older tokens; some responses are duplicated, which shifts all later ones on the
   * connection by one. Restarts and new versions occur as in the plain scenario.
   */
  Duplicated = 'duplicated',
  /**
   * Some engines accept older tokens; some responses belong to other calls, also while versions are declared.
   */
  Misattributed = 'misattributed',
  /** The same with two or three misattributed responses in a row. */
  MisattributedInRow = 'misattributedInRow',
}

/** Parameters of a simulation. Times are in milliseconds; intervals are means. */
export interface Scenario {
  /** Whether the engine rejects older tokens. */
  readonly isFenced: boolean;
  /** Share of the orders that receive the response to another call. */
  readonly misattributedShare: number;
  /** Longest sequence of misattributed responses. */
  readonly maxMisattributedInRow: number;
  /** Share of the calls that are answered twice. */
  readonly duplicateShare: number;
  readonly capacity: number;
  /** Number of adapters that are requested. */
  readonly adapters: number;
  /** Shortest and longest load time. */
  readonly loadMs: readonly [number, number];
  readonly requestIntervalMs: number;
  readonly ownerChangeIntervalMs: number;
  readonly restartIntervalMs: number;
  readonly versionIntervalMs: number;
  /** Longest time for which a previous owner keeps its lease after a change of owner. */
  readonly maxOwnerOverlapMs: number;
  /** Longest time until a running request or a new version is reported to an owner. */
  readonly maxReportLagMs: number;
  /** Share of the calls affected by a connection fault. */
  readonly faultShare: number;
}

/**
 * Lets some engines accept older tokens, and misattributes some responses. Engines that accept older tokens
 * do not restart here, and no versions are declared where responses are misattributed: the recorded seeds
 * were run that way.
 */
function addHarshFaults(scenario: Scenario, random: Random): Scenario {
  const isFenced = random.chance(FENCED_SHARE);
  const restartIntervalMs = isFenced ? scenario.restartIntervalMs : NEVER_MS;
  const misattributedShare = random.pick([0, 0.01, 0.05]);
  const versionIntervalMs = misattributedShare === 0 ? scenario.versionIntervalMs : NEVER_MS;
  return {
    ...scenario,
    isFenced,
    restartIntervalMs,
    versionIntervalMs,
    misattributedShare,
  };
}

/** Changes that each kind makes to the plain scenario. */
export const SCENARIOS: Readonly<Record<ScenarioKind, (scenario: Scenario, random: Random) => Scenario>> = {
  [ScenarioKind.Plain]: (scenario) => scenario,
  [ScenarioKind.Harsh]: addHarshFaults,
  [ScenarioKind.Duplicated]: (scenario, random) => ({
    ...scenario,
    isFenced: random.chance(FENCED_SHARE),
    duplicateShare: random.pick([0.01, 0.05, 0.2]),
  }),
  [ScenarioKind.Misattributed]: (scenario, random) => ({
    ...scenario,
    isFenced: random.chance(FENCED_SHARE),
    misattributedShare: 0.05,
  }),
  [ScenarioKind.MisattributedInRow]: (scenario, random) => ({
    ...scenario,
    isFenced: random.chance(FENCED_SHARE),
    misattributedShare: 0.05,
    maxMisattributedInRow: 3,
  }),
};

/** Draws a plain scenario: the engine checks tokens and responses always belong to their calls. */
export function drawScenario(random: Random): Scenario {
  return {
    isFenced: true,
    misattributedShare: 0,
    maxMisattributedInRow: 1,
    duplicateShare: 0,
    capacity: random.pick([3, 5, 8]),
    adapters: random.pick([9, 14, 30]),
    loadMs: random.pick([
      [20, 300],
      [200, 1200],
      [25, 2500],
    ] as const),
    requestIntervalMs: random.pick([15, 40, 90]),
    ownerChangeIntervalMs: random.pick([400, 1200, 5000]),
    restartIntervalMs: random.pick([3000, 8000, NEVER_MS]),
    versionIntervalMs: random.pick([500, 4000, NEVER_MS]),
    maxOwnerOverlapMs: random.pick([3, 300, 1500]),
    maxReportLagMs: random.pick([2, 60, 260]),
    faultShare: random.pick([0, 0.02, 0.1, 0.3]),
  };
}
