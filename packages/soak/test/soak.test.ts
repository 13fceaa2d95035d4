/** Short runs of the soak with the built program: processes, signals and held connections, checked from outside. */
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { createPlan, isClean, runSoak } from '@celeryyoke/soak';
import test from 'ava';

const SEEDS = [1, 2];
const SIZE = { daemons: 6, engines: 8, plains: 2, requestsPerSecond: 40, seconds: 20 };
const BUILD = fileURLToPath(new URL('../../../../platform/build.mjs', import.meta.url));

test('daemons keep their promises under seeded faults from outside', async (t) => {
  t.timeout(240_000);
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-soak-'));
  const program = join(dir, 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [BUILD, program]);
  for (const seed of SEEDS) {
    const { figures, outcomes } = await runSoak(createPlan(seed, SIZE), { program, dir });
    // A message at the assertion would become part of the title by which a known failure is found.
    t.log(`seed ${seed}: ${JSON.stringify(figures)}; logs in ${dir}`);
    t.true(isClean(figures));
    t.true([...outcomes].some(([outcome, count]) => outcome.endsWith('served') && count > 0));
  }
});
