/**
 * Long and short prompts that arrive together at an engine: the streams there keep the allowed gap between
 * events, and no prompt is delayed for longer than it can afford.
 *
 * The engines prefill 40 tokens in a millisecond, and the longest allowed gap is 300 ms.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { AdmissionRequest, Member, PeerChannel, Prompt, ReplicaEntry } from '@celeryyoke/routing';
import {
  InFlightTable,
  PromptAdmission,
  PromptPacer,
  PrefillRate,
  AdmissionVerdict,
} from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { engineEntry, log } from './fakes.js';

const MS_PER_TOKEN = 0.025;
const MAX_GAP_MS = 300;
/** Streams on the engine: together they would wait longer for a prompt than it may be delayed. */
const RUNNING = 400;
const promptOf = (
  tokens: number,
  maxDelayMs = 10_000,
): Prompt & Pick<AdmissionRequest, 'prefillSamples'> => ({
  tokens,
  maxGapMs: MAX_GAP_MS,
  maxDelayMs,
  prefillSamples: [],
});

/** Returns the longest prefill, in milliseconds, that starts within any span of the longest allowed gap. */
function maxPrefillMs(sent: readonly { at: number; tokens: number }[]): number {
  const tokensFrom = (from: number): number =>
    sent.reduce((sum, { at, tokens }) => (at >= from && at < from + MAX_GAP_MS ? sum + tokens : sum), 0);
  return Math.max(...sent.map(({ at }) => tokensFrom(at) * MS_PER_TOKEN));
}

test('a single prompt is sent at once, whatever its size', (t) => {
  t.is(new PromptPacer(() => MS_PER_TOKEN).delayMs(promptOf(100), RUNNING, 0), 0);
  t.is(new PromptPacer(() => MS_PER_TOKEN).delayMs(promptOf(100_000), RUNNING, 0), 0);
});

test('prompts that arrive together are spread so that prefill takes up only a share of each gap', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const sizes = [4000, 800, 800, 3000, 800, 2500, 800, 6000, 800, 800];
  const sent = sizes.map((tokens) => ({ at: pacer.delayMs(promptOf(tokens), RUNNING, 0), tokens }));
  const unspaced = sizes.reduce((sum, tokens) => sum + tokens, 0) * MS_PER_TOKEN;
  t.true(unspaced > MAX_GAP_MS);
  t.true(maxPrefillMs(sent) <= MAX_GAP_MS * 0.85, `${maxPrefillMs(sent)} ms`);
});

test('a prompt is not delayed for longer than it can afford', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  pacer.delayMs(promptOf(8000), RUNNING, 0);
  const delayMs = pacer.delayMs(promptOf(8000, 50), RUNNING, 0);
  t.true(delayMs > 0 && delayMs <= 50, `${delayMs} ms`);
});

// Guards against callers that wait longer for the sake of running streams than these would wait for them.
test('a prompt is not delayed for longer than its prefill would delay all running streams together', (t) => {
  const tokens = 8000;
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  pacer.delayMs(promptOf(tokens), 1, 0);
  t.true(pacer.delayMs(promptOf(tokens), 1, 0) <= tokens * MS_PER_TOKEN);
  t.is(pacer.delayMs(promptOf(tokens), 0, 0), 0);
});

test('prompts that arrive as fast as the engine prefills are not delayed', (t) => {
  // Delaying them would help nobody, as the backlog would never drain.
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const delays: number[] = [];
  for (let now = 0; now < 8000; now += 50) delays.push(pacer.delayMs(promptOf(2000, 400), RUNNING, now));
  t.true(Math.max(...delays.slice(-40)) < 40, `${Math.max(...delays.slice(-40))} ms`);
});

test('every delay is finite, not negative and at most the longest allowed one', (t) => {
  const arrivals = fc.array(
    fc.record({ gap: fc.nat({ max: 400 }), tokens: fc.integer({ min: 1, max: 20_000 }) }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(arrivals, fc.nat({ max: 2000 }), (list, maxDelayMs) => {
      const pacer = new PromptPacer(() => MS_PER_TOKEN);
      let now = 0;
      for (const { gap, tokens } of list) {
        now += gap;
        const delayMs = pacer.delayMs(promptOf(tokens, maxDelayMs), RUNNING, now);
        t.true(Number.isFinite(delayMs) && delayMs >= 0 && delayMs <= maxDelayMs);
      }
    }),
  );
});

test('the prefill time of a token is estimated from first events, whatever queue delay they contain', (t) => {
  const rate = new PrefillRate(() => 0.04);
  const before = rate.msPerToken;
  for (let index = 0; index < 200; index += 1) {
    const tokens = 200 + ((index * 397) % 5000);
    const queueMs = 20 + ((index * 31) % 90);
    rate.addSample({ tokens, ms: queueMs + tokens * MS_PER_TOKEN });
  }
  t.not(rate.msPerToken, before);
  t.true(Math.abs(rate.msPerToken - MS_PER_TOKEN) < 0.1 * MS_PER_TOKEN, `${rate.msPerToken}`);
});

test('an engine that prefills more slowly than the others of its service gets fewer tokens', (t) => {
  const pacer = new PromptPacer(() => MS_PER_TOKEN);
  const prefillSamples = Array.from({ length: 60 }, (_, index) => {
    const tokens = 200 + ((index * 397) % 5000);
    return { tokens, ms: 20 + tokens * MS_PER_TOKEN * 2 };
  });
  pacer.delayMs({ ...promptOf(4000), prefillSamples }, RUNNING, 0);
  t.true(pacer.delayMs(promptOf(4000), RUNNING, 0) > 0);
  const ordinary = new PromptPacer(() => MS_PER_TOKEN);
  ordinary.delayMs(promptOf(4000), RUNNING, 0);
  t.is(ordinary.delayMs(promptOf(4000), RUNNING, 0), 0);
});

const KEY = 'base/a1';
const ADMITTED_WITHOUT_OWNER = { verdict: AdmissionVerdict.Admitted, delayMs: 0, counts: undefined };
const SLOTS = 8;
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
    leases: { leaseOf: () => (holder === undefined ? undefined : { replica: 'e', holder, token: 1 }) },
    registry: { onReplica: () => undefined, replica: () => entry },
    timers: createManualTimers(),
    log,
    takeChanges: () => NO_CHANGES,
    mergeReport: () => undefined,
    isResident: () => isResident,
    counts: () => counts,
  });
}

test('the owner of an engine spaces the prompts of all daemons', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')));
  t.deepEqual(await own.admit('e', KEY, SLOTS, promptOf(5000)), {
    verdict: AdmissionVerdict.Admitted,
    delayMs: 0,
    counts: COUNTS,
  });
  t.true((await own.admit('e', KEY, SLOTS, promptOf(5000))).delayMs > 0);
  const remote = makeAdmission('b', () => Promise.resolve([AdmissionVerdict.Admitted, 120, 3, 1]));
  t.deepEqual(await remote.admit('e', KEY, SLOTS, promptOf(5000)), {
    verdict: AdmissionVerdict.Admitted,
    delayMs: 120,
    counts: COUNTS,
  });
});

test('a prompt is sent at once when its engine has no owner or the owner does not respond', async (t) => {
  const nobody = makeAdmission(undefined, () => Promise.resolve([AdmissionVerdict.Admitted, 99, 3, 1]));
  t.deepEqual(await nobody.admit('e', KEY, SLOTS, promptOf(5000)), ADMITTED_WITHOUT_OWNER);
  const silent = makeAdmission('b', () => Promise.reject(new Error('The link is down.')));
  t.deepEqual(await silent.admit('e', KEY, SLOTS, promptOf(5000)), ADMITTED_WITHOUT_OWNER);
});

test('a prompt whose adapter was unloaded is refused, and does not delay other prompts', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')), false);
  for (let index = 0; index < 5; index += 1)
    t.deepEqual(await own.admit('e', KEY, SLOTS, promptOf(5000)), {
      verdict: AdmissionVerdict.NotResident,
      delayMs: 0,
      counts: COUNTS,
    });
  const remote = makeAdmission('b', () => Promise.resolve([AdmissionVerdict.NotResident, 0, 3, 1]));
  t.deepEqual(await remote.admit('e', KEY, SLOTS, promptOf(5000)), {
    verdict: AdmissionVerdict.NotResident,
    delayMs: 0,
    counts: COUNTS,
  });
});

test('a burst from daemons with separate views stays within an engine’s slots', async (t) => {
  // To each of the daemons the engine looks idle; only the owner counts the requests of all.
  const inFlight = new InFlightTable(createManualTimers());
  const decisions: AdmissionVerdict[] = [];
  for (let index = 0; index < 3 * SLOTS; index += 1) {
    const peer = `p${index}`;
    const replicaRow = { replica: 'e', running: 1, waiting: 1 };
    inFlight.mergeReport(peer, { isWhole: false, replicas: [replicaRow], adapters: [] });
    const own = makeAdmission(
      'a',
      () => Promise.reject(new Error('unused')),
      true,
      inFlight.sumOfReports('e'),
    );
    const { verdict, counts } = await own.admit('e', KEY, SLOTS, promptOf(10));
    decisions.push(verdict);
    t.is(counts!.running, Math.min(index, SLOTS) + 1);
    if (verdict === AdmissionVerdict.Full) inFlight.removePeer(peer);
  }
  t.is(decisions.filter((verdict) => verdict === AdmissionVerdict.Admitted).length, SLOTS);
});

test('an owner that does not know which adapters are resident admits prompts', async (t) => {
  const own = makeAdmission('a', () => Promise.reject(new Error('unused')), undefined);
  t.is((await own.admit('e', KEY, SLOTS, promptOf(5000))).delayMs, 0);
});

test('the owner counts a request before it decides, so that the adapter is not evicted', async (t) => {
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
    leases: { leaseOf: () => ({ replica: 'e', holder: 'a', token: 1 }) },
    registry: { onReplica: () => undefined, replica: () => engineEntry('e') },
    timers: createManualTimers(),
    log,
    takeChanges: () => NO_CHANGES,
    mergeReport: (peer) => order.push(`report of ${peer}`),
    isResident: () => {
      order.push('residency');
      return true;
    },
    counts: () => COUNTS,
  });
  const sender = makeAdmission('b', () => Promise.resolve([AdmissionVerdict.Admitted, 0, 3, 1]));
  t.is((await sender.admit('e', KEY, SLOTS, promptOf(10))).delayMs, 0);
  t.truthy(owner);
  const from: Member = { address: 'p', zone: 'z', incarnation: 1 };
  const frame = ['e', KEY, SLOTS, 5000, MAX_GAP_MS, 100, [], [false, [['e', 1, 1]], [['e', KEY, 1, 1]]]];
  t.deepEqual(handler!(from, frame as never, { push: () => true, onDrain: () => undefined }), [
    AdmissionVerdict.Admitted,
    0,
    3,
    1,
  ]);
  t.deepEqual(order, ['report of p', 'residency']);
});
