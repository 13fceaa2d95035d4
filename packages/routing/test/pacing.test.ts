/**
 * Long prompts among short ones that come together: the streams beside them keep their pauses, and no prompt is held
 * back beyond what it can spare.
 *
 * The figures are those of engines that read 40 tokens in a millisecond and owe a pause of at most 300 ms.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { AdmissionRequest, Member, PeerChannel, ReplicaEntry } from '@celeryyoke/routing';
import { InFlightTable, PromptAdmission, PromptPacer, ReadingRate, Verdict } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { engineEntry, log } from './fakes.js';

const MS_PER_TOKEN = 0.025;
const PAUSE_MS = 300;
const turn = (
  tokens: number,
  patienceMs = 10_000,
): Pick<AdmissionRequest, 'tokens' | 'maxPauseMs' | 'patienceMs' | 'readings'> => ({
  tokens,
  maxPauseMs: PAUSE_MS,
  patienceMs,
  readings: [],
});

/** The most reading, in milliseconds, that falls into one span of the longest pause. */
function busiest(sent: readonly { at: number; tokens: number }[]): number {
  const inSpan = (from: number): number =>
    sent.reduce((sum, { at, tokens }) => (at >= from && at < from + PAUSE_MS ? sum + tokens : sum), 0);
  return Math.max(...sent.map(({ at }) => inSpan(at) * MS_PER_TOKEN));
}

test('a prompt that comes alone goes at once, whatever its size', (t) => {
  t.is(new PromptPacer(() => MS_PER_TOKEN).delayMs(turn(100), 0), 0);
  t.is(new PromptPacer(() => MS_PER_TOKEN).delayMs(turn(100_000), 0), 0);
});

test('prompts that come together are spread so that reading leaves room in every pause', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const sizes = [4000, 800, 800, 3000, 800, 2500, 800, 6000, 800, 800];
  const sent = sizes.map((tokens) => ({ at: pacer.delayMs(turn(tokens), 0), tokens }));
  const unspaced = sizes.reduce((sum, tokens) => sum + tokens, 0) * MS_PER_TOKEN;
  t.true(unspaced > PAUSE_MS);
  t.true(busiest(sent) <= PAUSE_MS * 0.85, `${busiest(sent)} ms`);
});

test('a prompt is not held back longer than it can spare', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  pacer.delayMs(turn(8000), 0);
  const delay = pacer.delayMs(turn(8000, 50), 0);
  t.true(delay > 0 && delay <= 50, `${delay} ms`);
});

test('where prompts come as fast as they can be read, none is held back: a queue that never drains helps nobody', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const delays: number[] = [];
  for (let now = 0; now < 8000; now += 50) delays.push(pacer.delayMs(turn(2000, 400), now));
  t.true(Math.max(...delays.slice(-40)) < 40, `${Math.max(...delays.slice(-40))} ms`);
});

test('whatever comes, every delay is finite, within patience, and no span is overfull but by patience or by one alone', (t) => {
  const arrivals = fc.array(
    fc.record({ gap: fc.nat({ max: 400 }), tokens: fc.integer({ min: 1, max: 20_000 }) }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(arrivals, fc.nat({ max: 2000 }), (list, patience) => {
      const pacer = new PromptPacer(() => MS_PER_TOKEN);
      let now = 0;
      for (const { gap, tokens } of list) {
        now += gap;
        const delay = pacer.delayMs(turn(tokens, patience), now);
        t.true(Number.isFinite(delay) && delay >= 0 && delay <= patience);
      }
    }),
  );
});

test('the time for a token is learnt from answers, whatever else they waited for', (t) => {
  const rate = new ReadingRate(() => 0.04);
  const before = rate.msPerToken;
  for (let index = 0; index < 200; index += 1) {
    const tokens = 200 + ((index * 397) % 5000);
    const queueMs = 20 + ((index * 31) % 90);
    rate.note({ tokens, ms: queueMs + tokens * MS_PER_TOKEN });
  }
  t.not(rate.msPerToken, before);
  t.true(Math.abs(rate.msPerToken - MS_PER_TOKEN) < 0.1 * MS_PER_TOKEN, `${rate.msPerToken}`);
});

test('an engine that reads more slowly than the others of its service gets less at a time', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const readings = Array.from({ length: 60 }, (_, index) => {
    const tokens = 200 + ((index * 397) % 5000);
    return { tokens, ms: 20 + tokens * MS_PER_TOKEN * 2 };
  });
  pacer.delayMs({ ...turn(4000), readings }, 0);
  t.true(pacer.delayMs(turn(4000), 0) > 0);
  const ordinary = new PromptPacer(() => MS_PER_TOKEN);
  ordinary.delayMs(turn(4000), 0);
  t.is(ordinary.delayMs(turn(4000), 0), 0);
});

const KEY = 'base/a1';
const UNHEARD = { verdict: Verdict.Admitted, delayMs: 0, counts: undefined };
const PLACES = 8;
const COUNTS = { running: 3, waiting: 1 };
const NO_CHANGES = { isWhole: false, replicas: [], adapters: [] };

function makeAdmission(
  holder: string | undefined,
  request: (address: string) => Promise<unknown>,
  isResident: boolean | undefined = true,
  counts = COUNTS,
) {
  const entry: ReplicaEntry = engineEntry('e');
  return new PromptAdmission({
    self: 'a',
    cluster: { handle: () => undefined, request },
    leases: { of: () => (holder === undefined ? undefined : { replica: 'e', holder, token: 1 }) },
    registry: { onReplica: () => undefined, replica: () => entry },
    timers: createManualTimers(),
    log,
    takeChanges: () => NO_CHANGES,
    takeReport: () => undefined,
    isResident: () => isResident,
    counts: () => counts,
  });
}

test('the owner of an engine spaces the prompts of all daemons', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')));
  t.deepEqual(await own.admit('e', KEY, PLACES, turn(5000)), {
    verdict: Verdict.Admitted,
    delayMs: 0,
    counts: COUNTS,
  });
  t.true((await own.admit('e', KEY, PLACES, turn(5000))).delayMs > 0);
  const asked = makeAdmission('b', () => Promise.resolve([Verdict.Admitted, 120, 3, 1]));
  t.deepEqual(await asked.admit('e', KEY, PLACES, turn(5000)), {
    verdict: Verdict.Admitted,
    delayMs: 120,
    counts: COUNTS,
  });
});

test('a prompt goes at once when nobody owns its engine or no answer comes', async (t) => {
  const nobody = makeAdmission(undefined, () => Promise.resolve([Verdict.Admitted, 99, 3, 1]));
  t.deepEqual(await nobody.admit('e', KEY, PLACES, turn(5000)), UNHEARD);
  const silent = makeAdmission('b', () => Promise.reject(new Error('The link is down.')));
  t.deepEqual(await silent.admit('e', KEY, PLACES, turn(5000)), UNHEARD);
});

test('a prompt whose adapter was taken away is not sent, and takes no room from those that are', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')), false);
  for (let index = 0; index < 5; index += 1)
    t.deepEqual(await own.admit('e', KEY, PLACES, turn(5000)), {
      verdict: Verdict.NotResident,
      delayMs: 0,
      counts: COUNTS,
    });
  const asked = makeAdmission('b', () => Promise.resolve([Verdict.NotResident, 0, 3, 1]));
  t.deepEqual(await asked.admit('e', KEY, PLACES, turn(5000)), {
    verdict: Verdict.NotResident,
    delayMs: 0,
    counts: COUNTS,
  });
});

test('a burst from daemons that have not heard of each other does not fill an engine beyond its places', async (t) => {
  // By what each of them knows, all of the engine is free; only its owner has counted them all.
  const inFlight = new InFlightTable(createManualTimers());
  const decisions: Verdict[] = [];
  for (let index = 0; index < 3 * PLACES; index += 1) {
    const peer = `p${index}`;
    const line = { replica: 'e', running: 1, waiting: 1 };
    inFlight.take(peer, { isWhole: false, replicas: [line], adapters: [] });
    const own = makeAdmission('a', () => Promise.reject(new Error('unused')), true, inFlight.sum('e'));
    const { verdict, counts } = await own.admit('e', KEY, PLACES, turn(10));
    decisions.push(verdict);
    t.is(counts!.running, Math.min(index, PLACES) + 1);
    if (verdict === Verdict.Full) inFlight.forgetPeer(peer);
  }
  t.is(decisions.filter((verdict) => verdict === Verdict.Admitted).length, PLACES);
});

test('an owner that does not know what its engine holds lets prompts go', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')), undefined);
  t.is((await own.admit('e', KEY, PLACES, turn(5000))).delayMs, 0);
});

test('the owner hears of a request before it answers, so that the adapter stays', async (t) => {
  const order: string[] = [];
  let handler: ((from: Member, body: never, channel: PeerChannel) => unknown) | undefined;
  const owner = new PromptAdmission({
    self: 'a',
    cluster: {
      handle: (_type, registered) => {
        handler = registered;
      },
      request: () => Promise.reject(new Error('unused')),
    },
    leases: { of: () => ({ replica: 'e', holder: 'a', token: 1 }) },
    registry: { onReplica: () => undefined, replica: () => engineEntry('e') },
    timers: createManualTimers(),
    log,
    takeChanges: () => NO_CHANGES,
    takeReport: (peer) => order.push(`report of ${peer}`),
    isResident: () => {
      order.push('residency');
      return true;
    },
    counts: () => COUNTS,
  });
  const sender = makeAdmission('b', () => Promise.resolve([Verdict.Admitted, 0, 3, 1]));
  t.is((await sender.admit('e', KEY, PLACES, turn(10))).delayMs, 0);
  t.truthy(owner);
  const from: Member = { address: 'p', zone: 'z', incarnation: 1 };
  const frame = ['e', KEY, PLACES, 5000, PAUSE_MS, 100, [], [false, [['e', 1, 1]], [['e', KEY, 1, 1]]]];
  t.deepEqual(handler!(from, frame as never, { push: () => undefined }), [Verdict.Admitted, 0, 3, 1]);
  t.deepEqual(order, ['report of p', 'residency']);
});
