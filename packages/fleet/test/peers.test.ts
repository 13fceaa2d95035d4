import type { AuditTrail } from '@celeryyoke/core';
import {
  AuditKind,
  CeleryyokeError,
  createAuditTrail,
  createManualTimers,
  createMetrics,
  createSilentLog,
} from '@celeryyoke/core';
import test from 'ava';

import type {
  LinkPolicy,
  ManagedPeerBus,
  PeerBusOptions,
  PeerIdentity,
  PeerProcedure,
} from '../src/index.js';
import { createPeerBus, PeerEventKind } from '../src/index.js';

// All daemons of this file share one clock, so the tests run serially.
const timers = createManualTimers();

const KEY = 'a shared key of the tests';

interface Daemon {
  readonly bus: ManagedPeerBus;
  readonly audit: AuditTrail;
  readonly address: string;
}

interface EchoInput {
  readonly text: string;
}

const ECHO: PeerProcedure<EchoInput, string> = {
  name: 'test.echo',
  parse(raw) {
    const { text } = raw as EchoInput;
    if (typeof text !== 'string') throw new CeleryyokeError('RequestInvalid', { reason: 'no text' });
    return { text };
  },
};

type Overrides = Partial<Omit<PeerBusOptions, 'self'>> & Partial<PeerIdentity>;

const startedBuses: ManagedPeerBus[] = [];

test.afterEach.always(async () => {
  await Promise.all(startedBuses.splice(0).map((bus) => bus.stop()));
});

async function startDaemon(name: string, overrides: Overrides = {}): Promise<Daemon> {
  const audit = createAuditTrail({ daemon: name, timers });
  const { incarnation = 1, domain = 'domain-a', protocol = 1, settings, ...rest } = overrides;
  const bus = createPeerBus({
    self: { name, incarnation, domain, protocol },
    host: '127.0.0.1',
    port: 0,
    keys: () => [KEY],
    timers,
    log: createSilentLog(),
    audit,
    metrics: createMetrics(),
    settings: { heartbeatMs: 10, backoffMinMs: 5, backoffMaxMs: 20, ...settings },
    ...rest,
  });
  bus.handle(ECHO, ({ text }, from) => Promise.resolve(`${text} from ${from.name}`));
  startedBuses.push(bus);
  const port = await bus.start();
  return { bus, audit, address: `127.0.0.1:${port}` };
}

function connectAll(...daemons: readonly Daemon[]): void {
  const listed = daemons.map(({ bus, address }) => ({ name: bus.self.name, address }));
  for (const { bus } of daemons) bus.updatePeers({ listed, linked: new Set(listed.map(({ name }) => name)) });
}

/**
 * Advances the clock by 1 ms after each real millisecond until a condition holds, so that on a slow machine
 * the clock does not run ahead of the sockets.
 */
async function advanceUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
    await timers.advance(1);
  }
}

/** Advances the clock until a promise settles. */
async function advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const mark = (): void => {
    isSettled = true;
  };
  promise.then(mark, mark);
  await advanceUntil(() => isSettled);
  return promise;
}

function recordedRefusals({ audit }: Daemon): readonly string[] {
  return audit
    .read()
    .filter(({ kind }) => kind === AuditKind.PeerRefused)
    .map(({ subject, after }) => `${subject} ${JSON.stringify(after)}`);
}

test.serial('calls and heartbeats pass in both directions', async (t) => {
  const a = await startDaemon('a');
  const b = await startDaemon('b');
  const received: string[] = [];
  a.bus.addHeartbeatSection({ name: 'news', collect: (peer) => ({ to: peer }), merge: () => undefined });
  b.bus.addHeartbeatSection({
    name: 'news',
    collect: () => undefined,
    merge: (from, data) => received.push(`${from.name} ${JSON.stringify(data)}`),
  });
  connectAll(a, b);
  t.is(
    await advanceUntilSettled(a.bus.call('b', ECHO, { text: 'hello' }, { timeoutMs: 5_000 })),
    'hello from a',
  );
  t.is(
    await advanceUntilSettled(b.bus.call('a', ECHO, { text: 'hello' }, { timeoutMs: 5_000 })),
    'hello from b',
  );
  t.is(
    await advanceUntilSettled(b.bus.call('b', ECHO, { text: 'hello' }, { timeoutMs: 5_000 })),
    'hello from b',
  );
  await advanceUntil(() => received.length > 0);
  t.is(received[0], 'a {"to":"b"}');
});

test.serial(
  'a peer that sends no heartbeats itself returns its sections in the acknowledgement',
  async (t) => {
    const a = await startDaemon('a');
    const b = await startDaemon('b');
    const senders: string[] = [];
    a.bus.addHeartbeatSection({
      name: 'news',
      collect: () => undefined,
      merge: (from) => senders.push(from.name),
    });
    b.bus.addHeartbeatSection({ name: 'news', collect: () => 'news', merge: () => undefined });
    const listed = [a, b].map(({ bus, address }) => ({ name: bus.self.name, address }));
    a.bus.updatePeers({ listed, linked: new Set(['b']) });
    b.bus.updatePeers({ listed, linked: new Set() });
    await advanceUntil(() => senders.length > 1);
    t.is(senders[0], 'b');
    t.is(
      await advanceUntilSettled(b.bus.call('a', ECHO, { text: 'on demand' }, { timeoutMs: 5_000 })),
      'on demand from b',
    );
  },
);

test.serial('closing an idle link does not report its peer as lost', async (t) => {
  const dialler = await startDaemon('near', { settings: { heartbeatMs: 10, idleLinkMs: 50 } });
  const listener = await startDaemon('far');
  const listed = [dialler, listener].map(({ bus, address }) => ({ name: bus.self.name, address }));
  for (const { bus } of [dialler, listener]) bus.updatePeers({ listed, linked: new Set() });
  const events: PeerEventKind[] = [];
  let calls = 0;
  dialler.bus.subscribe(({ kind }) => events.push(kind));
  listener.bus.handle({ name: 'test.count', parse: (raw) => raw }, async () => {
    calls += 1;
    return calls;
  });
  const count = { name: 'test.count', parse: (raw: unknown) => raw };
  await advanceUntilSettled(dialler.bus.call('far', count, null, { timeoutMs: 1000 }));
  // The second call needs a new connection, which shows that the idle one was closed.
  const authentications = (): number => events.filter((kind) => kind === PeerEventKind.Authenticated).length;
  t.is(authentications(), 1);
  await timers.advance(500);
  await advanceUntilSettled(dialler.bus.call('far', count, null, { timeoutMs: 1000 }));
  t.is(authentications(), 2);
  t.false(events.includes(PeerEventKind.Lost));
  await Promise.all([dialler.bus.stop(), listener.bus.stop()]);
});

test.serial('errors keep their code and state whether the call may have been received', async (t) => {
  const a = await startDaemon('a');
  const b = await startDaemon('b', { settings: { maxMessageBytes: 10_000 } });
  connectAll(a, b);
  const call = (peer: string, input: unknown) =>
    a.bus.call(peer, ECHO, input as EchoInput, { timeoutMs: 300 });
  const invalid = await t.throwsAsync(advanceUntilSettled(call('b', {})), { instanceOf: CeleryyokeError });
  t.is(invalid?.kind, 'RequestInvalid');
  t.deepEqual(invalid?.params, { reason: 'no text' });
  const unknown = { name: 'test.unknown', parse: (raw: unknown) => raw };
  const missing = await t.throwsAsync(advanceUntilSettled(a.bus.call('b', unknown, 1, { timeoutMs: 300 })));
  t.is((missing as CeleryyokeError).code, 6008);
  const unlisted = await t.throwsAsync(advanceUntilSettled(call('c', { text: 'x' })), {
    instanceOf: CeleryyokeError,
  });
  t.deepEqual(unlisted?.params, { peer: 'c', sent: 'no' });
  const large = await t.throwsAsync(
    advanceUntilSettled(b.bus.call('a', ECHO, { text: 'x'.repeat(11_000) }, { timeoutMs: 300 })),
  );
  t.is((large as CeleryyokeError).code, 6009);
  const closed = await t.throwsAsync(advanceUntilSettled(call('b', { text: 'x'.repeat(100_000) })), {
    instanceOf: CeleryyokeError,
  });
  t.deepEqual(closed?.params, { peer: 'b', sent: 'maybe' });
});

test.serial(
  'an unlisted peer, a wrong key and an incompatible version are refused and recorded',
  async (t) => {
    const host = await startDaemon('host');
    const stranger = await startDaemon('stranger');
    const forger = await startDaemon('forger', { keys: () => ['another key'] });
    const incompatible = await startDaemon('ancient', { protocol: 2, oldestProtocol: 2 });
    const listed = [host, stranger, forger, incompatible].map(({ bus, address }) => ({
      name: bus.self.name,
      address,
    }));
    host.bus.updatePeers({ listed: listed.filter(({ name }) => name !== 'stranger'), linked: new Set() });
    for (const daemon of [stranger, forger, incompatible]) {
      daemon.bus.updatePeers({ listed, linked: new Set(['host']) });
    }
    await advanceUntil(() => recordedRefusals(host).length >= 3);
    // Further attempts are refused too, but not recorded again within the minimum interval.
    const dials = [stranger, forger, incompatible].map(({ bus }) =>
      t.throwsAsync(advanceUntilSettled(bus.call('host', ECHO, { text: 'let me in' }, { timeoutMs: 100 }))),
    );
    await Promise.all(dials);
    t.deepEqual([...recordedRefusals(host)].sort(), [
      'ancient {"code":6002}',
      'forger {"code":6001}',
      'stranger {"code":6003}',
    ]);
  },
);

test.serial('keys can be rotated while two of them are valid', async (t) => {
  const keysOfA = [KEY];
  const a = await startDaemon('a', { keys: () => keysOfA });
  const b = await startDaemon('b', { keys: () => ['the next key', KEY] });
  connectAll(a, b);
  t.is(await advanceUntilSettled(a.bus.call('b', ECHO, { text: 'old' }, { timeoutMs: 5_000 })), 'old from a');
  const refused = await t.throwsAsync(
    advanceUntilSettled(b.bus.call('a', ECHO, { text: 'early' }, { timeoutMs: 200 })),
  );
  t.is((refused as CeleryyokeError).kind, 'PeerUnreachable');
  keysOfA.push('the next key');
  let response = '';
  while (response === '') {
    response = await advanceUntilSettled(
      b.bus.call('a', ECHO, { text: 'new' }, { timeoutMs: 200 }).catch(() => ''),
    );
    await advanceUntil(() => true);
  }
  t.is(response, 'new from b');
});

test.serial('a listener without the shared key is refused by the dialler', async (t) => {
  const a = await startDaemon('a');
  const fake = await startDaemon('b', { keys: () => ['any key'] });
  connectAll(a, fake);
  await advanceUntil(() => recordedRefusals(a).length > 0);
  t.is(recordedRefusals(a)[0], 'b {"code":6001}');
});

test.serial('a link that drops all frames is closed, and dialled again when frames pass', async (t) => {
  let isBlocked = false;
  const linkPolicy: LinkPolicy = () => (isBlocked ? [] : [0]);
  const a = await startDaemon('a', { linkPolicy, settings: { heartbeatTimeoutMs: 50, dialTimeoutMs: 50 } });
  const b = await startDaemon('b');
  const events: PeerEventKind[] = [];
  a.bus.subscribe(({ kind }) => {
    if (kind !== PeerEventKind.HeartbeatExchanged) events.push(kind);
  });
  connectAll(a, b);
  await advanceUntilSettled(a.bus.call('b', ECHO, { text: 'before' }, { timeoutMs: 5_000 }));
  isBlocked = true;
  await advanceUntil(() => events.includes(PeerEventKind.Lost));
  isBlocked = false;
  await advanceUntil(
    () => events.at(-1) === PeerEventKind.Authenticated && events.includes(PeerEventKind.Lost),
  );
  t.is(
    await advanceUntilSettled(a.bus.call('b', ECHO, { text: 'after' }, { timeoutMs: 5_000 })),
    'after from a',
  );
});

test.serial('sections of duplicated and reordered heartbeats are merged once and in order', async (t) => {
  let sent = 0;
  const linkPolicy: LinkPolicy = () => {
    sent += 1;
    return sent % 3 === 0 ? [15, 30] : [0, 5];
  };
  const a = await startDaemon('a', { linkPolicy });
  const b = await startDaemon('b');
  let count = 0;
  const received: number[] = [];
  a.bus.addHeartbeatSection({
    name: 'count',
    collect: () => {
      count += 1;
      return count;
    },
    merge: () => undefined,
  });
  b.bus.addHeartbeatSection({
    name: 'count',
    collect: () => undefined,
    merge: (_, data) => received.push(data as number),
  });
  connectAll(a, b);
  await advanceUntil(() => received.length >= 10);
  t.deepEqual(
    received,
    [...new Set(received)].sort((left, right) => left - right),
  );
});

test.serial('a later incarnation of a peer replaces the earlier one', async (t) => {
  const host = await startDaemon('host');
  const earlier = await startDaemon('peer', { incarnation: 1 });
  const later = await startDaemon('peer', { incarnation: 2 });
  connectAll(host, earlier);
  await advanceUntilSettled(earlier.bus.call('host', ECHO, { text: 'first' }, { timeoutMs: 5_000 }));
  later.bus.updatePeers({ listed: [{ name: 'host', address: host.address }], linked: new Set(['host']) });
  t.is(
    await advanceUntilSettled(later.bus.call('host', ECHO, { text: 'second' }, { timeoutMs: 5_000 })),
    'second from peer',
  );
  await advanceUntil(() => recordedRefusals(host).length > 0);
  t.is(recordedRefusals(host)[0], 'peer {"code":6010}');
});
