/** What is kept of attempts, and for how long. */
import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import type { FollowedAttempt } from '../src/index.js';
import { AttemptEnd, AttemptLedger } from '../src/index.js';

function createLedger() {
  const timers = createManualTimers();
  const ledger = new AttemptLedger(timers);
  const begin = (): FollowedAttempt =>
    ledger.begin({
      replica: 'e1',
      service: 'llm',
      route: 'route',
      shared: [],
      fingerprints: () => ({ exact: 'x', anyQuery: undefined, shared: [] }),
      isRelayed: false,
    });
  return { timers, ledger, begin };
}

// Guards against a ledger that keeps every request that callers give up, with its body, although replicas go on.
test('an attempt that was given up is dropped once its replica has answered others for a while', async (t) => {
  const { timers, ledger, begin } = createLedger();
  const other = begin();
  begin().end(AttemptEnd.Unanswered, timers.now());
  await timers.advance(900);
  other.recordBody(timers.now());
  t.is(ledger.unanswered('e1').length, 2);
  await timers.advance(200);
  other.recordBody(timers.now());
  t.is(ledger.unanswered('e1').length, 1);
  other.end(AttemptEnd.Answered, timers.now());
  ledger.expire();
  t.deepEqual([...ledger.replicas()], []);
});

// Guards against forgetting what a silent replica had in flight before its entry is removed.
test('an attempt that was given up is kept for seconds while its replica is silent', async (t) => {
  const { timers, ledger, begin } = createLedger();
  const attempt = begin();
  attempt.recordBody(timers.now());
  await timers.advance(2000);
  attempt.end(AttemptEnd.Unanswered, timers.now());
  await timers.advance(5000);
  ledger.expire();
  t.is(ledger.unanswered('e1').length, 1);
  await timers.advance(10_000);
  ledger.expire();
  t.deepEqual([...ledger.replicas()], []);
});
