/** Frames between daemons: decoding from arbitrary chunks, compression, and invalid or oversized input. */
import { countValues, encode } from '@celeryyoke/core';
import { encodeFrame, FrameReader } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { sampleDocument } from './fakes.js';

test('values decode to what was encoded, however the bytes are split into chunks', (t) => {
  const values = fc.array(fc.oneof(fc.jsonValue(), fc.string({ maxLength: 20_000 })), { maxLength: 5 });
  fc.assert(
    fc.property(values, fc.array(fc.integer({ min: 1, max: 9000 }), { minLength: 1 }), (sent, cuts) => {
      const bytes = Buffer.concat(sent.map((value) => encodeFrame(value)));
      const reader = new FrameReader();
      const received: unknown[] = [];
      let at = 0;
      for (let index = 0; at < bytes.length; index += 1) {
        const end = at + cuts[index % cuts.length]!;
        received.push(...reader.read(bytes.subarray(at, end)));
        at = end;
      }
      return JSON.stringify(received) === JSON.stringify(sent);
    }),
    { numRuns: 100 },
  );
  t.pass();
});

// Guards against a peer whose segments are small, so that each of them copies all that came before.
test('a large frame that comes in pieces of one byte is read in a fraction of a second', (t) => {
  const text = Array.from({ length: 50_000 }, (_, index) =>
    ((index * 2_654_435_761) % 4_294_967_296).toString(36),
  );
  const bytes = encodeFrame([-1, text]);
  t.true(bytes.length > 200_000, `${bytes.length} bytes`);
  const reader = new FrameReader();
  const received: unknown[] = [];
  const startedAt = Date.now();
  for (let at = 0; at < bytes.length; at += 1) received.push(...reader.read(bytes.subarray(at, at + 1)));
  t.true(Date.now() - startedAt < 2000, `${Date.now() - startedAt} ms`);
  t.deepEqual(received, [[-1, text]]);
});

test('a configuration that has grown by 1,700 routes takes less than 0.1 s at 10 Mbit/s', (t) => {
  const document = sampleDocument(2);
  const routes = Array.from({ length: 1700 }, (_, index) => ({
    ...document.routes[index % document.routes.length]!,
    name: `r-${(index * 7919).toString(36)}`,
    prefix: `/${(index * 104_729).toString(36)}/`,
  }));
  const frame = encodeFrame([-1, { ...document, routes }]);
  const bytesPerSecond = 10e6 / 8;
  t.true(frame.length / bytesPerSecond < 0.1, `${frame.length} bytes`);
});

test('invalid bytes cause an error at most', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ minLength: 4, maxLength: 200 }), (bytes) => {
      const reader = new FrameReader();
      try {
        return [...reader.read(Buffer.from(bytes))].length >= 0;
      } catch (err) {
        return err instanceof Error;
      }
    }),
  );
  t.pass();
});

test('a small frame that would decompress to more than the largest body is refused', (t) => {
  const frame = encodeFrame('x'.repeat(9 * 1024 * 1024));
  t.true(frame.length < 200_000);
  t.throws(() => [...new FrameReader().read(frame)]);
});

// Guards against a short message that decodes to more values than the memory holds, and one that is refused wrongly.
test('the values of a message are counted as they are decoded', (t) => {
  const valuesIn = (value: unknown): number => {
    if (typeof value !== 'object' || value === null) return 1;
    const parts = Array.isArray(value) ? value : Object.entries(value).flat();
    return parts.reduce((sum: number, part) => sum + valuesIn(part), 1);
  };
  const value = fc.oneof(fc.jsonValue(), fc.string({ maxLength: 70_000 }), fc.uint8Array({ maxLength: 300 }));
  fc.assert(
    fc.property(value, (sent) => {
      const expected = sent instanceof Uint8Array ? 1 : valuesIn(sent);
      return countValues(encode(sent), 1_000_000) === expected;
    }),
  );
  t.throws(() => [...new FrameReader().read(encodeFrame(Array.from({ length: 600_000 }, () => ({}))))]);
});
