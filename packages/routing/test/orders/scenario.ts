/** What happens in a play of orders to an engine, drawn from its seed. */
import type { Random } from './random.js';

/** Share of the engines that refuse older tokens. */
const FENCED_SHARE = 0.7;
/** Mean time between events that do not come. */
const NEVER_MS = 1e9;

/** What a play adds to the ordinary trouble. */
export enum PlayKind {
  Plain = 'plain',
  /** Engines that take orders with older tokens, and answers to other calls in place of an order's own. */
  Harsh = 'harsh',
  /** The same engines, which also start again, and answers that are sent twice and put all later ones off by one. */
  Shifted = 'shifted',
  /** The same engines, versions, and answers to other calls in place of an order's own. */
  Replaced = 'replaced',
  /** The same with two or three such answers in a row. */
  ReplacedInRow = 'replacedInRow',
}

/** What a seed draws for a play; times are in milliseconds, those between events are means. */
export interface Plan {
  /** Whether the engine refuses older tokens. */
  readonly isFenced: boolean;
  /** Share of the orders that get the answer to another call. */
  readonly otherAnswers: number;
  /** How many orders in a row get one, at most. */
  readonly inRow: number;
  /** Share of the calls that are answered twice. */
  readonly answeredTwice: number;
  readonly places: number;
  /** Adapters that requests ask for. */
  readonly adapters: number;
  /** Shortest and longest load. */
  readonly loadMs: readonly [number, number];
  readonly betweenRequestsMs: number;
  readonly betweenKeepersMs: number;
  readonly betweenRestartsMs: number;
  readonly betweenVersionsMs: number;
  /** Longest time until a former owner hears of its successor. */
  readonly deafMs: number;
  /** Longest time until an owner hears of a request that runs, or of a version. */
  readonly lagMs: number;
  /** Share of the calls that something happens to. */
  readonly trouble: number;
}

/**
 * What may happen besides: engines that take orders with older tokens, and answers that belong to other calls. Such engines
 * do not start again here, and no versions are declared where answers get mixed up: the kept seeds were played so.
 */
function harshen(plan: Plan, random: Random): Plan {
  const isFenced = random.chance(FENCED_SHARE);
  const betweenRestartsMs = isFenced ? plan.betweenRestartsMs : NEVER_MS;
  const otherAnswers = random.pick([0, 0.01, 0.05]);
  const betweenVersionsMs = otherAnswers === 0 ? plan.betweenVersionsMs : NEVER_MS;
  return { ...plan, isFenced, betweenRestartsMs, betweenVersionsMs, otherAnswers };
}

/** What each kind of play changes in a plan. */
export const KINDS: Readonly<Record<PlayKind, (plan: Plan, random: Random) => Plan>> = {
  [PlayKind.Plain]: (plan) => plan,
  [PlayKind.Harsh]: harshen,
  [PlayKind.Shifted]: (plan, random) => ({
    ...plan,
    isFenced: random.chance(FENCED_SHARE),
    answeredTwice: random.pick([0.01, 0.05, 0.2]),
  }),
  [PlayKind.Replaced]: (plan, random) => ({
    ...plan,
    isFenced: random.chance(FENCED_SHARE),
    otherAnswers: 0.05,
  }),
  [PlayKind.ReplacedInRow]: (plan, random) => ({
    ...plan,
    isFenced: random.chance(FENCED_SHARE),
    otherAnswers: 0.05,
    inRow: 3,
  }),
};

/**
 * Draws what happens on an engine that checks tokens and on connections whose answers are those to their calls.
 * @param random - Draws.
 * @returns The plan of a plain play.
 */
export function drawPlan(random: Random): Plan {
  return {
    isFenced: true,
    otherAnswers: 0,
    inRow: 1,
    answeredTwice: 0,
    places: random.pick([3, 5, 8]),
    adapters: random.pick([9, 14, 30]),
    loadMs: random.pick([
      [20, 300],
      [200, 1200],
      [25, 2500],
    ] as const),
    betweenRequestsMs: random.pick([15, 40, 90]),
    betweenKeepersMs: random.pick([400, 1200, 5000]),
    betweenRestartsMs: random.pick([3000, 8000, NEVER_MS]),
    betweenVersionsMs: random.pick([500, 4000, NEVER_MS]),
    deafMs: random.pick([3, 300, 1500]),
    lagMs: random.pick([2, 60, 260]),
    trouble: random.pick([0, 0.02, 0.1, 0.3]),
  };
}
