/** Broken, late, duplicated, cut and crossed answers, callers that go, and the two honest results. */
import { once } from 'node:events';

import { CeleryyokeError, Suspicion } from '@celeryyoke/core';
import { KeyOutcome } from '@celeryyoke/fleet';
import test from 'ava';

import type { FakeGeneration } from './fakes.js';
import { ask, codeOf, PROMPT, startBed, streamed, tokenEvent, whole } from './fakes.js';

const STREAM = { ...PROMPT, stream: true };
const ANSWER = { choices: [{ text: 'ciao' }] };
const KEY = { 'idempotency-key': '0198f1c0-0000-7000-8000-000000000001' };

const answers = (generation: FakeGeneration) => whole(generation, ANSWER);

function fail(kind: 'UpstreamRefused' | 'OutcomeUnknown'): () => Promise<never> {
  return () => Promise.reject(new CeleryyokeError(kind, { upstream: 'e1' }));
}

function untilAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new CeleryyokeError('OutcomeUnknown', { upstream: 'e1' })));
  });
}

function cutAfter(count: number) {
  return (generation: FakeGeneration) => {
    generation.tokens(generation.call.resumeFrom ?? 0, count);
    generation.body.write(tokenEvent(99).slice(0, 9), () => generation.cut());
    return streamed(generation);
  };
}

test('a whole answer that is cut, or is from another adapter, is asked for again elsewhere', async (t) => {
  const bed = await startBed({
    scripts: [
      (call) => {
        call.body.end('{"choices":[{"text":"ci');
        return { status: 200, headers: {}, body: call.body };
      },
      (call) => whole(call, { ...ANSWER, model: 'brief-8@2' }),
      answers,
    ],
  });
  const answer = await ask(bed);
  t.deepEqual(await answer.body.json(), ANSWER);
  t.deepEqual(
    bed.engines.calls.map(({ engine }) => engine),
    ['e1', 'e2', 'e3'],
  );
  t.is(bed.dispatcher.held, 0);
  t.deepEqual(
    bed.server.requests.recent(1)[0]?.attempts.map(({ outcome }) => outcome),
    ['5001 OutcomeUnknown', '5008 AnswerWrong', 'complete'],
  );
  await bed.server.close();
});

test('"not run" is said only when no try may have run', async (t) => {
  const refused = await startBed({ scripts: [fail('UpstreamRefused')] });
  const notRun = await ask(refused);
  t.is(notRun.headers['x-celeryyoke-run'], 'not-run');
  t.truthy(notRun.headers['retry-after']);
  t.is(await codeOf(notRun), 4005);
  t.is(refused.engines.calls.length, 3);
  await refused.server.close();
  const mixed = await startBed({ scripts: [fail('OutcomeUnknown'), fail('UpstreamRefused')] });
  const unknown = await ask(mixed);
  t.is(unknown.headers['x-celeryyoke-run'], 'unknown');
  t.is(await codeOf(unknown), 5001);
  await mixed.server.close();
});

test('a stream that can go on nowhere ends with an error event and no closing event', async (t) => {
  const bed = await startBed({ scripts: [cutAfter(3), cutAfter(2), cutAfter(0)] });
  const answer = await ask(bed, STREAM);
  const text = await answer.body.text();
  t.is(answer.statusCode, 200);
  t.deepEqual(text.match(/t\d /g), ['t0 ', 't1 ', 't2 ', 't3 ', 't4 ']);
  t.regex(text, /event: error\ndata: \{"error":\{.*"code":"5002".*\}\}\n\n$/);
  t.false(text.includes('[DONE]'));
  await bed.server.close();
});

test('where only the link broke, the stream goes on at the same engine, once', async (t) => {
  const bed = await startBed({ scripts: [cutAfter(2), cutAfter(2), cutAfter(2)] });
  bed.engines.incarnations.set('e1', 'first');
  await (await ask(bed, STREAM)).body.text();
  t.deepEqual(
    bed.engines.calls.map(({ engine, call }) => [engine, call.resumeFrom]),
    [
      ['e1', undefined],
      ['e1', 2],
      ['e2', 4],
    ],
  );
  await bed.server.close();
});

test('a stream from another adapter gives the caller nothing of it', async (t) => {
  const bed = await startBed({
    scripts: [
      (call) => {
        call.body.write('id: 0\ndata: {"model":"brief-8@2","choices":[]}\n\n');
        return streamed(call);
      },
      (call) => {
        call.done();
        return streamed(call);
      },
    ],
  });
  t.is(await (await ask(bed, STREAM)).body.text(), 'data: [DONE]\n\n');
  t.is(bed.engines.calls.length, 2);
  await bed.server.close();
});

test('an engine that hangs before the first event is given up for another', async (t) => {
  const bed = await startBed({
    scripts: [
      ({ call }) => untilAborted(call.signal),
      (call) => {
        call.done();
        return streamed(call);
      },
    ],
  });
  const called = once(bed.engines, 'call');
  const answer = ask(bed, STREAM);
  await called;
  await bed.timers.advance(60_000);
  t.is(await (await answer).body.text(), 'data: [DONE]\n\n');
  t.is(bed.engines.calls[1]?.engine, 'e2');
  await bed.server.close();
});

test('a spent budget of retries ends the tries', async (t) => {
  const retries = { earn: () => undefined, spend: () => undefined, balance: () => 0 };
  const bed = await startBed({ scripts: [fail('UpstreamRefused')], options: { retries } });
  t.is(await codeOf(await ask(bed)), 4005);
  t.is(bed.engines.calls.length, 1);
  await bed.server.close();
});

test('a caller that goes in the middle cancels the engine, and only then is the lease released', async (t) => {
  const bed = await startBed({
    scripts: [
      (call) => {
        call.tokens(0, 1);
        return streamed(call);
      },
    ],
  });
  const answer = await ask(bed, STREAM);
  await once(answer.body, 'readable');
  const released = once(bed.dispatcher, 'release');
  answer.body.on('error', () => undefined).destroy();
  await released;
  t.true(bed.engines.calls[0]!.call.signal.aborted);
  t.deepEqual(bed.dispatcher.settled, [false]);
  t.is(bed.dispatcher.held, 0);
  t.is(bed.server.inFlight(), 0);
  t.is(bed.engines.calls.length, 1);
  await bed.server.close();
});

test('a deadline that passes says truthfully whether the request had begun', async (t) => {
  const bed = await startBed({ scripts: [({ call }) => untilAborted(call.signal)] });
  const late = { 'x-request-timeout-ms': '100' };
  const called = once(bed.engines, 'call');
  const during = ask(bed, PROMPT, late);
  await called;
  await bed.timers.advance(101);
  t.is(await codeOf(await during), 5005);
  bed.dispatcher.override = (_want, signal) => untilAborted(signal);
  const wanted = once(bed.dispatcher, 'want');
  const before = ask(bed, PROMPT, late);
  await wanted;
  await bed.timers.advance(101);
  t.is(await codeOf(await before), 4003);
  await bed.server.close();
});

test('a keyed request runs once: refusals free the key, anything else keeps it', async (t) => {
  const bed = await startBed({
    scripts: [fail('UpstreamRefused'), answers, fail('OutcomeUnknown'), answers],
  });
  const missing = await ask(bed, PROMPT, { 'x-non-idempotent': 'true' });
  t.is(await codeOf(missing), 4009);
  t.is((await ask(bed, PROMPT, KEY)).statusCode, 200);
  t.is(bed.engines.calls.length, 2);
  t.is(await codeOf(await ask(bed, PROMPT, KEY)), 5004);
  const other = { 'idempotency-key': '0198f1c0-0000-7000-8000-000000000002' };
  t.is(await codeOf(await ask(bed, PROMPT, other)), 5001);
  t.is(bed.engines.calls.length, 3);
  t.deepEqual([...bed.keys.outcomes.values()], [KeyOutcome.Done, KeyOutcome.Unknown]);
  await bed.server.close();
});

test('a keyed stream that breaks is not run again', async (t) => {
  const bed = await startBed({ scripts: [cutAfter(2)] });
  t.regex(await (await ask(bed, STREAM, KEY)).body.text(), /"code":"5002"/);
  t.is(bed.engines.calls.length, 1);
  await bed.server.close();
});

test('an engine that crashes is reported before the next try, and a suspect runs only where it is alone', async (t) => {
  const bed = await startBed({
    scripts: [
      (call) => {
        bed.suspects.suspicion = Suspicion.Suspect;
        bed.suspects.taken.add('e2');
        bed.suspects.suspectUpstreams.add('e1');
        bed.engines.incarnations.set('e1', 'second');
        call.cut();
        return { status: 200, headers: {}, body: call.body };
      },
      answers,
    ],
  });
  bed.engines.incarnations.set('e1', 'first');
  const answer = ask(bed);
  const [want] = await once(bed.dispatcher, 'want');
  t.deepEqual([...want.excluded], []);
  while (bed.dispatcher.settled.length < 2) await once(bed.dispatcher, 'release');
  bed.suspects.suspectUpstreams.add('e2');
  await bed.timers.advance(50);
  t.is((await answer).statusCode, 200);
  t.deepEqual(bed.suspects.notes, [
    'started e1',
    'crashed e1',
    'ended e1 false',
    'isolated e3',
    'started e3',
    'ended e3 true',
    'left e3',
  ]);
  bed.suspects.suspicion = Suspicion.Quarantined;
  t.is(await codeOf(await ask(bed)), 4007);
  await bed.server.close();
});

test('a lease that has lapsed by the time of sending is not used', async (t) => {
  const bed = await startBed({
    scripts: [
      ({ call }) => {
        t.false(call.isAllowed?.());
        return fail('UpstreamRefused')();
      },
      answers,
    ],
  });
  bed.dispatcher.override = async (want) => bed.dispatcher.grant(want, () => want.excluded.size > 0);
  t.is((await ask(bed)).statusCode, 200);
  t.deepEqual(bed.dispatcher.settled, [true, true]);
  await bed.server.close();
});

test("the engine's own refusal of a request reaches the caller", async (t) => {
  const bed = await startBed({ scripts: [(call) => whole(call, { message: 'too long' }, 400)] });
  const answer = await ask(bed, STREAM, KEY);
  t.deepEqual([answer.statusCode, answer.headers['x-celeryyoke-code']], [400, '3010']);
  t.deepEqual(await answer.body.json(), { message: 'too long' });
  t.deepEqual([...bed.keys.outcomes.values()], [KeyOutcome.NotRun]);
  await bed.server.close();
});

test('trace, priority and the resolved version go along; what the body reserves does not', async (t) => {
  const bed = await startBed({ scripts: [answers] });
  const traceparent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
  const body = { ...PROMPT, model: 'brief-3@1', priority: -99, resume_from: 7 };
  await ask(bed, body, { traceparent, 'x-request-priority': '4' });
  const { call } = bed.engines.calls[0]!;
  t.like(call, { priority: 4, trace: { traceparent }, resumeFrom: undefined });
  t.deepEqual(JSON.parse(call.body), { model: 'brief-3@1', prompt: 'hi' });
  await bed.server.close();
});
