/** Records of where streams began: they outlive the daemon that made them, are bounded, and belong to one caller. */
import { OriginState, streamKey } from '@celeryyoke/routing';
import test from 'ava';

import type { OriginDaemon } from './fleet.js';
import { OriginFleet, RETENTION_MS } from './fleet.js';

const HOSTS = ['a:1', 'b:2', 'c:3', 'd:4', 'e:5', 'f:6', 'g:7'];
const KNOWN_V1 = { state: OriginState.Known, softwareVersion: 'v1' };

async function startFleet(...versions: readonly string[]) {
  const fleet = new OriginFleet();
  for (const host of HOSTS) fleet.start(host, true);
  for (const [index, version] of versions.entries()) fleet.list(`e${index}`, version);
  await fleet.timers.advance(1000);
  const [first] = fleet.daemons.values();
  return { fleet, first: first!, host: (index: number) => fleet.daemons.get(HOSTS[index]!)! };
}

async function originAt(daemon: OriginDaemon, id: string, body = 'prompt') {
  return (await daemon.origins.lookUp(streamKey(body, id))).origin;
}

// Guards against a cost where all replicas have one version.
test('while one version serves, streams cause no message and no record', async (t) => {
  const { fleet, first } = await startFleet('v1', 'v1');
  const { messages } = fleet;
  for (let index = 0; index < 100; index += 1) {
    const stream = first.begin(`s${index}`, 'v1');
    await fleet.timers.advance(10);
    first.origins.end(stream, index % 2 === 0);
  }
  t.is(fleet.messages, messages);
  t.is(first.origins.size, 0);
});

// Guards against a stream that nobody knows once the host that began it is gone.
for (const other of HOSTS.slice(1))
  test(`a record outlives the daemon that made it and ${other}, and every other daemon finds it`, async (t) => {
    const { fleet, first } = await startFleet('v1', 'v2');
    for (let index = 0; index < 50; index += 1) first.begin(`s${index}`, 'v1');
    fleet.kill(HOSTS[0]!);
    fleet.kill(other);
    for (const daemon of fleet.daemons.values())
      for (let index = 0; index < 50; index += 1) t.deepEqual(await originAt(daemon, `s${index}`), KNOWN_V1);
  });

// Guards against streams that began before a second version appeared, and are taken up after it.
test('running streams, and those that broke a moment ago, are recorded when a second version appears', async (t) => {
  const { fleet, first, host } = await startFleet('v1');
  first.begin('running', 'v1');
  first.origins.end(first.begin('broken', 'v1'), false);
  first.origins.end(first.begin('complete', 'v1'), true);
  fleet.list('e1', 'v2');
  await fleet.timers.advance(200);
  fleet.kill(HOSTS[0]!);
  t.deepEqual(await originAt(host(1), 'running'), KNOWN_V1);
  t.deepEqual(await originAt(host(2), 'broken'), KNOWN_V1);
  t.deepEqual(await originAt(host(3), 'complete'), { state: OriginState.Unknown });
});

// Guards against streams that are forgotten before their callers' deadlines, and are refused.
test('a stream is remembered until its caller’s deadline, whether it runs or broke before doubt arose', async (t) => {
  const { fleet, first, host } = await startFleet('v1');
  first.begin('running', 'v1', 'prompt', 4 * RETENTION_MS);
  first.origins.end(first.begin('broken', 'v1', 'prompt', 4 * RETENTION_MS), false);
  await fleet.timers.advance(RETENTION_MS);
  fleet.list('e1', 'v2');
  await fleet.timers.advance(2 * RETENTION_MS);
  fleet.kill(HOSTS[0]!);
  for (const id of ['running', 'broken']) t.deepEqual(await originAt(host(1), id), KNOWN_V1);
  await fleet.timers.advance(RETENTION_MS + 1000);
  for (const daemon of fleet.daemons.values()) t.is(daemon.origins.size, 0);
});

test('a stream whose version becomes known later is recorded then', async (t) => {
  const { fleet, first, host } = await startFleet('v1', 'v2');
  let softwareVersion: string | undefined;
  const key = streamKey('prompt', 's');
  first.origins.begin({
    service: 'engines',
    key: () => key,
    softwareVersion: () => softwareVersion,
    deadlineAt: undefined,
  });
  await fleet.timers.advance(200);
  t.deepEqual(await originAt(host(1), 's'), { state: OriginState.Unknown });
  softwareVersion = 'v1';
  await fleet.timers.advance(200);
  t.deepEqual(await originAt(host(1), 's'), KNOWN_V1);
});

test('a running stream is known to its new owners when hosts are replaced', async (t) => {
  const { fleet, first } = await startFleet('v1', 'v2');
  for (let index = 0; index < 20; index += 1) first.begin(`s${index}`, 'v1');
  for (const address of HOSTS.slice(1)) {
    fleet.kill(address);
    await fleet.timers.advance(1500);
    fleet.start(address);
    await fleet.timers.advance(1500);
  }
  fleet.kill(HOSTS[0]!);
  for (const daemon of fleet.daemons.values())
    for (let index = 0; index < 20; index += 1) t.deepEqual(await originAt(daemon, `s${index}`), KNOWN_V1);
});

// Guards against a caller that steers another one's stream with its request id.
test('a caller that sends the request id of another one changes nothing for it', async (t) => {
  const { first, host } = await startFleet('v1', 'v2');
  first.begin('s', 'v1', 'prompt of one account');
  host(1).begin('s', 'v2', 'prompt of another account');
  t.deepEqual(await originAt(host(2), 's', 'prompt of one account'), KNOWN_V1);
});

test('streams that can’t be told apart and began at two versions go on nowhere, at no daemon', async (t) => {
  const { fleet, first, host } = await startFleet('v1', 'v2');
  first.begin('s', 'v1');
  host(1).begin('s', 'v2');
  for (const daemon of fleet.daemons.values())
    t.deepEqual(await originAt(daemon, 's'), { state: OriginState.Ambiguous });
});

// Guards against refusals of callers that name no attempt, as those of before do, after the whole fleet has started.
test('a caller that names no attempt goes on where all streams of its request began', async (t) => {
  const { first, host } = await startFleet('v1', 'v2');
  const originOf = async (request: string) =>
    (await host(2).origins.lookUp({ request, attempt: undefined })).origin;
  first.begin('s1', 'v1', 'one');
  host(1).begin('s2', 'v1', 'one');
  t.deepEqual(await originOf('one'), KNOWN_V1);
  host(1).begin('s3', 'v2', 'one');
  t.deepEqual(await originOf('one'), { state: OriginState.Ambiguous });
  t.deepEqual(await originOf('another'), { state: OriginState.Unknown });
  for (let index = 0; index < 100; index += 1) first.begin(`s${index}`, 'v1', 'many');
  t.deepEqual(await originOf('many'), { state: OriginState.Ambiguous });
});

// Guards against callers that fill a daemon's memory.
test('records are bounded in size, number and time', async (t) => {
  const { fleet, first } = await startFleet('v1', 'v2');
  t.is(streamKey('p', 'x'.repeat(1_000_000)).attempt.length, streamKey('p', 's').attempt.length);
  for (let index = 0; index < 100_000; index += 1) first.origins.end(first.begin(`s${index}`, 'v1'), false);
  t.is(first.origins.size, 32_768);
  t.is(first.origins.droppedCount, 100_000 - 32_768);
  await fleet.timers.advance(RETENTION_MS + 1000);
  for (const daemon of fleet.daemons.values()) t.is(daemon.origins.size, 0);
});

test('an owner that can’t be reached is not waited for when the others know the stream', async (t) => {
  const { fleet, first, host } = await startFleet('v1', 'v2');
  for (let index = 0; index < 20; index += 1) first.begin(`s${index}`, 'v1');
  const { alive } = fleet;
  fleet.kill(HOSTS[0]!);
  fleet.kill(HOSTS[2]!);
  // The others have not noticed it yet.
  fleet.alive = alive;
  for (let index = 0; index < 20; index += 1) t.deepEqual(await originAt(host(1), `s${index}`), KNOWN_V1);
});
