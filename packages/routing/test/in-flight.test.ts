/** What is known of requests in flight when each daemon tells only the owner of an engine, and that one all others. */
import { createManualTimers, decode, encode } from '@celeryyoke/core';
import type { AdapterInFlight, InFlightFrame, InFlightReport, ReplicaInFlight } from '@celeryyoke/routing';
import { decodeInFlight, encodeInFlight, InFlightReporter, InFlightTable } from '@celeryyoke/routing';
import test from 'ava';

const KEY = 'base/a1';

function setUp() {
  const timers = createManualTimers();
  return { timers, table: new InFlightTable(timers) };
}

function report(
  replicas: readonly ReplicaInFlight[],
  adapters: readonly AdapterInFlight[],
  isWhole = true,
): InFlightReport {
  return { isWhole, replicas, adapters };
}

const onReplica = (running: number, waiting: number): ReplicaInFlight => ({
  replica: 'e',
  running,
  waiting,
});
const onAdapter = (key: string, running: number, begun = 0): AdapterInFlight => ({
  replica: 'e',
  key,
  running,
  begun,
});

test('the owner’s sum counts, with what has changed here since it was told', (t) => {
  const { table } = setUp();
  const first = table.begin('e', KEY);
  table.takeTotal(onReplica(10, 4));
  t.deepEqual(table.counts('e'), { running: 10, waiting: 4 });
  table.begin('e', KEY);
  t.deepEqual(table.counts('e'), { running: 11, waiting: 5 });
  first.ended();
  t.deepEqual(table.counts('e'), { running: 10, waiting: 4 });
});

test('a sum never counts fewer than this daemon’s own requests', (t) => {
  const { table } = setUp();
  const notes = [table.begin('e', undefined), table.begin('e', undefined)];
  table.takeTotal(onReplica(0, 0));
  notes[0]!.ended();
  t.deepEqual(table.counts('e'), { running: 1, waiting: 1 });
});

test('a sum that is too old does not count', async (t) => {
  const { timers, table } = setUp();
  table.takeTotal(onReplica(10, 4));
  await timers.advance(2600);
  t.deepEqual(table.counts('e'), { running: 0, waiting: 0 });
});

test('the owner sums what each daemon told, once for each, and forgets a silent one', async (t) => {
  const { timers, table } = setUp();
  table.begin('e', KEY);
  table.take('p', report([onReplica(3, 1)], [onAdapter(KEY, 3, 3)]));
  table.take('p', report([onReplica(2, 0)], [onAdapter(KEY, 2)]));
  table.take('q', report([onReplica(1, 1)], [onAdapter('base/a2', 1, 1)]));
  t.deepEqual(table.sum('e'), { running: 4, waiting: 2 });
  t.deepEqual(
    table.runningByAdapter('e'),
    new Map([
      [KEY, 3],
      ['base/a2', 1],
    ]),
  );
  await timers.advance(3600);
  t.deepEqual(table.sum('e'), { running: 1, waiting: 1 });
});

test('the requests of a daemon whose process has ended are forgotten at once', (t) => {
  const { table } = setUp();
  table.take('p', report([onReplica(3, 1)], [onAdapter(KEY, 3, 3)]));
  table.forgetPeer('p');
  t.deepEqual(table.sum('e'), { running: 0, waiting: 0 });
  t.is(table.runningByAdapter('e').size, 0);
});

test('a change counts at once, also as a daemon’s first word, and leaves out what has not changed', (t) => {
  const { table } = setUp();
  table.take('p', report([onReplica(1, 1)], [onAdapter(KEY, 1)], false));
  t.is(table.sum('e').running, 1);
  table.take('p', report([onReplica(2, 0)], [onAdapter(KEY, 2, 1)]));
  table.take('p', report([onReplica(1, 0)], [onAdapter(KEY, 1)], false));
  t.is(table.sum('e').running, 1);
  t.deepEqual(table.runningByAdapter('e'), new Map([[KEY, 1]]));
  table.take('p', report([onReplica(2, 1)], [onAdapter('base/a2', 1)], false));
  t.deepEqual(
    table.runningByAdapter('e'),
    new Map([
      [KEY, 1],
      ['base/a2', 1],
    ]),
  );
});

test('a change told after a long silence does not bring back what was told before', async (t) => {
  const { timers, table } = setUp();
  table.take('p', report([onReplica(5, 0)], [onAdapter(KEY, 5, 5)]));
  await timers.advance(3600);
  table.take('p', report([onReplica(1, 0)], [onAdapter('base/a2', 1)], false));
  t.is(table.sum('e').running, 1);
  t.deepEqual(table.runningByAdapter('e'), new Map([['base/a2', 1]]));
});

test('a report reads as it was written, in fewer bytes than names would take', (t) => {
  const line = { replica: 'i-0c3d9aaac9', key: 'dele69a/a7', running: 2, begun: 1 };
  const told = report([{ replica: 'i-0c3d9aaac9', running: 9, waiting: 3 }], [line], false);
  const frame = encode(encodeInFlight(told));
  t.deepEqual(decodeInFlight(decode(frame) as InFlightFrame), told);
  t.true(frame.length < 60, `${frame.length} bytes`);
});

/** A reporter before one engine with an owner. */
function makeReporter(owner: string | undefined) {
  const owners = { current: owner };
  const timers = createManualTimers();
  const inFlight = new InFlightTable(timers);
  const sent: { to: string; report: InFlightReport }[] = [];
  const used: number[] = [];
  const running: number[] = [];
  const reporter = new InFlightReporter({
    self: 'a',
    cluster: {
      send: (to, _type, body) => sent.push({ to, report: decodeInFlight(body as InFlightFrame) }),
    },
    leases: {
      of: (replica) =>
        owners.current === undefined ? undefined : { replica, holder: owners.current, token: 1 },
    },
    loader: {
      use: (_replica, _key, uses) => used.push(uses),
      setRunning: (_replica, count) => running.push(count().get(KEY) ?? 0),
    },
    inFlight,
    timers,
  });
  return { timers, inFlight, sent, used, running, reporter, owners };
}

test('many requests that begin together are one message to the owner of their engine', async (t) => {
  const { timers, inFlight, sent } = makeReporter('b');
  for (let index = 0; index < 50; index += 1) inFlight.begin('e', KEY);
  await timers.advance(20);
  t.is(sent.length, 1);
  t.deepEqual(sent[0], {
    to: 'b',
    report: report([onReplica(50, 50)], [onAdapter(KEY, 50, 50)], false),
  });
});

test('what went with a request for admission is not told again', async (t) => {
  const { timers, inFlight, sent, reporter } = makeReporter('b');
  inFlight.begin('e', KEY);
  t.deepEqual(reporter.takeChanges('e').adapters, [onAdapter(KEY, 1, 1)]);
  await timers.advance(20);
  t.deepEqual(sent, []);
});

test('an owner hears the whole again and again, and once that there is nothing left', async (t) => {
  const { timers, inFlight, sent } = makeReporter('b');
  const note = inFlight.begin('e', KEY);
  await timers.advance(1010);
  t.deepEqual(sent.at(-1)!.report, report([onReplica(1, 1)], [onAdapter(KEY, 1)]));
  note.ended();
  await timers.advance(2000);
  const wholes = sent.filter((message) => message.report.isWhole);
  t.deepEqual(wholes.at(-1)!.report, report([], []));
  const count = sent.length;
  await timers.advance(3000);
  t.is(sent.length, count);
});

test('after all daemons have started again, a new owner hears at once what already runs on its engine', async (t) => {
  // Until somebody owns the engine, requests go to the adapters that its entry names.
  const { timers, inFlight, sent, reporter, owners } = makeReporter(undefined);
  inFlight.begin('e', KEY);
  await timers.advance(100);
  t.deepEqual(sent, []);
  owners.current = 'b';
  reporter.reportToOwner('e');
  await timers.advance(20);
  t.deepEqual(sent, [{ to: 'b', report: report([onReplica(1, 1)], [onAdapter(KEY, 1, 1)], false) }]);
});

test('requests on an engine of this daemon are counted without a message', async (t) => {
  const { timers, inFlight, sent, used, running } = makeReporter('a');
  inFlight.begin('e', KEY).ended();
  await timers.advance(1100);
  t.deepEqual(sent, []);
  t.deepEqual(used, [1]);
  t.true(running.includes(1));
  t.is(running.at(-1), 0);
});
