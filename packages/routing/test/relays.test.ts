/** Exchanges over a peer: they promise what direct ones do, whatever happens to either host or to the link. */
import { createManualTimers, createSilentLog } from '@celeryyoke/core';
import test from 'ava';

import type {
  ExchangeHandle,
  PeerChannel,
  RelayServerOptions,
  ResponseSink,
  UpstreamCall,
  UpstreamPath,
  UpstreamSenderOptions,
} from '../src/index.js';
import {
  ChannelFailure,
  CutCause,
  ExchangePurpose,
  FrameReader,
  MemberState,
  PathKind,
  RelayError,
  RelayServer,
  ReplicaAvailability,
  UpstreamSender,
} from '../src/index.js';
import { engineEntry } from './fakes.js';

const REPLICA = engineEntry('e1');
const HEADERS = { 'content-length': '2' };
const TIMEOUT_MS = 5000;
const DELAY_MS = 1;
const REFUSED = 503;
const BACKOFF_MS = 2000;
const CALL: UpstreamCall = {
  purpose: ExchangePurpose.Request,
  method: 'POST',
  path: '/p',
  headers: ['x-own', '1'],
  body: Buffer.from('body'),
  requestId: 'r1',
};

type MessageHandler = (from: unknown, frame: unknown, channel: PeerChannel) => void;

/** What a sink was told, in order. */
class RecordingSink implements ResponseSink {
  readonly steps: string[] = [];

  error: Error | undefined;

  onSent(): void {
    this.steps.push('sent');
  }

  onHead(status: number): void {
    this.steps.push(`head ${status}`);
  }

  onData(chunk: Buffer): void {
    this.steps.push(`data ${chunk.toString()}`);
  }

  onEnd(): void {
    this.steps.push('end');
  }

  onFail(failure: ChannelFailure, err: Error): void {
    this.steps.push(`fail ${failure}`);
    this.error = err;
  }
}

/** An exchange at the relaying host's connection pool. */
interface PoolExchange {
  readonly call: UpstreamCall;
  readonly sink: ResponseSink;
  readonly cancelled: string[];
}

/** A host that is cut off, one that relays, and the link between them, which can hang. */
class RelaySite {
  readonly timers = createManualTimers();

  readonly exchanges: PoolExchange[] = [];

  readonly flags = {
    isLeaving: false,
    hasCrashed: false,
    isLinkHeld: false,
    isListening: true,
    isRunning: true,
    /** Whether the host that is cut off does not take what is relayed to it. */
    isPeerSlow: false,
  };

  /** Steps in which reading was paused and resumed. */
  readonly reading: string[] = [];

  /** Lets the relaying host know that the other one has taken everything. */
  drain: (() => void) | undefined;

  cause: CutCause | undefined = CutCause.NoConnection;

  readonly cutOff = new Set<string>();

  /** What replicas have declared to the host that is cut off. */
  readonly availability = new ReplicaAvailability({
    leavingGraceMs: 0,
    timers: this.timers,
    log: createSilentLog(),
  });

  readonly server: RelayServer;

  readonly sender: UpstreamSender;

  /** Ends the connection that was opened last, as when the relaying host dies. */
  endLink!: () => void;

  private readonly handlers: MessageHandler[] = [];

  private readonly closeListeners: ((channel: PeerChannel) => void)[] = [];

  constructor() {
    const { timers, flags } = this;
    this.server = new RelayServer({
      cluster: {
        handle: (_type: unknown, handler: MessageHandler) => this.handlers.push(handler),
        onChannelClose: (listener: (channel: PeerChannel) => void) => this.closeListeners.push(listener),
      },
      pool: { send: (_replica: unknown, call: UpstreamCall, sink: ResponseSink) => this.accept(call, sink) },
      registry: { replica: (id: string) => (id === REPLICA.id ? REPLICA : undefined) },
      detector: { hasCrashed: () => Promise.resolve(flags.hasCrashed) },
      isRunning: () => Promise.resolve(flags.isRunning),
      isLeaving: () => flags.isLeaving,
      timers,
      log: createSilentLog(),
    } as unknown as RelayServerOptions);
    this.sender = new UpstreamSender({
      self: 'a:1',
      zone: 'z1',
      pool: { send: (_replica: unknown, call: UpstreamCall, sink: ResponseSink) => this.accept(call, sink) },
      cluster: {
        aliveAddresses: () => ['a:1', 'b:1', 'c:1'],
        member: (address: string) => ({ zone: address === 'c:1' ? 'z1' : 'z2' }),
        state: (address: string) =>
          this.cutOff.has(`${address} leaving`) ? MemberState.Leaving : MemberState.Alive,
        openLink: (_address: string, events: { onPush: (body: unknown) => void; onEnd: () => void }) =>
          this.openLink(events),
      },
      monitor: { causeOf: () => this.cause, takeTrial: () => false },
      table: { isCutOff: (address: string) => this.cutOff.has(address) },
      availability: this.availability,
      readDeclaration: (status: number) => ({
        isLeaving: false,
        retryAfterMs: status === REFUSED ? BACKOFF_MS : 0,
      }),
      timers,
      random: () => 0.5,
    } as unknown as UpstreamSenderOptions);
  }

  /** Sends a request over a peer. */
  send(sink: ResponseSink, call = CALL, softwareVersion?: string): ExchangeHandle {
    const path: UpstreamPath = { kind: PathKind.Relayed, peer: 'b:1' };
    return this.sender.send(path, REPLICA, { id: 'r1', call, timeoutMs: TIMEOUT_MS, softwareVersion }, sink);
  }

  private accept(call: UpstreamCall, sink: ResponseSink): ExchangeHandle {
    const cancelled: string[] = [];
    this.exchanges.push({ call, sink, cancelled });
    let wasSent = false;
    return {
      cancel: (reason) => {
        cancelled.push(reason);
        sink.onFail(wasSent ? ChannelFailure.Cancelled : ChannelFailure.NotSent, new Error(reason));
      },
      mayHaveArrived: () => {
        wasSent = true;
        return wasSent;
      },
      pause: () => this.reading.push('replica paused'),
      resume: () => this.reading.push('replica resumed'),
    };
  }

  private openLink({
    onPush,
    onEnd,
  }: {
    onPush: (body: unknown) => void;
    onEnd: (end: unknown, wasUp: boolean) => void;
  }) {
    const { timers, flags } = this;
    let isOpen = true;
    const link = { isUp: false };
    const channel: PeerChannel = {
      push: (frame) => {
        const [[, body]] = [...new FrameReader().read(frame)] as [[number, unknown]];
        timers.after(DELAY_MS, () => {
          if (isOpen && !flags.isLinkHeld) onPush(body);
        });
        return !flags.isPeerSlow;
      },
      onDrain: (callback) => {
        this.drain = callback;
      },
    };
    const close = (): void => {
      if (!isOpen) return;
      isOpen = false;
      timers.after(DELAY_MS, () => {
        for (const listener of this.closeListeners) listener(channel);
      });
    };
    this.endLink = () => {
      if (!isOpen) return;
      close();
      onEnd('closed', link.isUp);
    };
    timers.after(DELAY_MS, () => {
      link.isUp = flags.isListening;
      if (!flags.isListening) this.endLink();
    });
    return Object.assign(link, {
      pause: () => this.reading.push('peer paused'),
      resume: () => this.reading.push('peer resumed'),
      request: () =>
        new Promise<void>((resolve) => {
          timers.after(2 * DELAY_MS, () => {
            if (isOpen && !flags.isLinkHeld) resolve();
          });
        }),
      send: (_type: unknown, frame: unknown) =>
        timers.after(2 * DELAY_MS, () => {
          if (isOpen && !flags.isLinkHeld) this.handlers[0]!({ address: 'a:1' }, frame, channel);
        }),
      close,
      abort: close,
    });
  }
}

async function start(site = new RelaySite(), call = CALL) {
  const sink = new RecordingSink();
  const exchange = site.send(sink, call);
  await site.timers.advance(10);
  return { site, sink, exchange, relayed: site.exchanges[0] };
}

test('a relayed exchange passes the request and each part of the response on as they are', async (t) => {
  const { site, sink, relayed } = await start();
  t.deepEqual(relayed!.call, CALL);
  t.is(site.server.running, 1);
  relayed!.sink.onSent();
  relayed!.sink.onHead(200, HEADERS);
  relayed!.sink.onData(Buffer.from('o'));
  relayed!.sink.onData(Buffer.from('k'));
  relayed!.sink.onEnd();
  await site.timers.advance(10);
  t.deepEqual(sink.steps, ['sent', 'head 200', 'data o', 'data k', 'end']);
  t.is(site.server.running, 0);
});

// Guards against a relaying host that keeps what the host that asked does not take.
test('a replica is held back while the host that asked does not take what is relayed', async (t) => {
  const { site, relayed } = await start();
  relayed!.sink.onSent();
  relayed!.sink.onHead(200, HEADERS);
  site.flags.isPeerSlow = true;
  relayed!.sink.onData(Buffer.from('o'));
  relayed!.sink.onData(Buffer.from('k'));
  t.deepEqual(site.reading, ['replica paused']);
  site.drain!();
  t.deepEqual(site.reading, ['replica paused', 'replica resumed']);
});

// Guards against a host that goes on reading from a peer for a caller that does not read.
test('a relayed exchange that is paused reads nothing from its peer', async (t) => {
  const { site, exchange } = await start();
  exchange.pause();
  exchange.resume();
  t.deepEqual(site.reading, ['peer paused', 'peer resumed']);
});

// Guards against replicas that work on for callers who have left.
test('a cancel ends the exchange at the replica', async (t) => {
  const { site, sink, exchange, relayed } = await start();
  relayed!.sink.onSent();
  await site.timers.advance(10);
  exchange.cancel('caller left');
  t.deepEqual(sink.steps, ['sent', 'fail cancelled']);
  await site.timers.advance(10);
  t.is(relayed!.cancelled.length, 1);
  t.is(site.server.running, 0);
});

// Guards against a host that sends more to a replica that wants a rest, each time over another peer.
test('what a replica declares over a peer holds for the host that asked, whichever way it sends', async (t) => {
  const { site, sink, relayed } = await start();
  relayed!.sink.onSent();
  relayed!.sink.onHead(REFUSED, HEADERS);
  relayed!.sink.onEnd();
  await site.timers.advance(10);
  t.deepEqual(sink.steps, ['sent', `head ${REFUSED}`, 'end']);
  const second = await start(site);
  t.deepEqual(second.sink.steps, ['fail withheld']);
  t.is(site.exchanges.length, 1);
  await site.timers.advance(BACKOFF_MS);
  await start(site);
  t.is(site.exchanges.length, 2);
});

// Guards against work beyond the deadline when the host that asked for it is gone without a word.
test('the relaying host ends an exchange at its deadline', async (t) => {
  const { site, relayed } = await start();
  relayed!.sink.onSent();
  await site.timers.advance(TIMEOUT_MS - 100);
  t.is(relayed!.cancelled.length, 0);
  await site.timers.advance(200);
  t.is(relayed!.cancelled.length, 1);
});

// Guards against a stated deadline that has aged on the way to the replica.
test('an exchange that can’t be sent soon is given up unsent', async (t) => {
  const { site, sink, relayed } = await start();
  await site.timers.advance(250);
  t.is(relayed!.cancelled.length, 1);
  t.deepEqual(sink.steps, ['fail notSent']);
});

// Guards against a second run of a request that a peer may have sent on.
test('a failure says whether the replica may have received the request', async (t) => {
  const unsent = await start();
  unsent.relayed!.sink.onFail(ChannelFailure.NotSent, new Error('refused'));
  await unsent.site.timers.advance(10);
  t.deepEqual(unsent.sink.steps, ['fail notSent']);
  const withheld = await start();
  withheld.relayed!.sink.onFail(ChannelFailure.Withheld, new Error('leaving'));
  await withheld.site.timers.advance(10);
  t.deepEqual(withheld.sink.steps, ['fail notSent']);
  const broken = await start();
  broken.site.flags.hasCrashed = true;
  broken.relayed!.sink.onSent();
  broken.relayed!.sink.onFail(ChannelFailure.Broken, new Error('reset'));
  await broken.site.timers.advance(10);
  t.deepEqual(broken.sink.steps, ['sent', 'fail broken']);
  t.true((broken.sink.error as RelayError).hasCrashed);
  const died = await start();
  died.relayed!.sink.onSent();
  died.site.endLink();
  t.deepEqual(died.sink.steps, ['sent', 'fail broken']);
  const refused = new RelaySite();
  refused.flags.isListening = false;
  const { sink } = await start(refused);
  t.deepEqual(sink.steps, ['fail notSent']);
});

// Guards against a request that arrives after its caller was promised that it did not run.
test('a peer that responds, and does not accept a request in time, may have received it', async (t) => {
  const site = new RelaySite();
  const sink = new RecordingSink();
  const exchange = site.send(sink);
  await site.timers.advance(3 * DELAY_MS);
  site.flags.isLinkHeld = true;
  t.true(exchange.mayHaveArrived());
  await site.timers.advance(300);
  t.deepEqual(sink.steps, ['sent', 'fail broken']);
  t.is(site.exchanges.length, 0);
});

// Guards against requests that may run once, and are lost because a peer that is stopped has accepted a connection.
test('a peer that has not responded on the connection gets no request, now or later', async (t) => {
  const site = new RelaySite();
  site.flags.isLinkHeld = true;
  const { sink, exchange } = await start(site);
  t.false(exchange.mayHaveArrived());
  await site.timers.advance(300);
  t.deepEqual(sink.steps, ['fail notSent']);
  site.flags.isLinkHeld = false;
  await site.timers.advance(1000);
  t.is(site.exchanges.length, 0);
});

// Guards against orders that reach an engine under the name of a host that is not its owner, and against lost answers.
test('a host relays requests only, none while it shuts down, and ends when those it relays have', async (t) => {
  const order = await start(new RelaySite(), { ...CALL, purpose: ExchangePurpose.Order });
  t.deepEqual(order.sink.steps, ['fail notSent']);
  t.is(order.site.exchanges.length, 0);
  const leaving = new RelaySite();
  const running = await start(leaving);
  leaving.flags.isLeaving = true;
  const later = new RecordingSink();
  leaving.send(later);
  await leaving.timers.advance(10);
  t.deepEqual(later.steps, ['fail notSent']);
  t.is(leaving.server.running, 1);
  running.relayed!.sink.onSent();
  running.relayed!.sink.onHead(200, HEADERS);
  running.relayed!.sink.onEnd();
  await leaving.timers.advance(10);
  t.deepEqual(running.sink.steps, ['sent', 'head 200', 'end']);
});

test('a path leads over a peer that reaches the replicas and has the least to relay, one nearby first', (t) => {
  const site = new RelaySite();
  const choose = (): UpstreamPath => site.sender.choosePath(REPLICA, false, true);
  t.deepEqual(choose(), { kind: PathKind.Relayed, peer: 'c:1' });
  site.sender.send(
    choose(),
    REPLICA,
    { id: 'r1', call: CALL, timeoutMs: TIMEOUT_MS, softwareVersion: undefined },
    new RecordingSink(),
  );
  t.is(choose().peer, 'b:1');
  site.cutOff.add('b:1');
  t.is(choose().peer, 'c:1');
  site.cutOff.add('c:1 leaving');
  t.is(choose().kind, PathKind.Blocked);
  // Connections that are established may still serve something.
  site.cause = CutCause.Silence;
  t.is(choose().kind, PathKind.Direct);
  site.cause = undefined;
  t.is(choose().kind, PathKind.Direct);
});

// Guards against a host that asks one that has just started, and knows no replica yet, for all of its requests.
test('a peer that does not accept a request is chosen last for a while', async (t) => {
  const site = new RelaySite();
  const choose = (): string | undefined => site.sender.choosePath(REPLICA, false, true).peer;
  site.flags.isLeaving = true;
  const sink = new RecordingSink();
  const path = site.sender.choosePath(REPLICA, false, true);
  t.is(path.peer, 'c:1');
  site.sender.send(
    path,
    REPLICA,
    { id: 'r1', call: CALL, timeoutMs: TIMEOUT_MS, softwareVersion: undefined },
    sink,
  );
  await site.timers.advance(10);
  t.deepEqual(sink.steps, ['fail notSent']);
  t.is(choose(), 'b:1');
  site.cutOff.add('b:1');
  t.is(choose(), 'c:1');
  site.cutOff.delete('b:1');
  await site.timers.advance(1000);
  t.is(choose(), 'c:1');
});

// Guards against callers who wait for connections that nobody can establish.
test('a request that no host can send fails at once, unsent', async (t) => {
  const site = new RelaySite();
  const sink = new RecordingSink();
  site.sender.send(
    { kind: PathKind.Blocked, peer: undefined },
    REPLICA,
    { id: 'r', call: CALL, timeoutMs: 1, softwareVersion: undefined },
    sink,
  );
  await site.timers.advance(0);
  t.deepEqual(sink.steps, ['fail notSent']);
});

// Guards against a stream that goes on, over a peer, at a replica of another software version.
test('a peer relays a stream that goes on only to a replica that it knows to have the version', async (t) => {
  const site = new RelaySite();
  const other = new RecordingSink();
  site.send(other, CALL, 'v2');
  await site.timers.advance(10);
  t.deepEqual(other.steps, ['fail notSent']);
  t.is(site.exchanges.length, 0);
  const same = new RecordingSink();
  site.send(same, CALL, REPLICA.softwareVersion);
  await site.timers.advance(10);
  const [relayed] = site.exchanges;
  relayed!.sink.onSent();
  relayed!.sink.onHead(200, HEADERS);
  relayed!.sink.onEnd();
  await site.timers.advance(10);
  t.deepEqual(same.steps, ['sent', 'head 200', 'end']);
});

test('a peer does not pass on the stream of a replica that has restarted', async (t) => {
  const site = new RelaySite();
  site.flags.isRunning = false;
  const sink = new RecordingSink();
  site.send(sink, CALL, REPLICA.softwareVersion);
  await site.timers.advance(10);
  const [relayed] = site.exchanges;
  relayed!.sink.onSent();
  relayed!.sink.onHead(200, HEADERS);
  await site.timers.advance(10);
  t.deepEqual(sink.steps, ['sent', 'fail broken']);
  t.is(relayed!.cancelled.length, 1);
});
