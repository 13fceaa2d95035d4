/** Cost of the reports of a large fleet about engines that end together. */
import { EndCertainty } from '@celeryyoke/core';
import test from 'ava';

import type { CrashRow } from '../src/index.js';
import { SuspectRowKind } from '../src/index.js';
import { SuspectFleet } from './suspect-fleet.js';

const DAEMONS = 62;
const ENGINES = 17;
/** First and second parts that requests share. */
const FIRST_PARTS = 3;
const SECOND_PARTS = 60;
/** Times at which engines end together. */
const WAVES = 3;
const BETWEEN_WAVES_MS = 2000;
/** Time in which the reports of all daemons arrive, in milliseconds. */
const REPORTED_WITHIN_MS = 150;
/** Time after the last report in which they are weighed, in milliseconds. */
const WEIGHED_WITHIN_MS = 400;
const STEP_MS = 10;
/** Processor time of the smallest daemon, in cores. */
const SMALLEST_SHARE = 0.324;
/** The same in the time after which a fleet counts as stable, 3 s. */
const MAX_CPU_MS = 3000 * SMALLEST_SHARE;

/** Reports of all daemons, each with one request in flight at each engine that ends in a wave. */
function reportsAt(now: number, wave = 0): CrashRow[] {
  return Array.from({ length: DAEMONS * ENGINES }, (_, number) => {
    const ageMs = (number * 37) % 1500;
    const parts = [`first ${number % FIRST_PARTS}`, `second ${(number * 7) % SECOND_PARTS}`];
    const request = {
      fingerprint: `request ${wave} ${number}`,
      shared: parts.map((feature) => ({ feature })),
      sentAt: now - ageMs - 150,
      beganAt: now - ageMs,
    };
    return {
      kind: SuspectRowKind.Crash,
      replica: `engine-${wave}-${number % ENGINES}`,
      reporter: `daemon-${Math.floor(number / ENGINES)}`,
      at: now,
      certainty: EndCertainty.Confirmed,
      requests: [request],
    };
  });
}

/** Runs something and returns the processor time that it takes, in milliseconds. */
async function cpuMsOf(run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}

async function advanceBySteps({ timers }: SuspectFleet, ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) await timers.advance(STEP_MS);
}

async function mergeReports(fleet: SuspectFleet, wave = 0): Promise<void> {
  const reports = reportsAt(fleet.timers.now(), wave);
  const perStep = Math.ceil((reports.length * STEP_MS) / REPORTED_WITHIN_MS);
  for (let index = 0; index < reports.length; index += perStep) {
    for (const row of reports.slice(index, index + perStep)) fleet.mergeAt(0, row);
    await fleet.timers.advance(STEP_MS);
  }
}

// Guards against event loops that stand still when many engines end, as each report has everything weighed again.
test.serial(
  'reports of a large fleet about engines that end together are handled within a share of a core',
  async (t) => {
    const fleet = new SuspectFleet(1);
    await fleet.timers.advance(10_000);
    const cpuMs = await cpuMsOf(async () => {
      await mergeReports(fleet);
      await advanceBySteps(fleet, WEIGHED_WITHIN_MS);
    });
    t.log(`${DAEMONS * ENGINES} reports: ${Math.round(cpuMs)} ms of processor time`);
    t.true(cpuMs <= MAX_CPU_MS, `${Math.round(cpuMs)} ms`);
  },
);

// Guards against reviews that look at every request of every crash for each feature, so that further ends cost ever more.
test.serial('a daemon keeps pace with the reviews of crashes while further engines end', async (t) => {
  const fleet = new SuspectFleet(1);
  await fleet.timers.advance(10_000);
  for (let wave = 0; wave < WAVES; wave += 1) {
    await mergeReports(fleet, wave);
    const cpuMs = await cpuMsOf(() => advanceBySteps(fleet, WEIGHED_WITHIN_MS));
    t.log(`wave ${wave}: ${Math.round(cpuMs)} ms of processor time in ${WEIGHED_WITHIN_MS} ms`);
    t.true(cpuMs <= WEIGHED_WITHIN_MS * SMALLEST_SHARE, `wave ${wave}: ${Math.round(cpuMs)} ms`);
    await fleet.timers.advance(BETWEEN_WAVES_MS);
  }
});
