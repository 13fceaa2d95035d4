/** Cost of the reports of a large fleet about engines that end together. */
import { EndCertainty } from '@celeryyoke/core';
import test from 'ava';

import type { CrashRow } from '../src/index.js';
import { SuspectRowKind } from '../src/index.js';
import { SuspectFleet } from './suspect-fleet.js';

const DAEMONS = 62;
const ENGINES = 17;
/** First parts that requests share. */
const PARTS = 3;
/** Time in which the reports of all daemons arrive, in milliseconds. */
const REPORTED_WITHIN_MS = 150;
/** Time after the last report in which they are weighed, in milliseconds. */
const WEIGHED_WITHIN_MS = 400;
const STEP_MS = 10;
/** Processor time of the smallest daemon, 0.324 cores, in the time after which a fleet counts as stable, 3 s. */
const MAX_CPU_MS = 972;

/** Reports of all daemons, each with one request in flight at each engine. */
function reportsAt(now: number): CrashRow[] {
  return Array.from({ length: DAEMONS * ENGINES }, (_, number) => {
    const ageMs = (number * 37) % 1500;
    const request = {
      fingerprint: `request ${number}`,
      shared: [{ feature: `part ${number % PARTS}` }],
      sentAt: now - ageMs - 150,
      beganAt: now - ageMs,
    };
    return {
      kind: SuspectRowKind.Crash,
      replica: `engine-${number % ENGINES}`,
      reporter: `daemon-${Math.floor(number / ENGINES)}`,
      at: now,
      certainty: EndCertainty.Confirmed,
      requests: [request],
    };
  });
}

// Guards against event loops that stand still when many engines end, as each report has everything weighed again.
test('reports of a large fleet about engines that end together are handled within a share of a core', async (t) => {
  const fleet = new SuspectFleet(1);
  await fleet.timers.advance(10_000);
  const reports = reportsAt(fleet.timers.now());
  const perStep = Math.ceil((reports.length * STEP_MS) / REPORTED_WITHIN_MS);
  const before = process.cpuUsage();
  for (let index = 0; index < reports.length; index += perStep) {
    for (const row of reports.slice(index, index + perStep)) fleet.mergeAt(0, row);
    await fleet.timers.advance(STEP_MS);
  }
  for (let ms = 0; ms < WEIGHED_WITHIN_MS; ms += STEP_MS) await fleet.timers.advance(STEP_MS);
  const { user, system } = process.cpuUsage(before);
  const cpuMs = (user + system) / 1000;
  t.log(`${reports.length} reports: ${Math.round(cpuMs)} ms of processor time`);
  t.true(cpuMs <= MAX_CPU_MS, `${Math.round(cpuMs)} ms`);
});
