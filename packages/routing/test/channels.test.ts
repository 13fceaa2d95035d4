/** What is known of an exchange, whatever the replica does, shown over raw sockets. */
import { EventEmitter, once } from 'node:events';

import { createSystemTimers } from '@celeryyoke/core';
import type { AnswerSink, ExclusiveChannel } from '@celeryyoke/routing';
import { ChannelFailure, ChannelPool, ExchangeError } from '@celeryyoke/routing';
import test from 'ava';

import type { RawReplica, RawRequest } from './raw.js';
import { startRawReplica } from './raw.js';

interface Outcome {
  end: string;
  status: number;
  body: string;
  wasSent: boolean;
}

function exchange(pool: ChannelPool, port: number, body?: string, cancelAfterMs?: number): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { end: '', status: 0, body: '', wasSent: false };
    const settle = (end: string): void => {
      resolve({ ...outcome, end });
    };
    const sink: AnswerSink = {
      onSent: () => {
        outcome.wasSent = true;
      },
      onHead: (status) => {
        outcome.status = status;
      },
      onData: (chunk) => {
        outcome.body += chunk.toString();
      },
      onEnd: () => settle('complete'),
      onFail: (failure) => settle(failure),
    };
    const call = {
      method: body === undefined ? 'GET' : 'POST',
      path: '/x',
      headers: ['host', 'h'],
      body: body === undefined ? undefined : Buffer.from(body),
    };
    const running = pool.send({ id: 'r', host: '127.0.0.1', port }, call, sink);
    if (cancelAfterMs !== undefined) setTimeout(() => running.cancel('test'), cancelAfterMs);
  });
}

const OK = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n';

async function against(
  answer: (req: RawRequest, number: number) => void,
  play: (port: number, pool: ChannelPool, connections: () => number) => Promise<void>,
): Promise<void> {
  const replica = await startRawReplica(answer);
  const pool = new ChannelPool();
  try {
    await play(replica.port, pool, replica.connections);
  } finally {
    pool.close();
    await replica.close();
  }
}

test('a whole answer ends as complete, and its connection is used again', (t) =>
  against(
    ({ socket }) => socket.write(`${OK}Content-Length: 2\r\n\r\nhi`),
    async (port, pool, connections) => {
      for (let round = 0; round < 3; round += 1)
        t.like(await exchange(pool, port), { end: 'complete', body: 'hi' });
      t.is(connections(), 1);
    },
  ));

test('a refused connection proves that nothing was sent', async (t) => {
  const replica = await startRawReplica(() => undefined);
  await replica.close();
  const pool = new ChannelPool();
  t.like(await exchange(pool, replica.port), { end: ChannelFailure.NotSent, wasSent: false });
  pool.close();
});

test('a reset before the answer leaves the outcome open', (t) =>
  against(
    ({ socket }) => socket.resetAndDestroy(),
    async (port, pool) => {
      t.like(await exchange(pool, port, 'body'), { end: ChannelFailure.Broken, wasSent: true });
    },
  ));

test('an answer shorter than its length is broken', (t) =>
  against(
    ({ socket }) => socket.end(`${OK}Content-Length: 10\r\n\r\nhi`),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

test('chunks without their end are broken', (t) =>
  against(
    ({ socket }) => socket.end(`${OK}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n`),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

test('an answer without a length is complete when its connection ends, and broken when it is reset', async (t) => {
  await against(
    ({ socket }) => socket.end('HTTP/1.1 200 OK\r\n\r\nhello'),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: 'complete', body: 'hello' });
    },
  );
  await against(
    ({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel');
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  );
});

test('bytes that are no answer break the exchange', (t) =>
  against(
    ({ socket }) => socket.write('garbage\r\n\r\n'),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

test('bytes behind a complete answer belong to nobody: the connection is not used again', (t) =>
  against(
    ({ socket }, number) => {
      socket.write(`${OK}Content-Length: 2\r\n\r\n${number}!`);
      if (number === 1) socket.write(`${OK}Content-Length: 5\r\n\r\nextra`);
    },
    async (port, pool, connections) => {
      t.like(await exchange(pool, port), { end: 'complete', body: '1!' });
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      t.like(await exchange(pool, port), { end: 'complete', body: '2!' });
      t.is(connections(), 2);
    },
  ));

test('an early answer to a long body spoils no later request', (t) =>
  against(
    ({ socket }) => socket.write(`${OK}Content-Length: 2\r\n\r\nok`),
    async (port, pool) => {
      const outcomes = [await exchange(pool, port, 'x'.repeat(200_000)), await exchange(pool, port, 'short')];
      t.deepEqual(
        outcomes.map(({ end }) => end),
        ['complete', 'complete'],
      );
    },
  ));

test('a request that is given up is never sent, or leaves the outcome open', (t) =>
  against(
    () => undefined,
    async (port, pool) => {
      t.like(await exchange(pool, port, 'body', 100), { end: ChannelFailure.Cancelled, wasSent: true });
    },
  ));

test('a request that is given up resets its connection, so that no byte of it arrives later', async (t) => {
  const pool = new ChannelPool();
  const steps = new EventEmitter();
  const replica = await startRawReplica(({ socket }) => {
    socket.once('error', (err: NodeJS.ErrnoException) => steps.emit('end', err.code));
    socket.once('end', () => steps.emit('end', 'closed'));
    steps.emit('arrived');
  });
  const sink: AnswerSink = {
    onSent: () => undefined,
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onFail: () => undefined,
  };
  const call = { method: 'POST', path: '/x', headers: ['host', 'h'], body: Buffer.from('body') };
  const running = pool.send({ id: 'r', host: '127.0.0.1', port: replica.port }, call, sink);
  // Given up only when the request has arrived for certain, however busy the machine is.
  steps.once('arrived', () => running.cancel('test'));
  const [how] = (await once(steps, 'end')) as [string];
  t.is(how, 'ECONNRESET');
  pool.close();
  await replica.close();
});

test('an answer that says it is the last is the last on its connection', (t) =>
  against(
    ({ socket }) => socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok'),
    async (port, pool, connections) => {
      await exchange(pool, port);
      await exchange(pool, port);
      t.is(connections(), 2);
    },
  ));

const WHOLE = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n';
const CALL = { method: 'GET', path: '/x', headers: ['host', 'h'], body: undefined };
const READ_OPTIONS = { timers: createSystemTimers(), timeoutMs: 800 };

/** Opens a connection of its own to a replica that does as told. */
async function withExclusive(
  answer: (req: RawRequest, number: number) => void,
  use: (channel: ExclusiveChannel, raw: RawReplica) => Promise<void>,
): Promise<void> {
  const raw = await startRawReplica(answer);
  const pool = new ChannelPool();
  try {
    const upstream = { id: 'i', host: '127.0.0.1', port: raw.port };
    await use(
      pool.openExclusive(upstream, () => undefined),
      raw,
    );
  } finally {
    pool.close();
    await raw.close();
  }
}

test('calls on a connection of one’s own go one after the other', (t) =>
  withExclusive(
    ({ socket }) => {
      setTimeout(() => socket.write(WHOLE), 30);
    },
    async (channel, raw) => {
      const first = channel.call(CALL, READ_OPTIONS);
      const second = channel.call(CALL, READ_OPTIONS);
      await first;
      t.is(raw.requests.length, 1);
      await second;
      t.is(raw.requests.length, 2);
      t.is(raw.connections(), 1);
    },
  ));

test('a connection of one’s own that has ended is not set up again', (t) =>
  withExclusive(
    ({ socket }) => {
      socket.end(WHOLE);
    },
    async (channel, raw) => {
      await channel.call(CALL, READ_OPTIONS);
      await once(raw.requests[0]!.socket, 'close');
      const err = await t.throwsAsync(channel.call(CALL, READ_OPTIONS), { instanceOf: ExchangeError });
      t.is(err?.failure, ChannelFailure.NotSent);
      t.false(channel.isOpen);
      t.is(raw.connections(), 1);
    },
  ));
