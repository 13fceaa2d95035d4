/** What the store's history proves of the time before a fleet started. */
import type { EntryWrite, ReplicaEntry } from '@celeryyoke/routing';
import { pastVersions, readStoreHistory, ReplicaState, shortestSpanMs } from '@celeryyoke/routing';
import test from 'ava';
import * as fc from 'fast-check';

import { engineEntry } from '../fakes.js';

const INTERVAL_MS = 1000;
/** Unix milliseconds at which the histories of these tests are read. */
const WALL = 1_800_000_000_000;
const LONG_AGO = WALL - 3_600_000;

function entry(name: string, fields: Partial<ReplicaEntry> = {}): ReplicaEntry {
  return { ...engineEntry(name), softwareVersion: 'v1', ...fields };
}

let lastRevision = 0;

function write(name: string, fields: Partial<EntryWrite> = {}): EntryWrite {
  lastRevision += 1;
  return {
    name,
    revision: lastRevision,
    replica: entry(name),
    writeCount: undefined,
    isCreation: false,
    ...fields,
  };
}

function writes(count: number, ...names: readonly string[]): EntryWrite[] {
  return Array.from({ length: count }, () => names.map((name) => write(name))).flat();
}

const versionsOf = (history: readonly EntryWrite[], from = 1) =>
  pastVersions({ from, writes: history }, { intervalMs: INTERVAL_MS, wall: WALL });

test('each further write of a replica shows that about an interval has passed', (t) => {
  t.is(shortestSpanMs([], INTERVAL_MS), 0);
  t.is(shortestSpanMs(writes(1, 'a', 'b'), INTERVAL_MS), 0);
  t.is(shortestSpanMs(writes(11, 'a', 'b'), INTERVAL_MS), 8000);
});

test('writes that the store does not show, as they changed nothing, are counted by the replica', (t) => {
  const history = [3, 8].flatMap((writeCount) => [write('a', { writeCount }), write('b', { writeCount })]);
  t.is(shortestSpanMs(history, INTERVAL_MS), 4000);
});

// Guards against a history that seems longer than it is, so that a version before it is overlooked.
test('a change that is written at once, and a start again, show no time', (t) => {
  const states = [ReplicaState.Ready, ReplicaState.Leaving, ReplicaState.Ready, ReplicaState.Leaving];
  const changes = states.flatMap((state) =>
    ['a', 'b'].map((name) => write(name, { replica: entry(name, { state }) })),
  );
  t.is(shortestSpanMs(changes, INTERVAL_MS), 0);
  const starts = [1, 2, 3].flatMap((start) =>
    ['a', 'b'].map((name) =>
      write(name, { replica: entry(name, { id: `${name}#${start}`, bornAt: start }), writeCount: start }),
    ),
  );
  t.is(shortestSpanMs(starts, INTERVAL_MS), 0);
});

// Guards against one wrong entry that decides which streams go on.
test('the count of one replica proves nothing against those of the others', (t) => {
  const wrong = [write('a', { writeCount: 1 }), write('a', { writeCount: 1_000_000 })];
  t.is(shortestSpanMs([...writes(6, 'b'), ...wrong], INTERVAL_MS), 4000);
});

test('about the oldest revision that the store still has is found, whatever it has discarded', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.nat(100_000), fc.nat(100_000), async (kept, upTo) => {
      const oldest = Math.min(kept, upTo);
      let calls = 0;
      const source = {
        hasHistory: (after: number) => {
          calls += 1;
          return Promise.resolve(after >= oldest);
        },
        replicaWrites: (after: number) => Promise.resolve(after >= oldest ? [] : undefined),
      };
      const history = await readStoreHistory(source, upTo, AbortSignal.timeout(1000));
      t.true(history!.from >= oldest);
      t.true(upTo - history!.from >= (upTo - oldest) * (1 - 1 / 32) - 1);
      t.true(calls <= Math.log2(upTo + 2) + 8);
    }),
  );
});

// Guards against a proof that is given up as the store discards what has just been found.
test('a store that discards its history while it is searched is read from a later revision on', async (t) => {
  let oldest = 40;
  const source = {
    hasHistory: (after: number) => Promise.resolve(after >= oldest),
    replicaWrites: (after: number) => {
      oldest += 1;
      return Promise.resolve(after >= oldest ? [] : undefined);
    },
  };
  const history = await readStoreHistory(source, 100, AbortSignal.timeout(1000));
  t.true(history !== undefined && history.from < 50);
});

test('a store that has discarded all of its history proves nothing', async (t) => {
  const source = {
    hasHistory: () => Promise.resolve(false),
    replicaWrites: () => Promise.resolve(undefined),
  };
  t.is(await readStoreHistory(source, 7, AbortSignal.timeout(1000)), undefined);
});

test('a version that was replaced or removed is told with the time since at least', (t) => {
  const history = [
    write('a'),
    write('b'),
    write('b', { replica: undefined }),
    write('a', { replica: entry('a', { softwareVersion: 'v2' }) }),
    ...writes(6, 'c', 'd'),
  ];
  const former = versionsOf(history).filter(({ removedAgoMs }) => removedAgoMs > 0);
  t.deepEqual(
    former.map(({ softwareVersion, removedAgoMs }) => [softwareVersion, removedAgoMs]),
    [
      ['v1', 4000],
      ['v1', 4000],
    ],
  );
});

// Guards against an entry of another version that was there before the history, and is taken for none.
test('an entry that is removed before the history shows what it stated has an unknown version', (t) => {
  const history = [write('a', { replica: undefined }), ...writes(3, 'c', 'd')];
  const unknown = { service: '', softwareVersion: '', removedAgoMs: 1600 };
  t.deepEqual(versionsOf(history).slice(0, 1), [unknown]);
  t.is(versionsOf(history, 0).filter(({ service }) => service === '').length, 0);
});

test('a replica that may have started under its name in the history had an unknown version before', (t) => {
  const startedAt = (bornAt: number, isCreation: boolean) =>
    versionsOf([write('a', { replica: entry('a', { bornAt }), isCreation }), ...writes(3, 'c', 'd')]).some(
      ({ softwareVersion }) => softwareVersion === '',
    );
  t.true(startedAt(WALL - 5000, false));
  t.false(startedAt(WALL - 5000, true));
  t.false(startedAt(LONG_AGO, false));
});
