/**
 * Retries stay within their allowance for each shape of load beside each fault: the most arrivals in any window against
 * what is allowed, while all daemons retry as often as they may.
 */
import test from 'ava';

import { RetryingFleet } from './fleet.js';
import type { RetryBounds, RetryWindow } from './rule.js';

/** A fleet and its load. */
interface Site {
  readonly daemons: number;
  readonly requestsPerSecond: number;
  readonly bounds: RetryBounds;
}

const SITES: readonly Site[] = [
  { daemons: 8, requestsPerSecond: 90, bounds: { ratio: 0.2, windowMs: 10_000, slack: 56 } },
  { daemons: 78, requestsPerSecond: 340, bounds: { ratio: 0.2, windowMs: 10_000, slack: 196 } },
];
/** Number of daemons from which on CI plays few cells; set the variable to play all. */
const LARGE = 50;
const ALL_CELLS = process.env.CELERYYOKE_ALL_CELLS === '1';
/** Time in which the daemons get requests and send no retries, in milliseconds. */
const CALM_MS = 12_000;
/** Time from the first change of the load to the first retry, in milliseconds: the first burst is over. */
const FIRST_RETRY_MS = 500;
/** Time in which the daemons retry before the fault, in milliseconds. */
const SPENDING_MS = 500;
const RESTART_MS = 800;
const FAULT_MS = 9000;
const AFTER_FAULT_MS = 12_000;
const STEP_MS = 100;
/** Time between two bursts, in milliseconds: two are in one window, and no half window contains both. */
const BURST_INTERVAL_MS = 7000;
const BURST_MS = 500;
const BURST_FACTOR = 10;

const ENDING = 'bursts that end';
/** Factor by which the load differs from the calm, by the time since then in milliseconds. */
const SHAPES = {
  even: () => 1,
  burst: () => BURST_FACTOR,
  [ENDING]: (ms) => (ms % BURST_INTERVAL_MS < BURST_MS ? BURST_FACTOR : 1),
  none: () => 0,
} satisfies Record<string, (ms: number) => number>;

/** Begins a fault of some daemons, and ends it. */
interface Fault {
  readonly begin: (run: RetryingFleet, targets: readonly number[]) => void;
  readonly end: (run: RetryingFleet, targets: readonly number[]) => Promise<void> | void;
  readonly forMs: number;
}

async function restart(run: RetryingFleet, targets: readonly number[]): Promise<void> {
  for (const target of targets) await run.restart(target);
}

function kill({ fleet }: RetryingFleet, targets: readonly number[]): void {
  for (const target of targets) fleet.daemon(target).kill();
}

function others({ fleet }: RetryingFleet, targets: readonly number[]): string[] {
  const addresses = new Set(targets.map((target) => fleet.addressOf(target)));
  return [...fleet.daemons.keys()].filter((address) => !addresses.has(address));
}

function split(run: RetryingFleet, targets: readonly number[]): void {
  run.fleet.network.partition(
    targets.map((target) => run.fleet.addressOf(target)),
    others(run, targets),
  );
}

const FAULTS = {
  'no fault': { begin: () => undefined, end: () => undefined, forMs: FAULT_MS },
  killed: { begin: kill, end: restart, forMs: RESTART_MS },
  down: { begin: kill, end: restart, forMs: FAULT_MS },
  frozen: {
    begin: ({ fleet }, targets) => {
      for (const target of targets) fleet.network.freeze(fleet.addressOf(target));
    },
    end: ({ fleet }, targets) => {
      for (const target of targets) fleet.network.thaw(fleet.addressOf(target));
    },
    forMs: FAULT_MS,
  },
  cut: {
    begin: (run, targets) => {
      for (const target of targets) split(run, [target]);
    },
    end: ({ fleet }) => fleet.network.heal(),
    forMs: FAULT_MS,
  },
  split: { begin: split, end: ({ fleet }) => fleet.network.heal(), forMs: FAULT_MS },
} satisfies Record<string, Fault>;

/** Number of groups in which a fault takes its targets: all at one moment, or one group after another. */
const GROUPS = { 'at one moment': 1, 'in series': 4 };

/** Runs the load up to a time since the calm, in milliseconds. */
async function runUntil(
  run: RetryingFleet,
  site: Site,
  shape: (ms: number) => number,
  until: number,
): Promise<void> {
  for (let at = run.fleet.timers.now() - run.calmUntil; at < until; at += STEP_MS) {
    run.setLoad(site.requestsPerSecond * shape(at));
    await run.run(Math.min(STEP_MS, until - at));
  }
}

/** Three quarters of the daemons, in groups. */
function targetGroups({ daemons }: Site, groups: number): number[][] {
  const targets = Array.from({ length: Math.floor((daemons * 3) / 4) }, (_, index) => index);
  const size = Math.ceil(targets.length / groups);
  return Array.from({ length: groups }, (_, group) => targets.slice(group * size, (group + 1) * size));
}

async function play(
  site: Site,
  shape: (ms: number) => number,
  fault: Fault,
  groups: number,
  firstArrivalDelayMs = 0,
): Promise<RetryWindow> {
  const run = new RetryingFleet(site.bounds);
  run.arrivalDelayMs = firstArrivalDelayMs;
  run.setLoad(site.requestsPerSecond);
  run.isRetrying = false;
  await run.startStaggered(site.daemons, 300);
  await run.run(CALM_MS);
  run.calmUntil = run.fleet.timers.now();
  await runUntil(run, site, shape, FIRST_RETRY_MS);
  run.isRetrying = true;
  let at = FIRST_RETRY_MS + SPENDING_MS;
  await runUntil(run, site, shape, at);
  for (const targets of targetGroups(site, groups)) {
    fault.begin(run, targets);
    run.arrivalDelayMs = 0;
    at += fault.forMs / groups;
    await runUntil(run, site, shape, at);
    // In series, the next group is hit while the load still has its shape.
    await fault.end(run, targets);
  }
  await runUntil(run, site, shape, at + AFTER_FAULT_MS);
  return run.worstWindow();
}

function describe({ retries, requests, allowed }: RetryWindow): string {
  return `${retries} retries for ${requests} requests, allowed ${allowed.toFixed(0)}`;
}

/** One cell of the table. */
interface Cell {
  readonly site: Site;
  readonly shapeName: string;
  readonly shape: (ms: number) => number;
  readonly faultName: string;
  readonly fault: Fault;
  readonly order: string;
  readonly groups: number;
}

function* allCells(): Generator<Cell> {
  for (const site of SITES)
    for (const [shapeName, shape] of Object.entries(SHAPES))
      for (const [faultName, fault] of Object.entries<Fault>(FAULTS))
        for (const [order, groups] of Object.entries(GROUPS))
          yield { site, shapeName, shape, faultName, fault, order, groups };
}

/** Whether CI plays a cell: those of a large fleet take minutes, so it plays the one that is hardest to bound. */
function isPlayed({ site, shapeName, faultName }: Cell): boolean {
  return ALL_CELLS || site.daemons < LARGE || (shapeName === ENDING && faultName === 'killed');
}

// Guards against retries whose requests came in bursts, or to daemons that ended since, exceeding the allowance of a window.
for (const { site, shapeName, shape, faultName, fault, order, groups } of [...allCells()].filter(isPlayed))
  test(`retries of ${site.daemons} daemons, load: ${shapeName}, fault: ${faultName}, ${order}`, async (t) => {
    const worst = await play(site, shape, fault, groups);
    t.log(describe(worst));
    t.true(worst.retries <= worst.allowed);
  });

/** Time that retries from before the fault take to arrive, in milliseconds: their replica is hard to reach. */
const ARRIVAL_DELAY_MS = 4000;

// Guards against retries that are under way when their process ends, and that nobody counts when they arrive.
for (const [shapeName, shape] of Object.entries(SHAPES))
  for (const [faultName, fault] of Object.entries<Fault>(FAULTS))
    test(`retries that arrive late, load: ${shapeName}, fault: ${faultName}`, async (t) => {
      const worst = await play(SITES[0]!, shape, fault, 1, ARRIVAL_DELAY_MS);
      t.log(describe(worst));
      t.true(worst.retries <= worst.allowed);
    });
