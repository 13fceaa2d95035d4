/** Responses that end with their connections are complete only where the process that sent them has lived on. */
import { createManualTimers, createSilentLog, ListenerState } from '@celeryyoke/core';
import type { ReplicaEntry, ResponseSink } from '@celeryyoke/routing';
import {
  ChannelFailure,
  EndProofs,
  ExchangeError,
  Presence,
  PresenceCheck,
  ProvedEnd,
} from '@celeryyoke/routing';
import test from 'ava';

const REPLICA = { id: 'i-1', name: 'i-1' } as ReplicaEntry;
const CONNECTED_AT = 10;
const ENDED = { connectedAt: CONNECTED_AT, requestId: 'r-1' };
/** Longest time that the end of a response is held back, in milliseconds. */
const BOUND_MS = 1000;

/** Never settles. */
function silence<Value>(): Promise<Value> {
  return new Promise<Value>(() => {});
}

/** Proofs whose replica answers in turn as it is told, and then not at all. */
function setUp(answers: readonly Presence[], isOpen = false) {
  const timers = createManualTimers();
  const left = [...answers];
  let asked = 0;
  const proofs = new EndProofs({
    presenceOf: () => {
      asked += 1;
      const answer = left.shift();
      return answer === undefined ? silence<Presence>() : Promise.resolve(answer);
    },
    isConnectedSince: (_id, at) => isOpen && at === CONNECTED_AT,
    timers,
    log: createSilentLog(),
  });
  return { timers, proofs, asked: () => asked };
}

interface Row {
  readonly answers: readonly Presence[];
  /** Whether another connection to the replica is still open. */
  readonly isOpen: boolean;
  readonly isProved: boolean;
}

const ROWS: Readonly<Record<string, Row>> = {
  'the replica answers': { answers: [Presence.Listed], isOpen: false, isProved: true },
  'the replica answers later': {
    answers: [Presence.Unknown, Presence.Unknown, Presence.Listed],
    isOpen: false,
    isProved: true,
  },
  'another one answers': { answers: [Presence.Other], isOpen: true, isProved: false },
  'nothing listens': { answers: [Presence.Gone], isOpen: false, isProved: false },
  'nothing listens, and another connection is open': {
    answers: [Presence.Gone],
    isOpen: true,
    isProved: true,
  },
  'the replica is silent': { answers: [], isOpen: false, isProved: false },
  'the replica is silent, and another connection is open': { answers: [], isOpen: true, isProved: true },
};

for (const [name, { answers, isOpen, isProved }] of Object.entries(ROWS))
  // Guards against a death that is taken for an end, and against an end that waits for longer than callers do.
  test(`the end of a response is proved or not within its time: ${name}`, async (t) => {
    const { timers, proofs } = setUp(answers, isOpen);
    let result: boolean | undefined;
    void proofs.prove(REPLICA, ENDED).then((proved) => {
      result = proved;
    });
    await timers.advance(BOUND_MS);
    t.is(result, isProved);
  });

const ENGINE = { ...REPLICA, models: [] } as unknown as ReplicaEntry;
const { Listening, Refused, Unknown } = ListenerState;
const SILENT_ENGINES: readonly (readonly [ChannelFailure, ListenerState, Presence])[] = [
  [ChannelFailure.Withheld, Listening, Presence.Listed],
  [ChannelFailure.Withheld, Refused, Presence.Gone],
  [ChannelFailure.Broken, Listening, Presence.Unknown],
  [ChannelFailure.NotSent, Refused, Presence.Gone],
  [ChannelFailure.NotSent, Unknown, Presence.Unknown],
];

for (const [failure, state, presence] of SILENT_ENGINES)
  // Guards against whole streams that look cut as their engine has asked for no requests for a while.
  test(`an engine that gave no report is looked for at its address: ${failure}, ${state}`, async (t) => {
    const check = new PresenceCheck({
      identities: { isListed: () => Promise.reject(new ExchangeError(failure, 'by a test')) },
      probe: () => Promise.resolve(state),
      isRunning: () => Promise.resolve(true),
      log: createSilentLog(),
    });
    t.is(await check.presenceOf(ENGINE), presence);
  });

// Guards against one question for each of the responses that a replica ends at the same time.
test('responses that end together share one question', async (t) => {
  const { timers, proofs, asked } = setUp([Presence.Listed, Presence.Listed]);
  const together = [1, 2, 3].map(() => proofs.prove(REPLICA, ENDED));
  await timers.advance(20);
  t.deepEqual(await Promise.all(together), [true, true, true]);
  t.is(asked(), 1);
  const later = proofs.prove(REPLICA, ENDED);
  await timers.advance(20);
  t.true(await later);
  t.is(asked(), 2);
});

// Guards against a question for responses whose end is stated, and against a proof that outlives its exchange.
test('only the end of a response that ends with its connection is held back, until a cancel', (t) => {
  const play = (method: string, status: number, headers: Record<string, string>): string[] => {
    const steps: string[] = [];
    let inner!: ResponseSink;
    const idle = { mayHaveArrived: () => true, cancel: () => undefined, pause: () => undefined };
    const exchange = new ProvedEnd(
      (sink) => {
        inner = sink;
        return { ...idle, resume: () => undefined };
      },
      { method },
      () => silence<boolean>(),
      {
        onSent: () => undefined,
        onHead: () => undefined,
        onData: (chunk) => steps.push(chunk.toString()),
        onEnd: () => steps.push('end'),
        onFail: (failure) => steps.push(failure),
      },
    );
    inner.onHead(status, headers);
    inner.onData(Buffer.from('x'));
    inner.onEnd();
    exchange.cancel('left');
    return steps;
  };
  t.deepEqual(play('GET', 200, {}), ['x', 'cancelled']);
  t.deepEqual(play('GET', 200, { 'content-length': '1' }), ['x', 'end']);
  t.deepEqual(play('GET', 200, { 'transfer-encoding': 'chunked' }), ['x', 'end']);
  t.deepEqual(play('HEAD', 200, {}), ['x', 'end']);
  t.deepEqual(play('GET', 204, {}), ['x', 'end']);
  t.deepEqual(play('GET', 304, {}), ['x', 'end']);
});
