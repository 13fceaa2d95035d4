/** Bytes that arrive in pieces. */
import { ByteBuffer } from '@celeryyoke/core';
import test from 'ava';
import fc from 'fast-check';

// Guards against bytes that change after they were handed to a connection.
test('bytes stay as they are when more is appended or all is removed', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ minLength: 1, maxLength: 900 }), { minLength: 1, maxLength: 40 }),
      (chunks) => {
        const buffer = new ByteBuffer();
        const copies: { readonly view: Buffer; readonly copy: Buffer }[] = [];
        for (const [index, chunk] of chunks.entries()) {
          if (index % 7 === 6) buffer.clear();
          buffer.append(chunk);
          copies.push({ view: buffer.bytes, copy: Buffer.from(buffer.bytes) });
        }
        for (const { view, copy } of copies) t.deepEqual(view, copy);
      },
    ),
    { seed: 5, numRuns: 200 },
  );
});

// Guards against work that grows with the square of the length.
test('a megabyte in pieces of one byte is appended in a fraction of a second', (t) => {
  const buffer = new ByteBuffer();
  const piece = Buffer.from('x');
  const startedAt = Date.now();
  for (let count = 0; count < 1024 * 1024; count += 1) buffer.append(piece);
  t.true(Date.now() - startedAt < 2000);
  t.is(buffer.length, 1024 * 1024);
  t.true(buffer.capacity <= 2 * buffer.length);
});
