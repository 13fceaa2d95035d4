/** Which incarnation of a replica is at the other end of a connection. */
import { createManualTimers } from '@celeryyoke/core';
import { IncarnationProofs } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from '../fakes.js';

const REPLICA = { ...engineEntry('e1'), bornAt: 1 };
const REPORT_MS = 20;

function setUp(answers: (boolean | undefined)[]) {
  const timers = createManualTimers();
  const state = { reports: 0 };
  const proofs = new IncarnationProofs({
    isRunning: async () => {
      state.reports += 1;
      await timers.sleep(REPORT_MS);
      return answers.length > 1 ? answers.shift() : answers[0];
    },
    timers,
  });
  return { timers, state, proofs };
}

test('a report proves the connections of before, and no later one', async (t) => {
  const { timers, state, proofs } = setUp([true]);
  const openedAt = timers.now();
  const proof = proofs.prove(REPLICA, openedAt);
  t.is(proofs.prove(REPLICA, openedAt), proof, 'connections of one moment share a report');
  await timers.advance(REPORT_MS);
  t.true(await proof);
  t.is(proofs.prove(REPLICA, openedAt), undefined);
  t.is(state.reports, 1);
  await timers.advance(1);
  const later = proofs.prove(REPLICA, timers.now());
  await timers.advance(REPORT_MS);
  t.true(await later);
  t.is(state.reports, 2);
});

// Guards against a report that was asked for before a connection was established: the replica may restart in between.
test('a connection that is established while a report is awaited needs another one', async (t) => {
  const { timers, state, proofs } = setUp([true, false]);
  const first = proofs.prove(REPLICA, timers.now());
  await timers.advance(1);
  const second = proofs.prove(REPLICA, timers.now());
  await timers.advance(2 * REPORT_MS);
  t.deepEqual([await first, await second], [true, false]);
  t.is(state.reports, 2);
});

test('nothing is proved while no report comes, nor for an incarnation that is not listed any more', async (t) => {
  const { timers, proofs } = setUp([undefined]);
  const proof = proofs.prove(REPLICA, timers.now());
  await timers.advance(1000);
  t.false(await proof);
  const other = setUp([true]);
  const proved = other.proofs.prove(REPLICA, other.timers.now());
  await other.timers.advance(REPORT_MS);
  await proved;
  other.proofs.forget(REPLICA.id);
  const late = other.proofs.prove(REPLICA, 0);
  t.not(late, undefined);
  other.proofs.forget(REPLICA.id);
  await other.timers.advance(REPORT_MS);
  await late;
  t.not(other.proofs.prove(REPLICA, 0), undefined, 'what is proved after it was delisted is not kept');
});

test('a replica that states no start needs no proof', (t) => {
  const { state, proofs, timers } = setUp([false]);
  t.is(proofs.prove({ ...REPLICA, bornAt: undefined }, timers.now()), undefined);
  t.is(state.reports, 0);
});

// Guards against a question to a daemon that is gone, whose failure nobody handles.
test('no further report is asked for after the stop', async (t) => {
  const { timers, state, proofs } = setUp([undefined]);
  const proof = proofs.prove(REPLICA, timers.now());
  proofs.stop();
  await timers.advance(REPORT_MS);
  t.false(await proof);
  t.is(state.reports, 1);
});
