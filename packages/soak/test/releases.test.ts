/** Daemons that are out of step while engines get other software versions. */
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import type { Fault, SoakPlan } from '@celeryyoke/soak';
import { FaultKind, runSoak } from '@celeryyoke/soak';
import test from 'ava';

import { LatePhase } from '../src/core/processes/index.js';

const BUILD = fileURLToPath(new URL('../../../../platform/build.mjs', import.meta.url));
const SECONDS = 9;
/** Time from the start of the traffic at which a daemon falls out of step, and for which it is, in milliseconds. */
const FAULT_AT_MS = 2500;
const FAULT_MS = 4000;
/** Times at which engines get another software version, in milliseconds. */
const UPGRADES_AT_MS = [2300, 3000, 5500, 6600];

const built = (async () => {
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-releases-'));
  const program = join(dir, 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [BUILD, program]);
  return { dir, program };
})();

const OUT_OF_STEP = { atMs: FAULT_AT_MS, forMs: FAULT_MS, share: 0.25 };

const FAULTS: Readonly<Record<string, Fault>> = {
  'late by 0.9 s each turn': {
    ...OUT_OF_STEP,
    kind: FaultKind.LateLoop,
    turnMs: 900,
    phase: LatePhase.Timers,
  },
  stopped: { ...OUT_OF_STEP, kind: FaultKind.FreezeDaemons },
};

for (const [title, fault] of Object.entries(FAULTS))
  // Guards against streams of two versions at a daemon that does not know the other version yet.
  test.serial(`no stream of two versions is made while a daemon is ${title} in a release`, async (t) => {
    t.timeout(60_000);
    const upgrades = UPGRADES_AT_MS.map((atMs) => ({ kind: FaultKind.Upgrade, atMs, forMs: 0, share: 0.3 }));
    const plan: SoakPlan = {
      seed: 1,
      daemons: 4,
      engines: 6,
      plains: 3,
      requestsPerSecond: 60,
      seconds: SECONDS,
      startSpreadMs: 0,
      trafficAfterMs: 3000,
      adapters: 20,
      hasRetries: true,
      faults: [...upgrades, fault].sort((left, right) => left.atMs - right.atMs),
    };
    const { figures, takeUps } = await runSoak(plan, await built);
    t.log(takeUps);
    t.deepEqual(figures.joinedStreams, []);
  });
