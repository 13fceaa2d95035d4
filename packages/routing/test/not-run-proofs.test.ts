/** Each end of an attempt, and what a caller of a request that must not be repeated is told of it. */
import type { HeaderMap, ResponseSink } from '@celeryyoke/routing';
import {
  AttemptProof,
  ChannelFailure,
  NotRunProof,
  PathKind,
  RouteKind,
  RunRecord,
} from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const UNSAFE = { ...ROUTE, kind: RouteKind.Unsafe, maxAttempts: 1 };
/** Time after which every request has passed its deadline, in milliseconds. */
const OVER_MS = 21_000;
const OWN: HeaderMap = { id: 'r1' };
const DENIED: HeaderMap = { ...OWN, denied: '1' };

const REFUSED = 503;
const UNKNOWN = 502;
const TIMED_OUT = 504;

/** What becomes of the only attempt. */
type Play = (sink: ResponseSink) => void;

const respond =
  (status: number, headers: HeaderMap): Play =>
  (sink) => {
    sink.onSent();
    sink.onHead(status, headers);
    sink.onEnd();
  };

const fail =
  (failure: ChannelFailure, wasSent: boolean): Play =>
  (sink) => {
    if (wasSent) sink.onSent();
    sink.onFail(failure, new Error('failed'));
  };

/** Ends of an attempt, and the status that the caller gets. */
const ENDS: Readonly<Record<string, readonly [play: Play, status: number]>> = {
  'no connection': [fail(ChannelFailure.NotSent, false), REFUSED],
  'withheld before it was sent': [fail(ChannelFailure.Withheld, false), REFUSED],
  'sent, and then said not to have been': [fail(ChannelFailure.NotSent, true), UNKNOWN],
  'sent, and then said to have been withheld': [fail(ChannelFailure.Withheld, true), UNKNOWN],
  'a reset after it was sent': [fail(ChannelFailure.Broken, true), UNKNOWN],
  'denied by the replica': [respond(REFUSED, DENIED), REFUSED],
  'denied with status 429': [respond(429, DENIED), REFUSED],
  'denied without an id': [respond(REFUSED, { denied: '1' }), UNKNOWN],
  'denied for another request': [respond(REFUSED, { ...DENIED, id: 'r0' }), UNKNOWN],
  'refused without a denial': [respond(REFUSED, OWN), UNKNOWN],
  '429 without a denial': [respond(429, OWN), UNKNOWN],
  '408 without a denial': [respond(408, OWN), UNKNOWN],
  '421 without a denial': [respond(421, OWN), UNKNOWN],
  '421 without an id': [respond(421, {}), UNKNOWN],
  'sent and silent': [(sink) => sink.onSent(), TIMED_OUT],
  'not sent by the deadline': [() => undefined, REFUSED],
};

/** Sends a request whose only attempt ends as given; returns the status of the reply. */
async function statusAfter(play: Play): Promise<number | undefined> {
  let attempts = 0;
  const site: ExecutionSite = new ExecutionSite(BOUNDS, {
    chooser: createChooser(() =>
      attempts > 0
        ? undefined
        : { replica: engineEntry('e1'), residentVersion: 1, needsLoad: false, cost: 0 },
    ),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (_path: unknown, _replica: unknown, _request: unknown, sink: ResponseSink) => {
        attempts += 1;
        let wasSent = false;
        const onSent = (): void => {
          wasSent = true;
          sink.onSent();
        };
        queueMicrotask(() => play({ ...bind(sink), onSent }));
        return {
          cancel: (reason: string) =>
            sink.onFail(wasSent ? ChannelFailure.Cancelled : ChannelFailure.NotSent, new Error(reason)),
          mayHaveArrived: () => wasSent,
        };
      },
    },
    dialect: {
      upstreamHeaders: () => [],
      readResponse: (_status: number, headers: HeaderMap) => ({
        requestId: headers.id,
        isSigned: true,
        isEncoded: false,
        isNotRun: headers.denied !== undefined,
        isMisdirected: false,
      }),
    },
  });
  const ended = site.request(UNSAFE);
  await site.timers.advance(OVER_MS);
  const { status } = await ended;
  return status;
}

function bind(sink: ResponseSink): ResponseSink {
  return {
    onSent: () => sink.onSent(),
    onHead: (status, headers) => sink.onHead(status, headers),
    onData: (chunk) => sink.onData(chunk),
    onEnd: () => sink.onEnd(),
    onFail: (failure, err) => sink.onFail(failure, err),
  };
}

// Guards against a promise that a request has not run for an end of its attempt that does not prove it.
for (const [name, [play, expected]] of Object.entries(ENDS))
  test(`an unsafe request gets ${expected} after this end of its attempt: ${name}`, async (t) => {
    t.is(await statusAfter(play), expected);
  });

// Guards against a proof that is given out while an attempt may still arrive, or after one that may have run.
test('there is a proof only while no attempt may have run', (t) => {
  const runs = new RunRecord();
  t.truthy(NotRunProof.of(runs));
  let mayHaveArrived = false;
  runs.begin(() => mayHaveArrived);
  t.truthy(NotRunProof.of(runs));
  mayHaveArrived = true;
  t.is(NotRunProof.of(runs), undefined);
  runs.end(AttemptProof.Denied);
  t.is(NotRunProof.of(runs)?.denied, 1);
  runs.begin(() => true);
  runs.end(undefined);
  runs.begin(() => false);
  runs.end(AttemptProof.Unsent);
  t.is(NotRunProof.of(runs), undefined);
});
