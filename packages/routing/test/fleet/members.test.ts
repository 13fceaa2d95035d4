/** The member table: convergence for any order of records, refutation, probing ring and wire format. */
import { createManualTimers, decode, encode } from '@celeryyoke/core';
import type { MemberFrame, MemberRecord } from '@celeryyoke/routing';
import { decodeMember, encodeMember, MemberState, MemberTable } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

const SELF: MemberRecord = {
  address: 'self:1',
  zone: 'z',
  incarnation: 5,
  version: 0,
  state: MemberState.Alive,
};

function createTable() {
  const timers = createManualTimers();
  const changes: MemberRecord[] = [];
  const table = new MemberTable(SELF, timers, (record) => changes.push(record));
  return { timers, table, changes };
}

const records = fc.record({
  address: fc.constantFrom('a:1', 'b:1', 'c:1'),
  zone: fc.constant('z'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  version: fc.integer({ min: 0, max: 2 }),
  state: fc.constantFrom(MemberState.Alive, MemberState.Silent, MemberState.Leaving, MemberState.Ended),
});

test('the same records in any order and number make the same table', (t) => {
  fc.assert(
    fc.property(fc.array(records), fc.nat(), (received, rotation) => {
      // A record of an ended member is only merged when the member is known.
      const known = ['a:1', 'b:1', 'c:1'].map((address) => ({ ...SELF, address, incarnation: 0 }));
      const [first, second] = [createTable().table, createTable().table];
      for (const record of [...known, ...received]) first.merge(record);
      const at = received.length === 0 ? 0 : rotation % received.length;
      const other = [...received.slice(at), ...received.slice(0, at), ...received].reverse();
      for (const record of [...known, ...other]) second.merge(record);
      t.deepEqual(first.alive(), second.alive());
      t.is(first.digest(), second.digest());
      t.is(first.aliveOrSilentCount(), second.aliveOrSilentCount());
    }),
  );
});

test('a wrong record of this daemon is refuted, and has no effect when it arrives again', (t) => {
  for (const state of [MemberState.Silent, MemberState.Leaving, MemberState.Ended]) {
    const { table, changes } = createTable();
    t.true(table.merge({ ...SELF, state }));
    t.is(table.self.state, MemberState.Alive);
    t.true(table.self.version > SELF.version);
    t.deepEqual(changes.at(-1), table.self);
    t.false(table.merge({ ...SELF, state }));
  }
});

test('a daemon raises its incarnation above a later one that the others know', (t) => {
  const { table } = createTable();
  table.merge({ ...SELF, incarnation: 9, version: 4, state: MemberState.Ended });
  t.is(table.self.incarnation, 10);
  t.is(table.self.state, MemberState.Alive);
});

test('an ended member that was removed does not come back by an old record', async (t) => {
  const { timers, table } = createTable();
  const other: MemberRecord = { ...SELF, address: 'a:1' };
  table.merge(other);
  table.setState('a:1', MemberState.Ended);
  await timers.advance(61_000);
  table.removeEnded(60_000);
  t.is(table.get('a:1'), undefined);
  t.false(table.merge({ ...other, state: MemberState.Ended }));
  t.is(table.get('a:1'), undefined);
});

test('silent members do not count towards the number of probed members', (t) => {
  const { table } = createTable();
  for (let index = 0; index < 20; index += 1) table.merge({ ...SELF, address: `m${index}:1` });
  const first = table.successors(3);
  t.is(first.length, 3);
  table.setState(first[0]!.address, MemberState.Silent);
  const second = table.successors(3);
  t.is(second.length, 4);
  t.deepEqual(
    second.slice(0, 3).map(({ address }) => address),
    first.map(({ address }) => address),
  );
});

test('a record decodes to what was encoded, in few bytes', (t) => {
  const record: MemberRecord = {
    address: '10.1.0.38:8144',
    zone: 'ct-a',
    incarnation: 1_769_613_900_144,
    version: 3,
    state: MemberState.Silent,
  };
  const frame = encode(encodeMember(record));
  t.deepEqual(decodeMember(decode(frame) as MemberFrame), record);
  t.true(frame.length <= 40, `${frame.length} bytes`);
});
