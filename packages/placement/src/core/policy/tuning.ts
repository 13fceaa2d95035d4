/** Constants of the policy that were settled by measurement; the bench varies them. */

/** The policy's constants. */
export interface PolicyTuning {
  /** Windows of the popularity counters in requests of the site, shortest first. */
  readonly windows: readonly number[];
  /** Requests over which the windows are compared. */
  readonly memory: number;
  /** How many adapters are counted at most. */
  readonly counters: number;
  /** Power of the number of waiting requests when loads are ordered. */
  readonly countPower: number;
  /** Time that the store takes for one load, in milliseconds. */
  readonly loadMs: number;
  /** Share of the time of the whole queue after which a load goes first. */
  readonly passShare: number;
  /** Least age at which a load goes first, in milliseconds. */
  readonly passLeastMs: number;
  /** A deadline that is nearer than this raises a load, in milliseconds. */
  readonly nearDeadlineMs: number;
  /** How much a near deadline raises a load. */
  readonly nearDeadlineFactor: number;
  /** Factor of popularity, as a power of two, given up for company while the store keeps up. */
  readonly companyLeast: number;
  /** The same while the store can't keep up. */
  readonly companyMost: number;
  /** Waiting loads at which the store is taken to be unable to keep up. */
  readonly companyBacklog: number;
  /** Requests a second by which a prefetched adapter must surpass the one that it replaces. */
  readonly prefetchGain: number;
}

/** The constants in use. */
export const DEFAULT_TUNING: PolicyTuning = {
  windows: [50, 200, 800, 20_000],
  memory: 60,
  counters: 4096,
  countPower: 0.3,
  loadMs: 500,
  passShare: 0.9,
  passLeastMs: 10_000,
  nearDeadlineMs: 5000,
  nearDeadlineFactor: 4,
  companyLeast: 0.25,
  companyMost: 4,
  companyBacklog: 40,
  prefetchGain: 0.01,
};
