/** Each way in which a request arrives at a replica again is paid for by a retry permit. */
import type { Choice, MigratedStream, ResponseSink, RetryBudget, UpstreamRequest } from '@celeryyoke/routing';
import { ChannelFailure, DeathProof, PathKind, RetryPermit, RouteKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from '../fakes.js';
import { CHUNKED, createChooser, ExecutionSite, ROUTE } from './execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const STREAM = { ...ROUTE, isResumable: true, maxAttempts: 3 };
const SAFE = { ...ROUTE, kind: RouteKind.Safe, maxAttempts: 3 };
const REFUSED = 503;
const FAILED = 500;
/** Time after which an attempt that does not end by itself is reviewed, in milliseconds. */
const REVIEW_MS = 600;

/** What a replica does with an attempt. */
type Play = (sink: ResponseSink) => void;

const refuse: Play = (sink) => {
  sink.onHead(REFUSED, {});
  sink.onEnd();
};
const fail: Play = (sink) => {
  sink.onHead(FAILED, {});
  sink.onEnd();
};
const reset: Play = (sink) => sink.onFail(ChannelFailure.Broken, new Error('reset'));
const breakOff: Play = (sink) => {
  sink.onHead(200, CHUNKED);
  sink.onData(Buffer.from('id: 1\ndata: a\n\n'));
  sink.onFail(ChannelFailure.Broken, new Error('reset'));
};
const staySilent: Play = () => undefined;
const beginAndStall: Play = (sink) => {
  sink.onHead(200, CHUNKED);
  sink.onData(Buffer.from('id: 1\ndata: a\n\n'));
};
const complete: Play = (sink) => {
  sink.onHead(200, CHUNKED);
  sink.onEnd();
};

/** One way in which a request arrives again. */
interface Way {
  readonly route: typeof ROUTE;
  readonly plays: readonly Play[];
  /** Whether the first attempt, which broke off or is silent, is migrated. */
  readonly isMigrated?: boolean;
}

const WAYS: Readonly<Record<string, Way>> = {
  'a replica refuses': { route: STREAM, plays: [refuse, refuse, complete] },
  'a replica fails a safe request': { route: SAFE, plays: [fail, fail, complete] },
  'a connection is reset before the response': { route: STREAM, plays: [reset, reset, complete] },
  'a stream breaks and goes on': { route: STREAM, plays: [breakOff, breakOff, complete] },
  'a stream is migrated': { route: STREAM, plays: [breakOff, complete], isMigrated: true },
  'an attempt on a dead connection is left': { route: STREAM, plays: [staySilent, complete] },
  'an attempt is left while its stream is migrated': {
    route: STREAM,
    plays: [beginAndStall, complete],
    isMigrated: true,
  },
};

/** Plays one way with one request, and counts arrivals and the permits that were spent. */
async function play({ route, plays, isMigrated = false }: Way) {
  let arrivals = 0;
  let paid = 0;
  const reviews = new Set<() => void>();
  const noop = (): void => undefined;
  const choice = (): Choice => ({
    replica: engineEntry(`e${arrivals}`),
    residentVersion: 1,
    needsLoad: false,
    cost: 0,
  });
  const migrated: MigratedStream = { choice: choice(), continuation: 'copy' };
  const permits: Pick<RetryBudget, 'countRequest' | 'reserve' | 'available'> = {
    countRequest: noop,
    available: () => 1,
    reserve: () =>
      new RetryPermit({
        sent: () => {
          paid += 1;
        },
        settled: noop,
        released: noop,
      }),
  };
  const site: ExecutionSite = new ExecutionSite(BOUNDS, {
    budget: () => permits,
    chooser: createChooser(() => choice()),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (_path: unknown, _replica: unknown, _request: UpstreamRequest, sink: ResponseSink) => {
        const next = plays[arrivals] ?? complete;
        arrivals += 1;
        queueMicrotask(() => {
          sink.onSent();
          next(sink);
        });
        return { cancel: noop, mayHaveArrived: () => true };
      },
    },
    dialect: {
      upstreamHeaders: () => [],
      readResponse: (status: number) => ({
        requestId: 'r1',
        isSigned: true,
        isEncoded: false,
        isNotRun: status === REFUSED,
        isMisdirected: false,
      }),
    },
    migrator: {
      register: () => ({ hasStoppedRun: false }),
      complete: (_migration: unknown, wasCut: boolean) =>
        Promise.resolve(isMigrated && wasCut && arrivals === 1 ? migrated : undefined),
    },
    paths: {
      causeOf: () => undefined,
      onCut: () => noop,
      onReview: (review: () => void) => {
        reviews.add(review);
        return () => reviews.delete(review);
      },
      recordBytes: noop,
      recordEnded: noop,
      proofOf: () => DeathProof.Overtaken,
      respondingReplicas: () => new Set(['e0', 'e1']),
    },
  });
  const ended = site.request(route);
  await site.timers.advance(REVIEW_MS);
  for (const review of reviews) review();
  await site.timers.advance(REVIEW_MS);
  await ended;
  return { arrivals, paid };
}

// Guards against arrivals beyond the first that no permit of the retry budget has paid for.
for (const [name, way] of Object.entries(WAYS))
  test(`every arrival beyond the first is paid for when ${name}`, async (t) => {
    const { arrivals, paid } = await play(way);
    t.is(arrivals, way.plays.length);
    t.is(paid, arrivals - 1);
  });
