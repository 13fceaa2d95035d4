/** Requests whose attempts end shortly before their deadlines. */
import type { ResponseSink } from '@celeryyoke/routing';
import { ChannelFailure, PathKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 50 };
const TIMED_OUT = 504;
/** Time from the request until its replica ends, just before the deadline, in milliseconds. */
const ENDS_AT_MS = 19_900;
/** Time for which the daemon looks into that end, in milliseconds. */
const LOOKS_FOR_MS = 300;

// Guards against a promise that a request did not run while the end of its attempt is still being looked into.
test('a request whose replica ends just before its deadline is not said not to have run', async (t) => {
  const site: ExecutionSite = new ExecutionSite(BOUNDS, {
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
        site.timers.after(ENDS_AT_MS, () => sink.onFail(ChannelFailure.Broken, new Error('reset')));
        return { cancel: () => undefined, mayHaveArrived: () => false };
      },
    },
    suspects: {
      suspicionOf: () => 'clear',
      attemptCut: () => site.timers.sleep(LOOKS_FOR_MS),
      attemptCompleted: () => undefined,
    },
  });
  const ended = site.request({ ...ROUTE, isResumable: false });
  await site.timers.advance(ENDS_AT_MS + LOOKS_FOR_MS);
  const { status } = await ended;
  t.is(status, TIMED_OUT);
});
