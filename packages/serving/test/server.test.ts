/** Bad input, slow senders, drain and the stop by force. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import test from 'ava';
import { Client } from 'undici';

import type { Bed } from './fakes.js';
import { ask, codeOf, PROMPT, startBed, streamed, STUDIO_KEY, whole } from './fakes.js';

const STREAM = { ...PROMPT, stream: true };
const HEAD = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${STUDIO_KEY}\r\n`;

async function openSocket(bed: Bed, text: string): Promise<Socket> {
  const socket = connect(Number(new URL(bed.url).port), '127.0.0.1');
  await once(socket, 'connect');
  socket.write(text);
  return socket;
}

async function readAll(socket: Socket): Promise<string> {
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  return text;
}

test('bad input gets its own number and disturbs nobody else', async (t) => {
  const bed = await startBed({
    scripts: [(call) => whole(call, { choices: [] })],
    settings: { maxBodyBytes: 1000 },
  });
  const cases: readonly [body: unknown, headers: Record<string, string>, code: number][] = [
    [{ ...PROMPT, model: 'brief-7@9' }, {}, 3004],
    [{ prompt: 'hi' }, {}, 3001],
    [{ ...PROMPT, prompt: 7 }, {}, 3001],
    [{ ...PROMPT, stream: 'yes' }, {}, 3001],
    ['{"model":', {}, 3001],
    ['[]', {}, 3001],
    ['x'.repeat(2000), {}, 3006],
    [PROMPT, { 'content-type': 'text/plain' }, 3007],
    [PROMPT, { authorization: 'Basic x' }, 3002],
    [PROMPT, { 'x-request-timeout-ms': '1e9' }, 3001],
    [PROMPT, { 'x-request-priority': 'high' }, 3001],
  ];
  for (const [body, headers, code] of cases) t.is(await codeOf(await ask(bed, body, headers)), code);
  t.is((await ask(bed)).statusCode, 200);
  t.is(bed.dispatcher.wants.length, 1);
  await bed.server.close();
});

test('bytes that are not HTTP, headers that are too large and unknown paths get a numbered error', async (t) => {
  const bed = await startBed({});
  t.regex(await readAll(await openSocket(bed, 'hello\r\n\r\n')), /^HTTP\/1.1 400 .*"code":"3001"/s);
  const large = `${HEAD}x-large: ${'x'.repeat(20_000)}\r\n\r\n`;
  t.regex(await readAll(await openSocket(bed, large)), /^HTTP\/1.1 431 .*"code":"3009"/s);
  const odd = `OPTIONS * HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${STUDIO_KEY}\r\nconnection: close\r\n\r\n`;
  t.regex(await readAll(await openSocket(bed, odd)), /^HTTP\/1.1 404 .*"code":"3005"/s);
  await bed.server.close();
});

test('headers that come one by one for ever, and a body that stops, are cut off', async (t) => {
  const impatient = await startBed({ settings: { headersTimeoutMs: 40 } });
  const headers = await openSocket(impatient, HEAD);
  t.regex(await readAll(headers), /^HTTP\/1.1 408 .*"code":"3008"/s);
  await impatient.server.close();
  // A process that is short of processor time may take longer than 40 ms to send the headers of the second request.
  const bed = await startBed({});
  const body = await openSocket(
    bed,
    `${HEAD}content-type: application/json\r\ncontent-length: 100\r\n\r\n{"mod`,
  );
  while (bed.server.inFlight() === 0) await bed.timers.advance(0);
  await bed.timers.advance(30_000);
  const answer = readAll(body);
  while (bed.server.inFlight() > 0) await bed.timers.advance(0);
  await bed.timers.advance(2000);
  t.regex(await answer, /^HTTP\/1.1 408 .*"code":"3008"/s);
  await bed.server.close();
});

// Guards against a request that runs after its caller was told with a 408 that it was not run.
test('a request whose headers come after its refusal is not run', async (t) => {
  const bed = await startBed({
    scripts: [(call) => whole(call, { choices: [] })],
    settings: { headersTimeoutMs: 40 },
  });
  const socket = await openSocket(bed, HEAD);
  const [refusal] = (await once(socket, 'data')) as [Buffer];
  t.regex(String(refusal), /^HTTP\/1.1 408 /);
  const body = JSON.stringify(PROMPT);
  socket.write(`content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  await once(socket, 'close');
  while (bed.server.inFlight() > 0) await bed.timers.advance(0);
  t.is(bed.engines.calls.length, 0);
  await bed.server.close();
});

test('a drain interrupts no stream, answers kept connections once more, then says Draining', async (t) => {
  const bed = await startBed({ scripts: [streamed], settings: { drainGraceMs: 500 } });
  const [busy, prompt, idle] = [new Client(bed.url), new Client(bed.url), new Client(bed.url)];
  const headers = { authorization: `Bearer ${STUDIO_KEY}`, 'content-type': 'application/json' };
  const list = { method: 'GET', path: '/v1/models', headers } as const;
  for (const client of [prompt, idle]) await (await client.request(list)).body.dump();
  const others = once(bed.engines, 'call');
  const other = ask(bed, STREAM);
  const [otherGeneration] = await others;
  const called = once(bed.engines, 'call');
  const stream = busy.request({
    ...list,
    method: 'POST',
    path: '/v1/completions',
    body: JSON.stringify(STREAM),
  });
  const [generation] = await called;
  generation.tokens(0, 1);
  const text = (await stream).body.text();
  const isClosed = once(idle, 'disconnect');
  const drained = bed.server.drain();
  const inTime = await prompt.request(list);
  t.deepEqual([inTime.statusCode, inTime.headers.connection], [200, 'close']);
  await inTime.body.dump();
  await bed.timers.advance(500);
  await isClosed;
  await t.throwsAsync(openSocket(bed, ''), { code: 'ECONNREFUSED' });
  generation.tokens(1, 2);
  generation.done();
  t.regex(await text, /t2 .*\[DONE\]/s);
  const late = await busy.request(list);
  t.deepEqual([late.statusCode, late.headers.connection], [503, 'close']);
  t.is(await codeOf(late), 4006);
  otherGeneration.done();
  t.is(await (await other).body.text(), 'data: [DONE]\n\n');
  await drained;
  t.deepEqual(await bed.server.close(), []);
  await Promise.all([busy, prompt, idle].map((client) => client.close()));
});

test('a stop by force says what it cut, to the operator and to the callers', async (t) => {
  const bed = await startBed({ scripts: [streamed] });
  const answer = ask(bed, STREAM);
  const [generation] = await once(bed.engines, 'call');
  generation.tokens(0, 1);
  const text = (await answer).body.text();
  const drained = bed.server.drain();
  const cut = await bed.server.close();
  t.like(cut, [{ path: '/v1/completions', caller: 'studio' }]);
  t.regex(await text, /"code":"5007"/);
  await drained;
  t.deepEqual(bed.dispatcher.settled, [false]);
});

test('when nothing more can wait, the lowest priority is turned away at once and truthfully', async (t) => {
  const bed = await startBed({ settings: { maxWaiting: 1 } });
  bed.dispatcher.override = (_want, signal) =>
    new Promise((_, reject) => {
      signal.addEventListener('abort', () => reject(new Error('gave up')));
    });
  const wanted = once(bed.dispatcher, 'want');
  const low = ask(bed, PROMPT, { 'x-request-priority': '-1' });
  await wanted;
  const high = ask(bed, PROMPT, { 'x-request-timeout-ms': '500' });
  const refused = await low;
  t.like(refused.headers, { 'x-celeryyoke-run': 'not-run', 'retry-after': '1' });
  t.is(await codeOf(refused), 4002);
  await bed.timers.advance(500);
  t.is(await codeOf(await high), 4003);
  await bed.server.close();
});
