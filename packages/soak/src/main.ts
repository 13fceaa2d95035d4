#!/usr/bin/env node
/** Entry of the soak: `npm run soak -- --seed N`. */
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { cac } from 'cac';
import Table from 'cli-table3';

import type { HostViolation, SoakFigures, SoakPlan, SoakResult } from './index.js';
import { createPlan, isClean, runSoak } from './index.js';

const EXIT_BROKEN = 1;

interface Flags {
  readonly seed: number;
  readonly plays: number;
  readonly seconds: number;
  readonly daemons: number;
  readonly engines: number;
  readonly plains: number;
  readonly load: number;
  readonly program: string;
  readonly plan?: string;
  readonly out?: string;
}

function showRepeats({ repeats }: SoakFigures): string {
  const table = new Table({
    head: ['service', 'requests', 'arrivals', 'repeats', 'worst window', 'allowed', 'violations'],
    style: { head: [], border: [], compact: true },
  });
  for (const { service, requests, arrivals, repeats: count, worst, violations } of repeats)
    table.push([
      service,
      requests,
      arrivals,
      count,
      worst?.retries ?? 0,
      Math.floor(worst?.allowed ?? 0),
      violations.length,
    ]);
  return table.toString();
}

function show({ seed }: SoakPlan, { figures, outcomes, crashes, cuts, falls, takeUps }: SoakResult): void {
  console.log(`seed ${seed}: ${isClean(figures) ? 'clean' : 'BROKEN'}`);
  console.log(showRepeats(figures));
  console.log([...outcomes].map(([key, count]) => `${key} ${count}`).join(', '));
  const { ranTwice, ranThoughRefused } = figures;
  if (ranTwice.length > 0) console.log(`ran more than once: ${ranTwice.join(', ')}`);
  if (ranThoughRefused.length > 0) console.log(`ran though refused: ${ranThoughRefused.join(', ')}`);
  showViolations('sent to a replica that leaves', figures.sentToLeaving);
  showViolations('sent in a backoff', figures.sentInBackoff);
  for (const [cause, count] of crashes) console.log(`replicas crashed under ${cause}: ${count}`);
  for (const { daemons, served, servedByOthers } of cuts)
    console.log(
      `cut off: ${daemons.join(', ')} served ${served.join(' of ')}, others ${servedByOthers.join(' of ')}`,
    );
  if (falls.length > 0)
    console.log(`brittle replicas fell over: ${falls.map(({ replica }) => replica).join(', ')}`);
  if (figures.tooManyFalls.length > 0) console.log('more of them than is allowed');
  if (figures.badlyServedInCuts.length > 0) console.log('served far worse while cut off');
  for (const { cause, sent } of figures.sentThoughCrashing)
    console.log(`sent on after too many crashes: ${cause} as ${sent.join(', ')}`);
  const { wentOn, takenUp, expected } = takeUps;
  console.log(`streams taken up went on ${wentOn} of ${takenUp}, as new ones ${expected.toFixed(1)}`);
  if (figures.lostTakeUps.length > 0) console.log('went on far more seldom');
  for (const { attempts, versions, isBroken } of figures.joinedStreams)
    console.log(`${isBroken ? 'events missing or twice' : versions.join(' and ')}: ${attempts.join(', ')}`);
  for (const { request, replica, host } of figures.abandoned)
    console.log(`left while ${replica} worked on it: ${request}, sent by ${host}`);
  for (const { request, daemon, afterMs } of figures.sentAfterLeaving)
    console.log(`sent on ${afterMs} ms after its caller had left: ${request} by ${daemon}`);
  for (const { daemon, version, status } of figures.lateConfigs)
    console.log(`version ${version} was not in force at ${daemon}: ${status}`);
  for (const { refusedWatches } of figures.busyDrills)
    console.log(`watches that the store refused after a drill: ${refusedWatches}`);
  if (figures.refusedBeside.length > 0)
    console.log(`refused for crashes of others: ${figures.refusedBeside.join(', ')}`);
}

function showViolations(title: string, violations: readonly HostViolation[]): void {
  for (const { daemon, replica, sent, afterMs } of violations)
    console.log(`${title}: ${sent.join(', ')} by ${daemon} to ${replica}, up to ${afterMs} ms after`);
}

/** Writes what callers sent and got, and what replicas read, a line each. */
function keep(dir: string, { attempts, arrivals }: SoakResult): void {
  const lines = (rows: readonly object[]): string => rows.map((row) => JSON.stringify(row)).join('\n');
  writeFileSync(join(dir, 'attempts.jsonl'), lines(attempts));
  writeFileSync(join(dir, 'arrivals.jsonl'), lines(arrivals));
}

function* plansOf(flags: Flags): Generator<SoakPlan> {
  if (flags.plan !== undefined) {
    yield JSON.parse(readFileSync(flags.plan, 'utf8')) as SoakPlan;
    return;
  }
  const { daemons, engines, plains, load, seconds } = flags;
  const { seed: first, plays } = flags;
  for (let seed = first; seed < first + plays; seed += 1)
    yield createPlan(seed, { daemons, engines, plains, requestsPerSecond: load, seconds });
}

async function play(flags: Flags): Promise<void> {
  const out = flags.out ?? mkdtempSync(join(tmpdir(), 'celeryyoke-soak-'));
  for (const plan of plansOf(flags)) {
    const dir = join(out, `seed-${plan.seed}`);
    mkdirSync(dir, { recursive: true });
    writeFileSync(join(dir, 'plan.json'), JSON.stringify(plan, undefined, 2));
    const result = await runSoak(plan, { program: flags.program, dir });
    show(plan, result);
    keep(dir, result);
    if (!isClean(result.figures)) process.exitCode = EXIT_BROKEN;
  }
  console.log(`Plans, settings and logs: ${out}`);
}

const cli = cac('celeryyoke-soak');
cli
  .command('', 'Plays seeded faults against the built program and checks what callers and replicas saw.')
  .option('--seed <n>', 'First seed', { default: 1 })
  .option('--plays <n>', 'Number of seeds', { default: 1 })
  .option('--seconds <n>', 'Length of the traffic', { default: 40 })
  .option('--daemons <n>', 'Daemons', { default: 8 })
  .option('--engines <n>', 'Engines', { default: 13 })
  .option('--plains <n>', 'Replicas of the plain service', { default: 3 })
  .option('--load <n>', 'Requests a second', { default: 100 })
  .option('--program <file>', 'Bundled program of the daemons', { default: 'target/celeryyoke.mjs' })
  .option('--plan <file>', 'Plays a written plan in place of seeds')
  .option('--out <dir>', 'Where plans, settings and logs go; a temporary directory when left out')
  .action((flags: Flags) => play(flags));
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
