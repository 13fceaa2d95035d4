/**
 * Requests in flight: each daemon reports to the owner of an engine, which publishes the sum to all others.
 */
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

test('the sum that the owner published is corrected by this daemon’s changes since', (t) => {
  const { table } = setUp();
  const first = table.begin('e', KEY);
  table.setPublishedTotal(onReplica(10, 4));
  t.deepEqual(table.countsOf('e'), { running: 10, waiting: 4 });
  table.begin('e', KEY);
  t.deepEqual(table.countsOf('e'), { running: 11, waiting: 5 });
  first.requestEnded();
  t.deepEqual(table.countsOf('e'), { running: 10, waiting: 4 });
});

test('the total is never lower than this daemon’s own requests', (t) => {
  const { table } = setUp();
  const handles = [table.begin('e', undefined), table.begin('e', undefined)];
  table.setPublishedTotal(onReplica(0, 0));
  handles[0]!.requestEnded();
  t.deepEqual(table.countsOf('e'), { running: 1, waiting: 1 });
});

test('a published sum expires', async (t) => {
  const { timers, table } = setUp();
  table.setPublishedTotal(onReplica(10, 4));
  await timers.advance(2600);
  t.deepEqual(table.countsOf('e'), { running: 0, waiting: 0 });
});

test('the owner sums the latest report of each daemon, and a report expires', async (t) => {
  const { timers, table } = setUp();
  table.begin('e', KEY);
  table.mergeReport('p', report([onReplica(3, 1)], [onAdapter(KEY, 3, 3)]));
  table.mergeReport('p', report([onReplica(2, 0)], [onAdapter(KEY, 2)]));
  table.mergeReport('q', report([onReplica(1, 1)], [onAdapter('base/a2', 1, 1)]));
  t.deepEqual(table.sumOfReports('e'), { running: 4, waiting: 2 });
  t.deepEqual(
    table.runningByAdapter('e'),
    new Map([
      [KEY, 3],
      ['base/a2', 1],
    ]),
  );
  await timers.advance(3600);
  t.deepEqual(table.sumOfReports('e'), { running: 1, waiting: 1 });
});

test('the reports of a daemon whose process has ended are removed at once', (t) => {
  const { table } = setUp();
  table.mergeReport('p', report([onReplica(3, 1)], [onAdapter(KEY, 3, 3)]));
  table.removePeer('p');
  t.deepEqual(table.sumOfReports('e'), { running: 0, waiting: 0 });
  t.is(table.runningByAdapter('e').size, 0);
});

test('a partial report counts at once, even as the first, and leaves other counts as they were', (t) => {
  const { table } = setUp();
  table.mergeReport('p', report([onReplica(1, 1)], [onAdapter(KEY, 1)], false));
  t.is(table.sumOfReports('e').running, 1);
  table.mergeReport('p', report([onReplica(2, 0)], [onAdapter(KEY, 2, 1)]));
  table.mergeReport('p', report([onReplica(1, 0)], [onAdapter(KEY, 1)], false));
  t.is(table.sumOfReports('e').running, 1);
  t.deepEqual(table.runningByAdapter('e'), new Map([[KEY, 1]]));
  table.mergeReport('p', report([onReplica(2, 1)], [onAdapter('base/a2', 1)], false));
  t.deepEqual(
    table.runningByAdapter('e'),
    new Map([
      [KEY, 1],
      ['base/a2', 1],
    ]),
  );
});

test('a partial report after an expired one does not restore the expired counts', async (t) => {
  const { timers, table } = setUp();
  table.mergeReport('p', report([onReplica(5, 0)], [onAdapter(KEY, 5, 5)]));
  await timers.advance(3600);
  table.mergeReport('p', report([onReplica(1, 0)], [onAdapter('base/a2', 1)], false));
  t.is(table.sumOfReports('e').running, 1);
  t.deepEqual(table.runningByAdapter('e'), new Map([['base/a2', 1]]));
});

test('a report survives encoding and decoding, and takes less than 60 bytes', (t) => {
  const adapterRow = { replica: 'i-0c3d9aaac9', key: 'dele69a/a7', running: 2, begun: 1 };
  const original = report([{ replica: 'i-0c3d9aaac9', running: 9, waiting: 3 }], [adapterRow], false);
  const frame = encode(encodeInFlight(original));
  t.deepEqual(decodeInFlight(decode(frame) as InFlightFrame), original);
  t.true(frame.length < 60, `${frame.length} bytes`);
});

/** Makes a reporter whose one engine has the given owner. */
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
      leaseOf: (replica) =>
        owners.current === undefined ? undefined : { replica, holder: owners.current, token: 1 },
    },
    loader: {
      recordUses: (_replica, _key, uses) => used.push(uses),
      setRunning: (_replica, count) => running.push(count().get(KEY) ?? 0),
    },
    inFlight,
    timers,
  });
  return { timers, inFlight, sent, used, running, reporter, owners };
}

test('requests that begin together are reported to the engine’s owner in one message', async (t) => {
  const { timers, inFlight, sent } = makeReporter('b');
  for (let index = 0; index < 50; index += 1) inFlight.begin('e', KEY);
  await timers.advance(20);
  t.is(sent.length, 1);
  t.deepEqual(sent[0], {
    to: 'b',
    report: report([onReplica(50, 50)], [onAdapter(KEY, 50, 50)], false),
  });
});

test('changes that were sent with an admission request are not reported again', async (t) => {
  const { timers, inFlight, sent, reporter } = makeReporter('b');
  inFlight.begin('e', KEY);
  t.deepEqual(reporter.takeChanges('e').adapters, [onAdapter(KEY, 1, 1)]);
  await timers.advance(20);
  t.deepEqual(sent, []);
});

test('an owner gets full reports periodically, and a last one when no request is left', async (t) => {
  const { timers, inFlight, sent } = makeReporter('b');
  const handle = inFlight.begin('e', KEY);
  await timers.advance(1010);
  t.deepEqual(sent.at(-1)!.report, report([onReplica(1, 1)], [onAdapter(KEY, 1)]));
  handle.requestEnded();
  await timers.advance(2000);
  const fullReports = sent.filter((message) => message.report.isWhole);
  t.deepEqual(fullReports.at(-1)!.report, report([], []));
  const count = sent.length;
  await timers.advance(3000);
  t.is(sent.length, count);
});

test('after a restart of all daemons, a new owner gets at once what runs on its engine', async (t) => {
  // While the engine has no owner, requests go to the adapters that its registry entry lists.
  const { timers, inFlight, sent, reporter, owners } = makeReporter(undefined);
  inFlight.begin('e', KEY);
  await timers.advance(100);
  t.deepEqual(sent, []);
  owners.current = 'b';
  reporter.reportToOwner('e');
  await timers.advance(20);
  t.deepEqual(sent, [{ to: 'b', report: report([onReplica(1, 1)], [onAdapter(KEY, 1, 1)], false) }]);
});

test('requests on an engine that this daemon owns are counted without a message', async (t) => {
  const { timers, inFlight, sent, used, running } = makeReporter('a');
  inFlight.begin('e', KEY).requestEnded();
  await timers.advance(1100);
  t.deepEqual(sent, []);
  t.deepEqual(used, [1]);
  t.true(running.includes(1));
  t.is(running.at(-1), 0);
});
