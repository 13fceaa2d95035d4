/** A stream reaches the caller in whole events, without a gap and without a repeat. */
import type { ServerResponse } from 'node:http';

import { StreamRelay } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

class FakeAnswer {
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
}

const FRAMED = { 'transfer-encoding': 'chunked' };

function setUp(firstId?: number) {
  const res = new FakeAnswer();
  const clock = { now: 0 };
  const relay = new StreamRelay(res as unknown as ServerResponse, firstId, () => clock.now);
  return { res, relay, clock };
}

const event = (id: number): string => `id: ${id}\ndata: t${id}\n\n`;
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => event(from + index)).join('');

test('however the bytes are cut, whole events come out, in order', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 }), (cuts) => {
      const { res, relay } = setUp();
      const text = events(1, 20);
      relay.begin(200, FRAMED);
      let at = 0;
      for (const cut of cuts) {
        relay.take(Buffer.from(text.slice(at, at + cut)));
        at += cut;
        t.true(res.text === '' || res.text.endsWith('\n\n'));
      }
      relay.take(Buffer.from(text.slice(at)));
      t.is(res.text, text);
      t.is(relay.lastId, 20);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('a replica that stops within an event leaves no part of it', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.take(Buffer.from(`${events(1, 3)}id: 4\ndata: t`));
  relay.breakOff();
  t.is(res.text, events(1, 3));
  t.true(res.broken);
  t.is(relay.lastId, 3);
});

test('another replica goes on behind the last event; what it repeats is left out', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.take(Buffer.from(`${events(1, 3)}id: 4\nda`));
  relay.begin(200, FRAMED);
  t.true(relay.take(Buffer.from(events(3, 6))));
  t.is(res.text, events(1, 6));
});

test('a replica that would leave a gap is refused', (t) => {
  const { res, relay } = setUp();
  relay.begin(200, FRAMED);
  relay.take(Buffer.from(events(1, 3)));
  relay.begin(200, FRAMED);
  t.false(relay.take(Buffer.from(events(5, 6))));
  t.is(res.text, events(1, 3));
});

test('the longest pause counts from the first piece on, over all replicas', (t) => {
  const { relay, clock } = setUp();
  relay.begin(200, FRAMED);
  for (const [at, id] of [
    [500, 1],
    [600, 2],
    [950, 3],
  ] as const) {
    clock.now = at;
    relay.take(Buffer.from(event(id)));
  }
  relay.begin(200, FRAMED);
  clock.now = 1400;
  relay.take(Buffer.from(event(4)));
  t.is(relay.longestPauseMs, 450);
});
