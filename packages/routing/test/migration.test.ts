/** Streams of an engine that shuts down, while the engines that they could move to declare that they take none. */
import { createManualTimers } from '@celeryyoke/core';
import type { MigrationDependencies, Need } from '@celeryyoke/routing';
import { StreamMigration } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry, log, MODEL } from './fakes.js';

const COPY_MS = 20;
const SHUTDOWN_MS = 1000;

interface Copy {
  readonly to: string;
  readonly isFinal: boolean;
}

/** Starts the migration of one stream; engines in `ruledOut` take no requests any more. */
function startMigration(
  engines: readonly string[],
  onCopy: (copy: Copy, ruledOut: Set<string>) => void,
  leaving = engineEntry('leaving'),
) {
  const timers = createManualTimers();
  const ruledOut = new Set<string>();
  const copies: Copy[] = [];
  const versions: (string | undefined)[] = [];
  const choose = ({ tried, softwareVersion }: Need) => {
    versions.push(softwareVersion);
    const id = engines.find((engine) => !ruledOut.has(engine) && !tried.has(engine));
    return id && { replica: engineEntry(id), residentVersion: 1, needsLoad: false, cost: 0 };
  };
  const parts = {
    chooser: { choose },
    acceptsStream: (replica: string) => !ruledOut.has(replica),
    control: {
      copyRunState: async (_from: unknown, _request: string, { id }: { id: string }, isFinal: boolean) => {
        const copy = { to: id, isFinal };
        copies.push(copy);
        await timers.sleep(COPY_MS);
        onCopy(copy, ruledOut);
        return { continuation: `${id}/handle`, hadEnded: false };
      },
    },
    timers,
    log,
  } as unknown as MigrationDependencies;
  const migration = new StreamMigration(parts, {
    request: 'r',
    service: 'engines',
    rank: 0,
    generation: { model: MODEL, adapter: 'a', promptTokens: 1, maxTokens: 1 },
    replica: leaving,
  });
  migration.start(timers.now() + SHUTDOWN_MS);
  return { timers, migration, copies, versions };
}

test('a run is copied while it goes on, and then stopped for the rest', async (t) => {
  const { timers, migration, copies } = startMigration(['e1', 'e2'], () => undefined);
  await timers.advance(SHUTDOWN_MS);
  t.deepEqual(copies, [
    { to: 'e1', isFinal: false },
    { to: 'e1', isFinal: true },
  ]);
  t.is((await migration.resultAfterCut())?.continuation, 'e1/handle');
});

// Guards against a run that is stopped for an engine that takes nothing any more: its stream would be lost.
test('a run is not stopped for an engine that takes no requests since its first copy', async (t) => {
  const { timers, migration, copies } = startMigration(['e1', 'e2'], ({ to }, ruledOut) => {
    if (to === 'e1') ruledOut.add(to);
  });
  await timers.advance(SHUTDOWN_MS);
  t.deepEqual(copies, [
    { to: 'e1', isFinal: false },
    { to: 'e2', isFinal: false },
    { to: 'e2', isFinal: true },
  ]);
  t.is((await migration.resultAfterCut())?.continuation, 'e2/handle');
});

test('a run that no engine takes is not stopped', async (t) => {
  const { timers, migration, copies } = startMigration(['e1'], ({ to }, ruledOut) => ruledOut.add(to));
  await timers.advance(SHUTDOWN_MS);
  t.deepEqual(copies, [{ to: 'e1', isFinal: false }]);
  t.is(await migration.resultAfterCut(), undefined);
});

// Guards against the state of a run on an engine whose software does not understand it.
test('a run moves to an engine of its own software version only', async (t) => {
  const { timers, versions } = startMigration(['e1'], () => undefined, {
    ...engineEntry('leaving'),
    softwareVersion: 'v1.1',
  });
  await timers.advance(SHUTDOWN_MS);
  t.deepEqual([...new Set(versions)], ['v1.1']);
});

test('a run whose software version is not known is not moved', async (t) => {
  const { timers, migration, copies } = startMigration(['e1'], () => undefined, {
    ...engineEntry('leaving'),
    softwareVersion: undefined,
  });
  await timers.advance(SHUTDOWN_MS);
  t.deepEqual(copies, []);
  t.is(await migration.resultAfterCut(), undefined);
});
