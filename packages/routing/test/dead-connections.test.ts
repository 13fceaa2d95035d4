/** Attempts whose connections are dead: left for another one that is ready, else kept until they end. */
import type { Choice, Need, ResponseSink, UpstreamRequest } from '@celeryyoke/routing';
import { ChannelFailure, DeathProof, PathKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const NO_RETRIES = { ratio: 0, windowMs: 10_000, slack: 0 };
const RESUMABLE = { ...ROUTE, isResumable: true, maxAttempts: 2 };
const SILENT = 'e-silent';
const RESPONDING = 'e-responding';
/** Time that it takes to prepare another attempt, in milliseconds. */
const PREPARATION_MS = 50;

/** An exchange of the daemon. */
interface SentExchange {
  readonly engine: string;
  readonly sink: ResponseSink;
  isCancelled: boolean;
}

function respond({ sink }: SentExchange): void {
  sink.onHead(200, { 'transfer-encoding': 'chunked', id: 'r1' });
  sink.onEnd();
}

/** What a test varies. */
interface Variation {
  readonly bounds?: typeof BOUNDS;
  readonly maxAttempts?: number;
  readonly responding?: readonly string[];
  readonly hasLimit?: boolean;
}

/** A daemon that has sent a request to an engine that is silent. */
function createSite({ bounds = BOUNDS, responding, hasLimit = true }: Variation = {}) {
  const exchanges: SentExchange[] = [];
  const reviews = new Set<() => void>();
  const flags = { proof: undefined as DeathProof | undefined };
  let mostAtOnce = 0;
  const noop = (): void => undefined;
  const choose = ({ among }: Need): Choice | undefined => {
    const id = among === undefined ? SILENT : [RESPONDING].find((engine) => among.has(engine));
    if (id === undefined) return undefined;
    return { replica: engineEntry(id), residentVersion: 1, needsLoad: false, cost: 0 };
  };
  const site: ExecutionSite = new ExecutionSite(bounds, {
    chooser: createChooser(choose),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (_path: unknown, { id }: { id: string }, _request: UpstreamRequest, sink: ResponseSink) => {
        const exchange = { engine: id, sink, isCancelled: false };
        exchanges.push(exchange);
        mostAtOnce = Math.max(mostAtOnce, exchanges.filter(({ isCancelled }) => !isCancelled).length);
        queueMicrotask(() => sink.onSent());
        return {
          cancel: (reason: string) => {
            exchange.isCancelled = true;
            sink.onFail(ChannelFailure.Cancelled, new Error(reason));
          },
          mayHaveArrived: () => true,
        };
      },
    },
    paths: {
      causeOf: () => undefined,
      onCut: () => noop,
      onReview: (listener: () => void) => {
        reviews.add(listener);
        return () => reviews.delete(listener);
      },
      proofOf: () => flags.proof,
      respondingReplicas: () => new Set(responding ?? [RESPONDING]),
      recordBytes: noop,
      recordEnded: noop,
    },
    dialect: {
      upstreamHeaders: () => [],
      readResponse: () => ({
        requestId: 'r1',
        isSigned: true,
        isEncoded: false,
        isNotRun: false,
        isMisdirected: false,
      }),
    },
    limits: {
      admit: async () => {
        if (exchanges.length > 0) await site.timers.sleep(PREPARATION_MS);
        return exchanges.length === 0 || hasLimit;
      },
      updateFromResponse: noop,
    },
  });
  const review = async (): Promise<void> => {
    for (const listener of [...reviews]) listener();
    await site.timers.advance(2 * PREPARATION_MS);
  };
  return { site, exchanges, flags, review, mostAtOnce: () => mostAtOnce };
}

// Guards against attempts that wait until their deadline though they could be made elsewhere, and against two runs.
test('an attempt on a dead connection is left once another one is ready', async (t) => {
  const { site, exchanges, flags, review, mostAtOnce } = createSite();
  const response = site.request(RESUMABLE);
  await site.timers.advance(10);
  await review();
  t.is(exchanges.length, 1);
  flags.proof = DeathProof.Overtaken;
  await review();
  t.deepEqual(
    exchanges.map(({ engine, isCancelled }) => [engine, isCancelled]),
    [
      [SILENT, true],
      [RESPONDING, false],
    ],
  );
  t.is(mostAtOnce(), 1);
  respond(exchanges[1]!);
  t.is((await response).status, 200);
});

const KEPT: readonly (readonly [reason: string, variation: Variation])[] = [
  ['no attempt is left', { maxAttempts: 1 }],
  ['the retry budget is used up', { bounds: NO_RETRIES }],
  ['no replica responds', { responding: [] }],
  ['the limits of the replica that responds allow none', { hasLimit: false }],
];

for (const [reason, variation] of KEPT)
  // Guards against requests that are given up for an attempt that can’t be made, while a replica works on them.
  test(`an attempt on a dead connection goes on while ${reason}`, async (t) => {
    const { site, exchanges, flags, review } = createSite(variation);
    const response = site.request({ ...RESUMABLE, maxAttempts: variation.maxAttempts ?? 2 });
    await site.timers.advance(10);
    flags.proof = DeathProof.HeardByPeer;
    for (let passed = 0; passed < 5000; passed += 2 * PREPARATION_MS) await review();
    t.is(exchanges.length, 1);
    t.false(exchanges[0]!.isCancelled);
    respond(exchanges[0]!);
    t.is((await response).status, 200);
  });

// Guards against a second run beside one that has just gone on.
test('a byte while another attempt is prepared keeps the first one, and gives the permit back', async (t) => {
  const { site, exchanges, flags, review } = createSite({ bounds: { ...NO_RETRIES, slack: 2 } });
  const response = site.request(RESUMABLE);
  await site.timers.advance(10);
  flags.proof = DeathProof.HeardByPeer;
  site.timers.after(PREPARATION_MS / 2, () => {
    flags.proof = undefined;
  });
  await review();
  t.is(exchanges.length, 1);
  // The permit is there for the next time.
  flags.proof = DeathProof.HeardByPeer;
  await site.timers.advance(1000);
  await review();
  t.is(exchanges.length, 2);
  respond(exchanges[1]!);
  t.is((await response).status, 200);
});
