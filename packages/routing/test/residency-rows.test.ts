/**
 * Tests the residency rows that owners of engines publish: their encoding, and that the latest owner's row
 * wins.
 */
import { decode, encode } from '@celeryyoke/core';
import type { ResidencyRow } from '@celeryyoke/routing';
import { decodeResidency, encodeResidency, VersionedTable } from '@celeryyoke/routing';
import test from 'ava';

const row = (token: number, sequence: number): ResidencyRow => ({
  replica: 'i-0c3d9aaac9',
  token,
  sequence,
  models: ['base'],
  adapters: { 'base/a1': 1, 'base/a207': 3 },
});

test('a decoded residency row equals the encoded one, whose frame names each model once', (t) => {
  const adapters = Object.fromEntries(
    Array.from({ length: 11 }, (_, index) => [`dele69a/a${index * 371}`, 1]),
  );
  const published: ResidencyRow = { ...row(7_248_338_534_400_123, 12), models: ['dele69a'], adapters };
  const frame = encode(encodeResidency(published));
  t.deepEqual(decodeResidency(decode(frame)), published);
  t.true(frame.length <= 120, `${frame.length} bytes`);
});

test('a row with a higher token wins, then one with a higher sequence', (t) => {
  const table = new VersionedTable<ResidencyRow>(() => true);
  t.true(table.merge(row(1, 5)));
  t.false(table.merge(row(1, 5)));
  t.false(table.merge(row(1, 4)));
  t.true(table.merge(row(2, 1)));
  t.false(table.merge(row(1, 9)));
  t.is(table.get('i-0c3d9aaac9')?.token, 2);
});

test('rows of engines that the registry does not list are not published', (t) => {
  const listed = new Set<string>();
  const table = new VersionedTable<ResidencyRow>((replica) => listed.has(replica));
  table.merge(row(1, 1));
  t.deepEqual(table.snapshot(), []);
  listed.add('i-0c3d9aaac9');
  t.is(table.snapshot().length, 1);
  table.forget('i-0c3d9aaac9');
  t.deepEqual(table.snapshot(), []);
});
