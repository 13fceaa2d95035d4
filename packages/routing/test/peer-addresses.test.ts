/** Addresses of peers that no connection can be opened to, and records of members that are none. */
import { createSilentLog, createSystemTimers } from '@celeryyoke/core';
import type { LinkEvents, MemberFrame } from '@celeryyoke/routing';
import {
  Cluster,
  createTcpTransport,
  encodeMember,
  LinkEnd,
  MemberState,
  MessageType,
} from '@celeryyoke/routing';
import test from 'ava';

const SELF = '127.0.0.1:14983';
const PEER = '127.0.0.2:14983';
const ABSENT = '127.0.0.3:14983';
const ODD_ADDRESSES = ['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:x'];
/** Several intervals at which daemons probe each other, in milliseconds. */
const PROBED_MS = 1500;
const timers = createSystemTimers();

function frameOf(address: string): MemberFrame {
  return encodeMember({ address, zone: 'z', incarnation: 1, version: 0, state: MemberState.Alive });
}

const ODD_FRAMES: readonly unknown[] = [
  ...[...ODD_ADDRESSES, '127.0.0.1', '', ':80'].map(frameOf),
  null,
  7,
  [],
  [80, 'z', 1, 0, 0],
  ['127.0.0.4:80', null, 1, 0, 0],
  ['127.0.0.4:80', 'z', Number.POSITIVE_INFINITY, 0, 0],
  ['127.0.0.4:80', 'z', 1, Number.NaN, 0],
  ['127.0.0.4:80', 'z', 1, -1, 0],
  [SELF, 'z', Number.POSITIVE_INFINITY, 0, 0],
];

function eventsOf(onEnd: LinkEvents['onEnd']): LinkEvents {
  return { hello: () => frameOf(PEER), onPush: () => undefined, onDigest: () => undefined, onEnd };
}

// Guards against an exception in the step that dials a peer, which ends the process.
test('a link to an impossible address ends like one that can’t be established', async (t) => {
  for (const address of ODD_ADDRESSES) {
    const end = await new Promise<readonly [LinkEnd, boolean]>((resolve) => {
      createTcpTransport(SELF, timers).connect(
        address,
        eventsOf((...args) => resolve(args)),
      );
    });
    t.deepEqual(end, [LinkEnd.Closed, false]);
  }
});

// Guards against one malformed record of a member that spreads, or costs the sound records beside it.
test('malformed records of members are not taken, and the sound ones beside them are', async (t) => {
  const cluster = new Cluster({
    self: { address: SELF, zone: 'z', incarnation: 1 },
    seeds: () => ODD_ADDRESSES,
    timers,
    transport: createTcpTransport(SELF, timers),
    log: createSilentLog(),
    onChange: () => undefined,
  });
  await cluster.start();
  const link = createTcpTransport(PEER, timers).connect(
    SELF,
    eventsOf(() => undefined),
  );
  t.teardown(() => {
    link.close();
    cluster.close();
  });
  const known = (await link.request(
    MessageType.Join,
    [...ODD_FRAMES, frameOf(ABSENT)],
    PROBED_MS,
  )) as MemberFrame[];
  t.deepEqual(known.map(([address]) => address).sort(), [SELF, PEER, ABSENT].sort());
  await timers.sleep(PROBED_MS);
  t.is(cluster.member(SELF)?.incarnation, 1);
});
