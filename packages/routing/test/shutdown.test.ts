/** Requests while their daemon shuts down: what can't be finished is not begun, and what is left is answered. */
import type { ResponseSink } from '@celeryyoke/routing';
import { PathKind, RouteKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const UNSAFE = { ...ROUTE, kind: RouteKind.Unsafe };
const REFUSED = 503;
const UNKNOWN = 502;
/** Time left of the grace period, in milliseconds; shorter than the deadline of the requests. */
const LEFT_MS = 5000;
/** Time after which every request has passed its deadline, in milliseconds. */
const OVER_MS = 21_000;

/** A daemon whose requests wait for an adapter that is not loaded. */
function siteWithoutAdapter(): ExecutionSite {
  const site = new ExecutionSite(BOUNDS);
  site.canLoad = false;
  site.isDown = true;
  return site;
}

/** A daemon whose requests are sent and get no answer. */
function siteWithoutAnswer(): ExecutionSite {
  return new ExecutionSite(BOUNDS, {
    chooser: createChooser(() => ({
      replica: engineEntry('e1'),
      residentVersion: 1,
      needsLoad: false,
      cost: 0,
    })),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (_path: unknown, _replica: unknown, _request: unknown, sink: ResponseSink) => {
        queueMicrotask(() => sink.onSent());
        return { cancel: () => undefined, mayHaveArrived: () => true, pause: () => undefined };
      },
    },
  });
}

// Guards against requests that wait in a daemon that shuts down until they can't be finished any more.
test('a request that waits and may outlast the daemon is refused when the daemon passes no more on', async (t) => {
  const site = siteWithoutAdapter();
  const response = site.request(UNSAFE);
  await site.timers.advance(100);
  site.shutdown.refuse(site.timers.now() + LEFT_MS);
  t.is(site.latestResponse?.status, REFUSED);
  await site.timers.advance(OVER_MS);
  await response;
});

test('a request that waits and will be over in time waits on', async (t) => {
  const site = siteWithoutAdapter();
  let hasEnded = false;
  const response = site.request({ ...UNSAFE, timeoutMs: LEFT_MS - 200 }).then(() => {
    hasEnded = true;
  });
  await site.timers.advance(100);
  site.shutdown.refuse(site.timers.now() + LEFT_MS);
  await site.timers.advance(100);
  t.false(hasEnded);
  await site.timers.advance(LEFT_MS);
  await response;
});

test('a request that comes when the daemon passes no more on is refused at once', async (t) => {
  const site = siteWithoutAnswer();
  site.shutdown.refuse(site.timers.now() + LEFT_MS);
  t.is((await site.request(UNSAFE)).status, REFUSED);
});

// Guards against requests in progress whose connections close without an answer at the end.
test('a request that was passed on goes on until the end, and gets its final answer then', async (t) => {
  const site = siteWithoutAnswer();
  const response = site.request(UNSAFE);
  await site.timers.advance(100);
  site.shutdown.refuse(site.timers.now() + LEFT_MS);
  await site.timers.advance(100);
  site.shutdown.end();
  t.is((await response).status, UNKNOWN);
});
