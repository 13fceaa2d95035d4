/** Addresses of peers that no connection can be opened to, in seeds and in what peers send. */
import { createSystemTimers } from '@celeryyoke/core';
import type { MemberFrame } from '@celeryyoke/routing';
import { createTcpTransport, encodeMember, LinkEnd, MemberState } from '@celeryyoke/routing';
import test from 'ava';

const SELF = '127.0.0.1:14983';
const ODD_ADDRESSES = ['127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:x'];
const timers = createSystemTimers();

function frameOf(address: string): MemberFrame {
  return encodeMember({ address, zone: 'z', incarnation: 1, version: 0, state: MemberState.Alive });
}

// Guards against an exception in the step that dials a peer, which ends the process.
test('a link to an impossible address ends like one that can’t be established', async (t) => {
  for (const address of ODD_ADDRESSES) {
    const end = await new Promise<readonly [LinkEnd, boolean]>((resolve) => {
      createTcpTransport(SELF, timers).connect(address, {
        hello: () => frameOf(SELF),
        onPush: () => undefined,
        onDigest: () => undefined,
        onEnd: (...args) => resolve(args),
      });
    });
    t.deepEqual(end, [LinkEnd.Closed, false]);
  }
});
