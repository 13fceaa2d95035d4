/** A stream reaches the caller in whole events, without missing or duplicate ones. */
import type { ServerResponse } from 'node:http';

import { createManualTimers } from '@celeryyoke/core';
import { BufferBudget, ForwardResult, StreamRelay } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

class FakeServerResponse {
  text = '';

  ended = false;

  broken = false;

  writeHead(): void {
    this.text = '';
  }

  flushHeaders(): void {
    this.text += '';
  }

  write(chunk: Buffer): boolean {
    this.text += chunk.toString();
    return true;
  }

  end(): void {
    this.ended = true;
  }

  destroy(): void {
    this.broken = true;
  }

  removeHeader(): void {
    this.text += '';
  }

  /** Bytes that the caller has not taken. */
  writableLength = 0;

  get writableNeedDrain(): boolean {
    return this.writableLength > 0;
  }

  readonly listeners = new Map<string, () => void>();

  once(name: string, listener: () => void): void {
    this.listeners.set(name, listener);
  }

  /** Whether its connection was reset. */
  wasReset = false;

  readonly socket = {
    resetAndDestroy: (): void => {
      this.wasReset = true;
    },
  };
}

const FRAMED = { 'transfer-encoding': 'chunked' };

function setUp(firstId?: number) {
  const res = new FakeServerResponse();
  const timers = createManualTimers();
  const buffers = new BufferBudget();
  const relay = new StreamRelay(res as unknown as ServerResponse, firstId, timers, buffers);
  return { res, relay, timers, buffers };
}

const event = (id: number): string => `id: ${id}\ndata: t${id}\n\n`;
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => event(from + index)).join('');

test('events are relayed whole and in order, however the bytes are split into chunks', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 }), (cuts) => {
      const { res, relay } = setUp();
      const text = events(1, 20);
      relay.begin(200, FRAMED);
      let at = 0;
      for (const cut of cuts) {
        relay.forward(Buffer.from(text.slice(at, at + cut)));
        at += cut;
        t.true(res.text === '' || res.text.endsWith('\n\n'));
      }
      relay.forward(Buffer.from(text.slice(at)));
      t.is(res.text, text);
      t.is(relay.lastEventId, 20);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('a stream that breaks within an event leaves no part of that event', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.forward(Buffer.from(`${events(1, 3)}id: 4\ndata: t`));
  relay.abort();
  t.is(res.text, events(1, 3));
  t.true(res.broken);
  t.is(relay.lastEventId, 3);
});

test('another replica continues after the last event; events that it sends again are dropped', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.forward(Buffer.from(`${events(1, 3)}id: 4\nda`));
  relay.begin(200, FRAMED);
  t.is(relay.forward(Buffer.from(events(3, 6))), ForwardResult.Forwarded);
  t.is(res.text, events(1, 6));
});

test('a stream that skips events is refused', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.forward(Buffer.from(events(1, 3)));
  relay.begin(200, FRAMED);
  t.is(relay.forward(Buffer.from(events(5, 6))), ForwardResult.EventsMissing);
  t.is(res.text, events(1, 3));
});

// Guards against events that are lost as they came in one chunk with a gap, although they count as received.
test('events before a gap in the same chunk reach the caller, and the next replica continues after them', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.forward(Buffer.from(events(1, 3)));
  relay.begin(200, FRAMED);
  t.is(relay.forward(Buffer.from(events(4, 5) + event(7))), ForwardResult.EventsMissing);
  t.is(relay.lastEventId, 5);
  relay.begin(200, FRAMED);
  relay.forward(Buffer.from(events(6, 8)));
  t.is(res.text, events(1, 8));
});

const ODD_RUNS = {
  'repeats an event': [events(1, 4) + events(4, 6), ForwardResult.EventsMissing, events(1, 4)],
  'goes back': [events(1, 4) + events(2, 6), ForwardResult.EventsMissing, events(1, 4)],
  'skips an event': [events(1, 4) + events(6, 7), ForwardResult.EventsMissing, events(1, 4)],
} as const;

for (const [title, [sent, result, received]] of Object.entries(ODD_RUNS))
  // Guards against events twice, missing or out of order where no other replica has sent a part of the stream.
  test(`the only replica of a stream ${title}`, (t) => {
    const { res, relay } = setUp();
    relay.begin(200, FRAMED);
    t.is(relay.forward(Buffer.from(sent)), result);
    t.is(res.text, received);
  });

const RESUMED_RUNS = {
  'begins anew': [events(1, 6), ForwardResult.Forwarded, events(4, 6)],
  'begins one event early': [events(3, 6), ForwardResult.Forwarded, events(4, 6)],
  'begins anew, with events without a number': [
    `${events(1, 2)}data: a\n\n${events(3, 3)}data: b\n\n${event(4)}`,
    ForwardResult.Forwarded,
    `data: b\n\n${event(4)}`,
  ],
  'begins one event late': [events(5, 6), ForwardResult.EventsMissing, ''],
} as const;

for (const [title, [sent, result, received]] of Object.entries(RESUMED_RUNS))
  // Guards against a take-up that brings its caller events that it has, or leaves out some that it lacks.
  test(`the replica of a stream that its caller takes up after event 3 ${title}`, (t) => {
    const { res, relay } = setUp(3);
    relay.begin(200, FRAMED);
    t.is(relay.forward(Buffer.from(sent)), result);
    t.is(res.text, received);
  });

// Guards against a run that is continued at another event than the last one, as its id was rounded.
test('a stream whose ids are too large to be exact is passed on, and no other run continues it', (t) => {
  const { res, relay } = setUp();
  const sent = ['9007199254740992', '9007199254740993'].map((id) => `id: ${id}\ndata: t\n\n`).join('');
  relay.begin(200, FRAMED);
  t.is(relay.forward(Buffer.from(sent)), ForwardResult.Forwarded);
  t.is(res.text, sent);
  t.false(relay.isContinuable);
});

// Guards against streams that are broken off as their ids increase by more than one.
for (const ids of ['10 20 30', '0 7 8', '1765073846000 1765073846250 1765073846400'])
  test(`a stream whose ids increase is passed on whole, and no other run continues it: ${ids}`, (t) => {
    const { res, relay } = setUp();
    const sent = ids.split(' ').map((id) => event(Number(id)));
    relay.begin(200, FRAMED);
    for (const part of sent) t.is(relay.forward(Buffer.from(part)), ForwardResult.Forwarded);
    t.is(res.text, sent.join(''));
    t.false(relay.isContinuable);
  });

test('the longest gap is measured from the first chunk on, across all replicas', async (t) => {
  const { relay, timers } = setUp();
  const startedAt = timers.now();
  relay.begin(200, FRAMED);
  for (const [at, id] of [
    [500, 1],
    [600, 2],
    [950, 3],
  ] as const) {
    await timers.advance(at - (timers.now() - startedAt));
    relay.forward(Buffer.from(event(id)));
  }
  relay.begin(200, FRAMED);
  await timers.advance(1400 - (timers.now() - startedAt));
  relay.forward(Buffer.from(event(4)));
  t.is(relay.longestGapMs, 450);
});

// Guards against a reset that a caller reads together with the last events and takes for a plain end.
test('a stream without a length is reset a moment after its last event, and nothing is written meanwhile', async (t) => {
  const { res, relay, timers } = setUp();
  relay.begin(200, {});
  relay.forward(Buffer.from(events(1, 2)));
  relay.abort();
  relay.forward(Buffer.from(event(3)));
  await timers.advance(20);
  t.false(res.wasReset);
  await timers.advance(80);
  t.true(res.wasReset);
  t.is(res.text, events(1, 2));
});

// Guards against callers that take nothing of their streams, and whose memory nobody counts.
test('what a caller has not taken is counted until it has, or until its connection has closed', (t) => {
  const { res, relay, buffers } = setUp();
  relay.begin(200, FRAMED);
  res.writableLength = 5000;
  relay.forward(Buffer.from(event(1)));
  t.is(buffers.takenBytes, 5000);
  relay.onceDrained(() => undefined);
  res.listeners.get('drain')!();
  t.is(buffers.takenBytes, 0);
  relay.forward(Buffer.from(event(2)));
  relay.release();
  t.is(buffers.takenBytes, 5000);
  res.listeners.get('close')!();
  t.is(buffers.takenBytes, 0);
});
