/** Requests whose replicas accept no connection, as they have ended and are still listed. */
import type { Need, ResponseSink } from '@celeryyoke/routing';
import { ChannelFailure, PathKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 50 };
/** Status of an answer that needs no signature. */
const ANSWERED = 422;
const NOT_RUN = 503;
/** Time in which callers without a sign of a replica are refused: half of the gap that they bear, in milliseconds. */
const GIVEN_UP_MS = 1100;
/** Time in which a connection is refused, in milliseconds. */
const REFUSED_AFTER_MS = 5;

/** Sends a request to a service of which some replicas have ended; returns its status and the attempts made. */
async function play(replicas: number, ended: number): Promise<{ status?: number; attempts: number }> {
  const ids = Array.from({ length: replicas }, (_, index) => `e${index}`);
  const gone = new Set(ids.slice(0, ended));
  let attempts = 0;
  const site: ExecutionSite = new ExecutionSite(BOUNDS, {
    chooser: createChooser(({ tried, unreached }: Need) => {
      // Those that were not reached stay ejected.
      const id = ids.find((one) => !tried.has(one)) ?? ids.find((one) => !unreached.has(one));
      if (id === undefined) return undefined;
      return { replica: engineEntry(id), residentVersion: 1, needsLoad: false, cost: 0 };
    }),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (_path: unknown, { id }: { id: string }, _request: unknown, sink: ResponseSink) => {
        attempts += 1;
        site.timers.after(REFUSED_AFTER_MS, () => {
          if (gone.has(id)) sink.onFail(ChannelFailure.NotSent, new Error('connect ECONNREFUSED'));
          else {
            sink.onSent();
            sink.onHead(ANSWERED, { id: 'r1' });
            sink.onEnd();
          }
        });
        return { cancel: () => undefined, mayHaveArrived: () => false };
      },
    },
  });
  const ending = site.request(ROUTE);
  await site.timers.advance(GIVEN_UP_MS);
  const { status } = await ending;
  return { status, attempts };
}

// Guards against requests that are refused beside sound replicas, as several that have ended are tried first.
test('a request is served though six replicas that it is sent to first accept no connection', async (t) => {
  const { status } = await play(12, 6);
  t.is(status, ANSWERED);
});

// Guards against attempts without end where no replica accepts a connection.
test('a request is refused once all replicas of its service accept no connection', async (t) => {
  const { status, attempts } = await play(4, 4);
  t.log(`${attempts} attempts`);
  t.is(status, NOT_RUN);
  t.true(attempts <= 8);
});
