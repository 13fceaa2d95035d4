/** Time at which a view counts as confirmed, which proves that a stream taken up before can't have another version. */
import { createManualTimers } from '@celeryyoke/core';
import type { Delta } from '@celeryyoke/routing';
import { ReplicatedStore, StoreWatcher } from '@celeryyoke/routing';
import test from 'ava';

import { NO_HISTORY } from './fakes.js';

const LISTED_UPTO = 7;
/** Time for which this daemon does not read what the store has sent at once, in milliseconds. */
const UNREAD_MS = 700;

// Guards against a view that counts as later than a take-up although the store sent it before, when an item that this
// daemon does not use changed.
test('a response without usable changes that is read late confirms the view as of its request', async (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  let requestedAt = Number.POSITIVE_INFINITY;
  const watcher = new StoreWatcher({
    view,
    timers,
    rank: () => 0,
    isAlone: () => false,
    isFirstStart: false,
    random: () => 0.5,
    source: {
      list: () => Promise.resolve<Delta>({ from: 0, upTo: LISTED_UPTO, isWhole: true, changes: [] }),
      watch: async (after, _waitMs, signal) => {
        if (after > LISTED_UPTO) return timers.sleep(Number.MAX_SAFE_INTEGER, signal).then(() => undefined);
        requestedAt = timers.now();
        await timers.sleep(UNREAD_MS);
        return { from: after, upTo: after + 1, isWhole: false, changes: [] };
      },
      ...NO_HISTORY,
    },
    publish: () => undefined,
    onReachabilityChange: () => undefined,
    onList: () => undefined,
    onFirstList: () => undefined,
    onTakeOver: () => undefined,
  });
  watcher.start();
  while (view.upTo <= LISTED_UPTO && timers.now() < 5000) await timers.advance(10);
  watcher.stop();
  t.is(view.upTo, LISTED_UPTO + 1);
  t.is(view.confirmedAt, requestedAt);
});
