/** Outcomes of exchanges with replicas that misbehave, over raw sockets. */
import { EventEmitter, once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';

import { createManualTimers, createSystemTimers } from '@celeryyoke/core';
import type { ResponseSink, ExclusiveChannel } from '@celeryyoke/routing';
import {
  ChannelFailure,
  ChannelPool,
  NO_GUARD,
  ExchangeError,
  ExchangePurpose,
  HeadGuard,
  requestBuffered,
} from '@celeryyoke/routing';
import type { ExecutionContext } from 'ava';
import test from 'ava';

import type { RawReplica, RawRequest } from './raw.js';
import { startRawReplica } from './raw.js';

const MAX_BODY_BYTES = 1024 * 1024;
const timers = createSystemTimers();

interface Outcome {
  end: string;
  status: number;
  body: string;
  wasSent: boolean;
}

/**
 * Sends a request.
 * @param cancelAfterMs - Time from the moment at which it is written until it is cancelled.
 */
function exchange(pool: ChannelPool, port: number, body?: string, cancelAfterMs?: number): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { end: '', status: 0, body: '', wasSent: false };
    let cancel = (): void => undefined;
    const settle = (end: string): void => {
      resolve({ ...outcome, end });
    };
    const sink: ResponseSink = {
      onSent: () => {
        outcome.wasSent = true;
        if (cancelAfterMs !== undefined) setTimeout(() => cancel(), cancelAfterMs);
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
      purpose: ExchangePurpose.Request,
      method: body === undefined ? 'GET' : 'POST',
      path: '/x',
      headers: ['host', 'h'],
      body: body === undefined ? undefined : Buffer.from(body),
    };
    const handle = pool.send({ id: 'r', host: '127.0.0.1', port }, call, sink);
    cancel = () => handle.cancel('test');
  });
}

/** Closes both ends after a test, also one that fails: what stays open would keep the process of the tests alive. */
function releaseAfter(t: ExecutionContext, pool: ChannelPool, replica: RawReplica): void {
  t.teardown(async () => {
    pool.close();
    await replica.close();
  });
}

const OK_HEAD = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n';

async function withReplica(
  respond: (req: RawRequest, number: number) => void,
  run: (port: number, pool: ChannelPool, connections: () => number) => Promise<void>,
): Promise<void> {
  const replica = await startRawReplica(respond);
  const pool = new ChannelPool(timers);
  try {
    await run(replica.port, pool, replica.connections);
  } finally {
    pool.close();
    await replica.close();
  }
}

test('a complete response ends the exchange, and its connection is reused', (t) =>
  withReplica(
    ({ socket }) => socket.write(`${OK_HEAD}Content-Length: 2\r\n\r\nhi`),
    async (port, pool, connections) => {
      for (let round = 0; round < 3; round += 1)
        t.like(await exchange(pool, port), { end: 'complete', body: 'hi' });
      t.is(connections(), 1);
    },
  ));

test('a refused connection shows that nothing was sent', async (t) => {
  const replica = await startRawReplica(() => undefined);
  await replica.close();
  const pool = new ChannelPool(timers);
  t.like(await exchange(pool, replica.port), { end: ChannelFailure.NotSent, wasSent: false });
  pool.close();
});

/** Sends a request over a pool to an upstream; resolves to its failure, or to undefined if it has none. */
function failureOf(pool: ChannelPool, host: string, port: number): Promise<ChannelFailure | undefined> {
  const sink = { onSent: () => undefined, onHead: () => undefined, onData: () => undefined };
  const call = { purpose: ExchangePurpose.Request, method: 'GET', path: '/x', headers: ['host', 'h'] };
  return new Promise((resolve) => {
    pool.send(
      { id: 'r', host, port },
      { ...call, body: undefined },
      { ...sink, onEnd: () => resolve(undefined), onFail: resolve },
    );
  });
}

// Guards against a request that counts as run, or ends as a fault of the daemon, though it never had a connection.
test('an error before any connection exists shows that nothing was sent, whatever its kind', async (t) => {
  const replica = await startRawReplica(() => undefined);
  t.teardown(() => replica.close());
  const { port } = replica;
  const failed: string[] = [];
  const guard = { ...NO_GUARD, onConnectFailed: (upstream: string) => failed.push(upstream) };
  const cases: readonly (readonly [host: string, port: number, from?: string])[] = [
    ['127.0.0.1', 65_536],
    ['127.0.0.1', 99_999],
    ['127.0.0.1', -1],
    ['127.0.0.1', Number.NaN],
    ['999.0.0.1', 80],
    ['127.0.0.1', port, 'no address'],
    // An address of no interface of this machine (RFC 5737).
    ['127.0.0.1', port, '192.0.2.1'],
  ];
  for (const [index, [host, upstreamPort, from]] of cases.entries()) {
    const pool = new ChannelPool(timers, guard, from);
    t.teardown(() => pool.close());
    t.is(await failureOf(pool, host, upstreamPort), ChannelFailure.NotSent, `${host}:${upstreamPort}`);
    t.is(failed.length, index + 1);
  }
  t.is(replica.connections(), 0);
});

// Guards against a failure that is reported before the caller has the handle of its exchange.
test('a request that can’t be written fails as one that was not sent, in a later step', async (t) => {
  const replica = await startRawReplica(() => undefined);
  const pool = new ChannelPool(timers);
  releaseAfter(t, pool, replica);
  const call = { purpose: ExchangePurpose.Request, method: 'GET', path: '/x', headers: ['x-name', 'a\nb'] };
  const upstream = { id: 'r', host: '127.0.0.1', port: replica.port };
  const options = { timers, timeoutMs: 800, maxBodyBytes: MAX_BODY_BYTES };
  const err = await t.throwsAsync(requestBuffered(pool, upstream, { ...call, body: undefined }, options), {
    instanceOf: ExchangeError,
  });
  t.is(err?.failure, ChannelFailure.NotSent);
});

// Guards against an order to an address without a connection that ends its owner.
test('a call on an exclusive channel to an impossible address fails as one that was not sent', async (t) => {
  const pool = new ChannelPool(timers);
  const call = { purpose: ExchangePurpose.Order, method: 'GET', path: '/', headers: ['host', 'h'] };
  for (const [host, port] of [
    ['127.0.0.1', 99_999],
    ['999.0.0.1', 80],
  ] as const) {
    const channel = pool.openExclusive({ id: 'r', host, port }, () => undefined);
    const err = await t.throwsAsync(
      channel.call({ ...call, body: undefined }, { timers, timeoutMs: 800, maxBodyBytes: MAX_BODY_BYTES }),
      {
        instanceOf: ExchangeError,
      },
    );
    t.is(err?.failure, ChannelFailure.NotSent);
    t.false(channel.isOpen);
  }
});

test('a reset before the response leaves the outcome unknown', (t) =>
  withReplica(
    ({ socket }) => socket.resetAndDestroy(),
    async (port, pool) => {
      t.like(await exchange(pool, port, 'body'), { end: ChannelFailure.Broken, wasSent: true });
    },
  ));

test('a response shorter than its length is broken', (t) =>
  withReplica(
    ({ socket }) => socket.end(`${OK_HEAD}Content-Length: 10\r\n\r\nhi`),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

test('a chunked response without its last chunk is broken', (t) =>
  withReplica(
    ({ socket }) => socket.end(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n`),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

test('a response without a length is complete on a close and broken on a reset', async (t) => {
  await withReplica(
    ({ socket }) => socket.end('HTTP/1.1 200 OK\r\n\r\nhello'),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: 'complete', body: 'hello' });
    },
  );
  await withReplica(
    ({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel');
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  );
});

/** More than a connection takes at once that is not read. */
const LONG_BODY = 'x'.repeat(8_000_000);

/** How a response without a length ends that is sent on the first bytes of a request. */
interface UnframedEnd {
  readonly name: string;
  readonly body?: string;
  /** Time after which the request is cancelled, in milliseconds. */
  readonly cancelAfterMs?: number;
  readonly finish: (socket: Socket) => void;
  readonly expected: string;
}

const resetAtOnce = (socket: Socket): Socket => socket.resetAndDestroy();
const closeBothWays = (socket: Socket): Socket => socket.end(() => socket.destroy());
const UNFRAMED_ENDS: readonly UnframedEnd[] = [
  { name: 'a reset at once', finish: resetAtOnce, expected: ChannelFailure.Broken },
  {
    name: 'a reset at once during an upload',
    body: LONG_BODY,
    finish: resetAtOnce,
    expected: ChannelFailure.Broken,
  },
  {
    name: 'a close both ways during an upload',
    body: LONG_BODY,
    finish: closeBothWays,
    expected: ChannelFailure.Broken,
  },
  { name: 'a close both ways', finish: closeBothWays, expected: 'complete' },
  {
    name: 'a close of one way, the upload being read on',
    body: LONG_BODY,
    finish: (socket) => socket.end(),
    expected: 'complete',
  },
  {
    name: 'a close of one way, the upload not being read',
    body: LONG_BODY,
    cancelAfterMs: 300,
    finish: (socket) => socket.pause().end(),
    expected: ChannelFailure.Cancelled,
  },
];

for (const { name, body, cancelAfterMs, finish, expected } of UNFRAMED_ENDS)
  // Guards against a part of a response that counts as whole: a reset right behind it is read as a close in good order.
  test(`a response without a length that ends with ${name}: ${expected}`, async (t) => {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\npart');
        finish(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const pool = new ChannelPool(timers);
    t.teardown(() => {
      pool.close();
      server.close();
    });
    for (let round = 0; round < 10; round += 1) {
      const outcome = await exchange(pool, (server.address() as AddressInfo).port, body, cancelAfterMs);
      t.like(outcome, { end: expected, status: 200, body: 'part' });
    }
  });

test('bytes that are no HTTP response break the exchange', (t) =>
  withReplica(
    ({ socket }) => socket.write('garbage\r\n\r\n'),
    async (port, pool) => {
      t.like(await exchange(pool, port), { end: ChannelFailure.Broken });
    },
  ));

// Guards against a check of the HTTP version that misses a line in pieces, or refuses one.
test('the HTTP version is read from heads that arrive byte by byte, behind interim responses too', async (t) => {
  const early = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
  const cases = [
    ['', 'HTTP/1.0', 'complete'],
    [early, 'HTTP/1.1', 'complete'],
    [`\r\n${early}${early}`, 'HTTP/1.1', 'complete'],
    [early, 'HTTP/2.0', ChannelFailure.Broken],
  ] as const;
  for (const [before, version, expected] of cases)
    await withReplica(
      ({ socket }) => {
        const bytes = [...`${before}${version} 200 OK\r\nContent-Length: 2\r\n\r\nhi`];
        const drip = setInterval(() => {
          socket.write(bytes.shift()!);
          if (bytes.length === 0) clearInterval(drip);
        }, 1);
      },
      async (port, pool) => {
        t.like(await exchange(pool, port), { end: expected }, `${before}${version}`);
      },
    );
});

for (const status of ['000', '099', '101', '600'])
  // Guards against a status that fails an assertion in undici: its message is made from the source, for seconds in a bundle.
  test(`status ${status} is refused before undici reads it`, (t) =>
    withReplica(
      ({ socket }) => socket.write(`HTTP/1.1 ${status} X\r\nConnection: close\r\n\r\n`),
      async (port, pool) => {
        const call = { purpose: ExchangePurpose.Request, method: 'GET', path: '/x', headers: ['host', 'h'] };
        const upstream = { id: 'r', host: '127.0.0.1', port };
        const response = requestBuffered(
          pool,
          upstream,
          { ...call, body: undefined },
          { timers, timeoutMs: 1000, maxBodyBytes: MAX_BODY_BYTES },
        );
        await t.throwsAsync(response, { message: /status line/ });
      },
    ));

test('a connection with bytes after a complete response is not reused', (t) =>
  withReplica(
    ({ socket }, number) => {
      socket.write(`${OK_HEAD}Content-Length: 2\r\n\r\n${number}!`);
      if (number === 1) socket.write(`${OK_HEAD}Content-Length: 5\r\n\r\nextra`);
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

test('a response before the end of a long request body does not disturb later requests', (t) =>
  withReplica(
    ({ socket }) => socket.write(`${OK_HEAD}Content-Length: 2\r\n\r\nok`),
    async (port, pool) => {
      const outcomes = [await exchange(pool, port, 'x'.repeat(200_000)), await exchange(pool, port, 'short')];
      t.deepEqual(
        outcomes.map(({ end }) => end),
        ['complete', 'complete'],
      );
    },
  ));

test('a request that is cancelled after it was sent leaves the outcome unknown', (t) =>
  withReplica(
    () => undefined,
    async (port, pool) => {
      t.like(await exchange(pool, port, 'body', 100), { end: ChannelFailure.Cancelled, wasSent: true });
    },
  ));

test('a cancelled request resets its connection, so that no byte of it arrives later', async (t) => {
  const pool = new ChannelPool(timers);
  const events = new EventEmitter();
  const replica = await startRawReplica(({ socket }) => {
    socket.once('error', (err: NodeJS.ErrnoException) => events.emit('end', err.code));
    socket.once('end', () => events.emit('end', 'closed'));
    events.emit('arrived');
  });
  releaseAfter(t, pool, replica);
  const sink: ResponseSink = {
    onSent: () => undefined,
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onFail: () => undefined,
  };
  const call = {
    purpose: ExchangePurpose.Request,
    method: 'POST',
    path: '/x',
    headers: ['host', 'h'],
    body: Buffer.from('body'),
  };
  const handle = pool.send({ id: 'r', host: '127.0.0.1', port: replica.port }, call, sink);
  // Cancelled only when the request has arrived for certain, however busy the machine is.
  events.once('arrived', () => handle.cancel('test'));
  const [endReason] = (await once(events, 'end')) as [string];
  t.is(endReason, 'ECONNRESET');
});

test('a connection is not reused after a response with Connection: close', (t) =>
  withReplica(
    ({ socket }) => socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok'),
    async (port, pool, connections) => {
      await exchange(pool, port);
      await exchange(pool, port);
      t.is(connections(), 2);
    },
  ));

const EMPTY_RESPONSE = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n';
const CALL = {
  purpose: ExchangePurpose.Request,
  method: 'GET',
  path: '/x',
  headers: ['host', 'h'],
  body: undefined,
};
const READ_OPTIONS = { timers, timeoutMs: 800, maxBodyBytes: MAX_BODY_BYTES };

/** Runs a test with an exclusive channel to a scripted replica. */
async function withExclusive(
  respond: (req: RawRequest, number: number) => void,
  run: (channel: ExclusiveChannel, raw: RawReplica) => Promise<void>,
): Promise<void> {
  const replica = await startRawReplica(respond);
  const pool = new ChannelPool(timers);
  try {
    const upstream = { id: 'i', host: '127.0.0.1', port: replica.port };
    await run(
      pool.openExclusive(upstream, () => undefined),
      replica,
    );
  } finally {
    pool.close();
    await replica.close();
  }
}

test('calls on an exclusive channel run one after the other', (t) =>
  withExclusive(
    ({ socket }) => {
      setTimeout(() => socket.write(EMPTY_RESPONSE), 30);
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

test('an exclusive channel that was closed does not reconnect', (t) =>
  withExclusive(
    ({ socket }) => {
      socket.end(EMPTY_RESPONSE);
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

// Guards against a declaration that comes while the connection for a request is being set up.
test('a request is withheld if its replica is ruled out when it would be written', async (t) => {
  const replica = await startRawReplica(() => undefined);
  let asked = 0;
  const refusal = (): string | undefined => {
    asked += 1;
    return asked === 1 ? undefined : 'leaving';
  };
  const pool = new ChannelPool(timers, { ...NO_GUARD, refusal });
  releaseAfter(t, pool, replica);
  t.like(await exchange(pool, replica.port), { end: ChannelFailure.Withheld, wasSent: false });
  t.like(await exchange(pool, replica.port), { end: ChannelFailure.Withheld, wasSent: false });
  t.is(replica.connections(), 1);
  t.deepEqual(replica.requests, []);
});

// Guards against a cut that nobody looks for, as its connections are accepted and reset when a request has been written.
test('a connection that is lost before a response is reported, and one that is lost after its head is not', async (t) => {
  const lost: string[] = [];
  const guard = { ...NO_GUARD, onConnectionLost: (upstream: string) => lost.push(upstream) };
  for (const head of ['', `${OK_HEAD}Content-Length: 9\r\n\r\n`]) {
    const replica = await startRawReplica(({ socket }) => {
      if (head === '') socket.resetAndDestroy();
      else socket.end(head);
    });
    const pool = new ChannelPool(timers, guard);
    releaseAfter(t, pool, replica);
    t.like(await exchange(pool, replica.port), { end: ChannelFailure.Broken, wasSent: true });
  }
  t.deepEqual(lost, ['r']);
});

test('a call that is withheld leaves an exclusive connection open', async (t) => {
  const replica = await startRawReplica(({ socket }) => socket.write(`${OK_HEAD}Content-Length: 0\r\n\r\n`));
  let isRuledOut = false;
  const refusal = (): string | undefined => (isRuledOut ? 'leaving' : undefined);
  const pool = new ChannelPool(timers, { ...NO_GUARD, refusal });
  releaseAfter(t, pool, replica);
  const channel = pool.openExclusive({ id: 'r', host: '127.0.0.1', port: replica.port }, () => undefined);
  const order = {
    purpose: ExchangePurpose.Order,
    method: 'POST',
    path: '/',
    headers: ['host', 'h'],
    body: undefined,
  };
  const options = { timers, timeoutMs: 1000, maxBodyBytes: MAX_BODY_BYTES };
  await channel.call(order, options);
  isRuledOut = true;
  const err = await t.throwsAsync(channel.call(order, options), { instanceOf: ExchangeError });
  t.is(err.failure, ChannelFailure.Withheld);
  isRuledOut = false;
  await channel.call(order, options);
  t.is(replica.connections(), 1);
  t.is(replica.requests.length, 2);
});

/** Sends a request and cancels it when the replica has it; resolves when that is over. */
async function cancelOnArrival(
  pool: ChannelPool,
  { port }: RawReplica,
  arrivals: EventEmitter,
): Promise<void> {
  const arrived = once(arrivals, 'arrived');
  const call = { purpose: ExchangePurpose.Request, method: 'GET', path: '/x', headers: ['host', 'h'] };
  await new Promise<void>((resolve, reject) => {
    const sink: ResponseSink = {
      onSent: () => undefined,
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => reject(new Error('The exchange was not cancelled.')),
      onFail: (failure) => {
        if (failure === ChannelFailure.Cancelled) resolve();
        else reject(new Error(failure));
      },
    };
    const handle = pool.send({ id: 'r', host: '127.0.0.1', port }, { ...call, body: undefined }, sink);
    arrived.then(() => handle.cancel('test'), reject);
  });
}

// Guards against a declaration that is lost because its response crosses the end of the request that it answers.
test('the head of a response that crosses a cancel still counts', async (t) => {
  const events = new EventEmitter();
  let respond = (): void => undefined;
  const replica = await startRawReplica(({ socket }) => {
    socket.on('error', () => undefined);
    respond = () => {
      socket.write('HTTP/1.1 503 X\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n');
    };
    events.emit('arrived');
  });
  const pool = new ChannelPool(createManualTimers(), {
    ...NO_GUARD,
    onResponseHead: (upstream, status, headers) =>
      events.emit('head', `${upstream} ${status} ${String(headers['retry-after'])}`),
  });
  releaseAfter(t, pool, replica);
  await cancelOnArrival(pool, replica, events);
  const head = once(events, 'head');
  respond();
  t.deepEqual(await head, ['r 503 3']);
  // Its connection is not used again.
  events.once('arrived', () => respond());
  t.like(await exchange(pool, replica.port), { end: 'complete' });
  t.is(replica.connections(), 2);
});

/** Time after which a test counts as hung, in milliseconds of the wall clock. */
const TEST_TIMEOUT_MS = 20_000;
/** Longest time for which a replica may work on for a caller that has left, in milliseconds. */
const MAX_WORK_AFTER_CANCEL_MS = 250;

// Guards against a replica that works on for a caller that has left.
test('a cancelled request without a response resets its connection soon after', async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const events = new EventEmitter();
  const replica = await startRawReplica(({ socket }) => {
    socket.on('error', (err: NodeJS.ErrnoException) => events.emit('reset', err.code));
    events.emit('arrived');
  });
  const manual = createManualTimers();
  const pool = new ChannelPool(manual);
  releaseAfter(t, pool, replica);
  await cancelOnArrival(pool, replica, events);
  const reset = once(events, 'reset');
  await manual.advance(MAX_WORK_AFTER_CANCEL_MS);
  t.deepEqual(await reset, ['ECONNRESET']);
});

// Guards against a replica that works on for a caller that has left, as long as it sends a head byte by byte.
test('a cancelled request resets its connection soon after, however slowly a head arrives', async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const events = new EventEmitter();
  const replica = await startRawReplica(({ socket }) => {
    const trickle = setInterval(() => socket.write('H'), 20);
    socket.write('HTTP/1.1 200 OK\r\nX-Slow: ');
    socket.once('close', () => {
      clearInterval(trickle);
      events.emit('close', 'closed');
    });
    events.emit('arrived');
  });
  const manual = createManualTimers();
  const pool = new ChannelPool(manual);
  releaseAfter(t, pool, replica);
  await cancelOnArrival(pool, replica, events);
  const closed = once(events, 'close');
  await manual.advance(MAX_WORK_AFTER_CANCEL_MS);
  t.deepEqual(await closed, ['closed']);
});

// Guards against a head that is refused for the lines of the body behind it, or for those of an interim one before it.
test('only the lines of a head are limited, however its bytes are split', (t) => {
  const fields = 'a: b\r\n'.repeat(200);
  const heads = `HTTP/1.1 103 Early Hints\r\n${fields}\r\nHTTP/1.1 200 OK\r\n${fields}`;
  for (const size of [1, 7, 4096]) {
    const guard = new HeadGuard();
    const accepts = (text: string): boolean => {
      const bytes = Buffer.from(text);
      let isAccepted = true;
      for (let at = 0; at < bytes.length; at += size)
        isAccepted &&= guard.accepts(bytes.subarray(at, at + size));
      return isAccepted;
    };
    guard.begin();
    t.true(accepts(`${heads}\r\n${'data: x\n\n'.repeat(1000)}`));
    guard.begin();
    t.false(accepts(`${heads}${fields}`));
  }
});
