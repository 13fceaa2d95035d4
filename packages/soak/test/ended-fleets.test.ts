/** Streams that callers take up after all daemons were killed at once, while one software version serves. */
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import type { SoakPlan, SoakResult } from '@celeryyoke/soak';
import { FaultKind, runSoak } from '@celeryyoke/soak';
import test from 'ava';

const BUILD = fileURLToPath(new URL('../../../../platform/build.mjs', import.meta.url));
/** Time from the start of the traffic at which all daemons are killed, when the store has lost a part of its history. */
const KILL_AT_MS = 20_000;
/** Time for which they are down, in milliseconds. */
const DOWN_MS = 1000;
/** Time that a caller must have left for its stream to be counted, in milliseconds. */
const MIN_LEFT_MS = 6000;
/** Fewest streams from which on something is concluded, and the share of them that must go on. */
const MIN_STREAMS = 8;
const MIN_SHARE = 1 / 2;

const PLAN: SoakPlan = {
  seed: 1,
  daemons: 4,
  engines: 6,
  plains: 3,
  requestsPerSecond: 60,
  seconds: 31,
  startSpreadMs: 0,
  trafficAfterMs: 3000,
  adapters: 20,
  hasRetries: true,
  faults: [{ kind: FaultKind.KillFleet, atMs: KILL_AT_MS, forMs: DOWN_MS, share: 1 }],
};

/** Streams that broke at the same time, by whether a later attempt brought more of them. */
function interruptedStreams({ attempts }: SoakResult): { wentOn: number; count: number } {
  const later = new Set(attempts.filter(({ events }) => events.length > 0).map(({ resumes }) => resumes));
  const broken = attempts.filter(
    ({ route, isFirst, hasLeft, status, events, sentAt, endedAt = sentAt, limitMs }) =>
      route.isResumable &&
      isFirst &&
      !hasLeft &&
      status === undefined &&
      events.length > 0 &&
      limitMs - (endedAt - sentAt) >= MIN_LEFT_MS,
  );
  return { wentOn: broken.filter(({ id }) => later.has(id)).length, count: broken.length };
}

// Guards against a fleet that has ended whole and refuses all interrupted streams, though one version has served.
test('interrupted streams go on after all daemons were killed, and none is of two versions', async (t) => {
  t.timeout(120_000);
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-ended-fleets-'));
  const program = join(dir, 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [BUILD, program]);
  const result = await runSoak(PLAN, { program, dir });
  const streams = interruptedStreams(result);
  t.log(streams);
  t.deepEqual(result.figures.joinedStreams, []);
  t.true(streams.count >= MIN_STREAMS);
  t.true(streams.wentOn >= streams.count * MIN_SHARE);
});
