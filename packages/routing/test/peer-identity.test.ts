/** Who may join a fleet over its listener for peers. */
import { once } from 'node:events';
import { connect } from 'node:net';

import {
  Cluster,
  createTcpTransport,
  encodeFrame,
  encodeMember,
  MemberState,
  MessageType,
} from '@celeryyoke/routing';
import { createSilentLog, createSystemTimers } from '@celeryyoke/core';
import test from 'ava';

const SELF = '127.0.0.1:14981';
const timers = createSystemTimers();

async function startCluster(): Promise<Cluster> {
  const cluster = new Cluster({
    self: { address: SELF, zone: 'z', incarnation: 1 },
    seeds: () => [],
    timers,
    transport: createTcpTransport(SELF, timers),
    log: createSilentLog(),
    onChange: () => undefined,
  });
  await cluster.start();
  return cluster;
}

/** Connects from one loopback address and names another daemon's address as its own. */
async function greet(from: string, address: string): Promise<'closed' | 'accepted'> {
  const socket = connect({ port: 14981, host: '127.0.0.1', localAddress: from });
  socket.on('error', () => undefined);
  const member = { address, zone: 'z', incarnation: 1, version: 0, state: MemberState.Alive };
  socket.write(encodeFrame([MessageType.Hello, 0, encodeMember(member)]));
  const closed = once(socket, 'close').then(() => 'closed' as const);
  const accepted = timers.sleep(200).then(() => 'accepted' as const);
  const result = await Promise.race([closed, accepted]);
  socket.destroy();
  return result;
}

// Guards against strangers who join the fleet under an address that is not theirs, and have it work for them.
test('a peer is accepted only from the host that it names', async (t) => {
  const cluster = await startCluster();
  t.is(await greet('127.0.0.3', '127.0.0.2:14981'), 'closed');
  t.is(cluster.member('127.0.0.2:14981'), undefined);
  t.is(await greet('127.0.0.2', '127.0.0.2:14981'), 'accepted');
  t.is(cluster.member('127.0.0.2:14981')?.zone, 'z');
  cluster.close();
});
