/** Daemons whose event loops are late, and callers that open connections faster than one in each turn. */
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import type { SoakPlan, SoakResult } from '@celeryyoke/soak';
import { FaultKind, runSoak } from '@celeryyoke/soak';
import test from 'ava';

import { LatePhase } from '../src/core/processes/index.js';

const BUILD = fileURLToPath(new URL('../../../../platform/build.mjs', import.meta.url));
const SECONDS = 12;
const DAEMONS = 4;
const LATE_AT_MS = 1000;
/** Callers that wait for this long get an answer, though each turn takes 0.3 s, in milliseconds. */
const LONG_WAIT_MS = 10_000;
const TURN_MS = 300;
/** Of the callers, one in three opens a connection while some leave: more than one in a turn at each daemon. */
const REQUESTS_PER_SECOND = 72;
const LEAVING_SHARE = 0.01;

const built = (async () => {
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-late-accepts-'));
  const program = join(dir, 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [BUILD, program]);
  return { dir, program };
})();

async function play(phase: LatePhase): Promise<SoakResult['attempts']> {
  const forMs = SECONDS * 1000;
  const plan: SoakPlan = {
    seed: 1,
    daemons: DAEMONS,
    engines: 4,
    plains: 8,
    requestsPerSecond: REQUESTS_PER_SECOND,
    seconds: SECONDS,
    startSpreadMs: 0,
    trafficAfterMs: 3000,
    adapters: 4,
    hasRetries: false,
    faults: [
      { kind: FaultKind.GiveUp, atMs: 0, forMs, share: LEAVING_SHARE },
      { kind: FaultKind.LateLoop, atMs: LATE_AT_MS, forMs, share: 0.5, turnMs: TURN_MS, phase },
    ],
  };
  const { attempts } = await runSoak(plan, await built);
  return attempts.filter(({ limitMs, hasLeft }) => limitMs >= LONG_WAIT_MS && !hasLeft);
}

for (const phase of Object.values(LatePhase))
  // Guards against callers that get no answer, as one connection is accepted in each turn of the event loop.
  test.serial(
    `new connections to daemons are accepted in time while each turn takes 0.3 s, ${phase}`,
    async (t) => {
      t.timeout(90_000);
      const attempts = await play(phase);
      const silent = attempts.filter(({ status }) => status === undefined);
      const refused = attempts.filter(({ status }) => status !== undefined && status >= 400);
      const waits = attempts
        .flatMap(({ sentAt, endedAt }) => (endedAt === undefined ? [] : [endedAt - sentAt]))
        .sort((left, right) => left - right);
      t.log(
        `${attempts.length} callers: ${silent.length} without an answer, ${refused.length} refused, ` +
          `took ${waits[Math.floor(waits.length / 2)]} ms in the median, ${waits[Math.floor(waits.length * 0.9)]} ms in 90%`,
      );
      t.deepEqual(
        silent.map(({ id }) => id),
        [],
      );
    },
  );
