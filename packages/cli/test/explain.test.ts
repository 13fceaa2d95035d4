/** From the logs of several daemons alone, the story of a request names what went wrong. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { explainFromLogs } from '../src/cli/explain/index.js';
import { ExitCode } from '../src/core/program/index.js';

const line = (
  at: number,
  process: string,
  kind: string,
  text: string,
  facts: Record<string, unknown> = {},
): string => JSON.stringify({ at, process, level: 'info', part: 'daemon', kind, text, ...facts });

async function explain(request: string, files: readonly string[][]) {
  const folder = await mkdtemp(join(tmpdir(), 'celeryyoke-explain-'));
  const paths: string[] = [];
  for (const [index, rows] of files.entries()) {
    paths.push(join(folder, `${index}.log`));
    await writeFile(
      paths.at(-1)!,
      `collector started\n${rows.map((row) => ` 1.2 x ${row}`).join('\n')}\n{"at":1,"cut`,
    );
  }
  let text = '';
  const code = await explainFromLogs(request, paths, (block) => {
    text += block;
  });
  await rm(folder, { recursive: true });
  return { code, text };
}

test('a payout answered "may have run" names the replica that reset, in order, over two daemons', async (t) => {
  const first = [
    line(5000, 'a', 'request.send', 'The send to i-1 ended: unknown.', {
      request: 'r1',
      replica: 'i-1',
      outcome: 'unknown',
      reason: 'other side closed',
      viewAgeMs: 120,
    }),
    line(5001, 'a', 'request.ended', 'The caller gets: outcomeUnknown.', {
      request: 'r1',
      outcome: 'outcomeUnknown',
      sends: 1,
    }),
    line(5002, 'a', 'request.ended', 'The caller gets: timedOut.', { request: 'other', outcome: 'timedOut' }),
  ];
  const second = [
    line(4000, 'b', 'order.failed', 'An order to i-1 ended: unreachable.', {
      replica: 'i-1',
      outcome: 'unreachable',
    }),
    line(4100, 'b', 'order.failed', 'An order to i-9 ended: busy.', { replica: 'i-9', outcome: 'busy' }),
  ];
  const { code, text } = await explain('r1', [first, second]);
  t.is(code, ExitCode.Ok);
  const rows = text.split('\n');
  t.regex(rows[0]!, /-1000 ms {2}b: An order to i-1 ended: unreachable/);
  t.regex(rows[1]!, /a: The send to i-1 ended: unknown\. .*reason other side closed, viewAgeMs 120/);
  t.regex(rows.at(-1)!, /may have run it/);
  t.notRegex(text, /i-9|other\b.*timedOut/);
});

test('a request refused while engines had no keeper says so', async (t) => {
  const rows = [
    line(900, 'a', 'lease.lost', 'Gives no more orders to i-1.', {
      replica: 'i-1',
      reason: 'its token was refused',
    }),
    line(1000, 'a', 'request.load', 'The adapter did not come to i-1.', {
      request: 'r2',
      replica: 'i-1',
      reason: 'Nobody gives this engine orders now.',
    }),
    line(1100, 'a', 'request.ended', 'The caller gets: notRun.', {
      request: 'r2',
      outcome: 'notRun',
      sends: 0,
    }),
  ];
  const { text } = await explain('r2', [rows]);
  t.regex(text, /its token was refused/);
  t.regex(text, /Nobody gives this engine orders now/);
  t.regex(text, /did not run/);
});

test('a stream that its daemon did not outlive has no end', async (t) => {
  const rows = [
    line(1000, 'a', 'request.load', 'The adapter did not come to i-1.', { request: 'r3', replica: 'i-1' }),
  ];
  const { text } = await explain('r3', [rows]);
  t.regex(text, /No line tells its end/);
});

test('a request that no line names is not found', async (t) => {
  const { code, text } = await explain('nobody', [[line(1, 'a', 'note.info', 'Started.')]]);
  t.is(code, ExitCode.Found);
  t.regex(text, /No line names nobody/);
});

test('a request that was refused for its key or its quota says so, with what decided', async (t) => {
  const rows = [
    line(900, 'a', 'quota.mode', 'Requests of amber are charged before they are sent.', { account: 'amber' }),
    line(1000, 'a', 'request.over-quota', 'amber has used up its quota.', {
      request: 'r4',
      account: 'amber',
      decider: 'owner',
      configVersion: 7,
    }),
    line(1001, 'a', 'request.unauthorized', 'The key belongs to no account.', {
      request: 'r5',
      configVersion: 7,
      viewAgeMs: 80,
    }),
  ];
  const overQuota = await explain('r4', [rows]);
  t.regex(overQuota.text, /charged before they are sent/);
  t.regex(overQuota.text, /account amber, decider owner, configVersion 7/);
  t.regex(overQuota.text, /Outcome: It did not run: its account had used up its quota/);
  const unauthorized = await explain('r5', [rows]);
  t.regex(unauthorized.text, /configVersion 7, viewAgeMs 80/);
  t.regex(unauthorized.text, /Outcome: It did not run: its key was not valid/);
});
