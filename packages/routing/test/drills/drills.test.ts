/** The store comes back from a copy of itself: what was acknowledged stays in force, and what follows comes into force. */
import { RecordKind, ReplicaState } from '@celeryyoke/routing';
import test from 'ava';

import { DrillRun } from './drill-fleet.js';

const DAEMONS = 8;
/** Time in which what follows a drill is observed, in milliseconds. */
const AFTER_MS = 9000;
/** Time within which the store has back what replicas write again, in milliseconds. */
const REWRITE_MS = 1500;

async function start(daemons = DAEMONS): Promise<DrillRun> {
  const run = new DrillRun();
  await run.settle(daemons);
  run.writeReplica('leaver');
  run.writeReplica('leaver2');
  await run.run(2500);
  return run;
}

/** What operators and replicas do after a drill: two configurations, a replica that leaves, one that joins. */
async function goOn(run: DrillRun): Promise<void> {
  await run.run(1000);
  run.writeConfig();
  run.writeReplica('leaver', ReplicaState.Leaving);
  await run.run(1200);
  run.writeConfig();
  run.writeReplica('joiner');
  await run.run(600);
  run.removeReplica('leaver');
  await run.run(AFTER_MS);
}

/** A way in which changes are lost and written again. */
interface Play {
  readonly prepare?: (run: DrillRun) => Promise<void> | void;
  readonly act: (run: DrillRun) => Promise<void>;
}

async function loseMany(run: DrillRun): Promise<void> {
  run.writeConfig();
  run.writeHeartbeats(60);
  await run.run(1000);
}

/** A drill in which the changes of a while are lost and written again. */
function drillAndRewrite(lost: number, rewriteMs = 0, awayMs = 500): (run: DrillRun) => Promise<void> {
  return async (run) => {
    const changes = await run.drill(lost, awayMs);
    await run.run(rewriteMs);
    run.rewrite(changes);
  };
}

const PLAYS: Readonly<Record<string, Play>> = {
  'few lost, written again at once': { act: drillAndRewrite(2) },
  'many lost, written again at once': { prepare: loseMany, act: drillAndRewrite(61) },
  'many lost, written again later': { prepare: loseMany, act: drillAndRewrite(61, REWRITE_MS) },
  'away for three seconds': { prepare: loseMany, act: drillAndRewrite(61, REWRITE_MS, 3000) },
  'two drills in a row': {
    prepare: loseMany,
    act: async (run) => {
      await drillAndRewrite(40, 300)(run);
      await run.run(700);
      await drillAndRewrite(30, 300)(run);
    },
  },
  'two drills without a read in between': {
    prepare: loseMany,
    act: async (run) => {
      const first = await run.drill(30);
      const second = await run.drill(30, 0);
      run.rewrite([...second, ...first]);
    },
  },
  'lost before anybody has read it': {
    act: async (run) => {
      run.writeConfig();
      run.writeReplica('leaver2', ReplicaState.Leaving);
      await drillAndRewrite(2, REWRITE_MS)(run);
    },
  },
  'more is written than was lost, in the same order': {
    act: async (run) => {
      run.writeConfig();
      run.writeReplica('leaver2', ReplicaState.Leaving);
      const lost = await run.drill(2, 500);
      run.rewrite(lost);
      run.writeHeartbeats(6);
    },
  },
  'more is written than was lost, new changes first': {
    prepare: async (run) => {
      run.writeHeartbeats(4);
      await run.run(1000);
    },
    act: async (run) => {
      const lost = await run.drill(4, 500);
      run.writeConfig();
      run.writeReplica('leaver2', ReplicaState.Leaving);
      run.writeReplica('early');
      run.rewrite(lost);
      run.writeHeartbeats(4);
    },
  },
  'a replica joined, one left and one is leaving in the lost seconds': {
    prepare: async (run) => {
      run.writeReplica('late');
      run.removeReplica('leaver2');
      run.writeReplica('leaver', ReplicaState.Leaving);
      await run.run(1000);
    },
    act: async (run) => {
      const lost = await run.drill(3);
      await run.run(REWRITE_MS);
      if (!run.isReady(0, 'late')) run.violations.add('the replica that joined is not used');
      run.rewrite(lost);
    },
  },
  'the daemon that reads ends as the store returns': {
    prepare: loseMany,
    act: async (run) => {
      const lost = await run.drill(61);
      run.kill(0);
      run.rewrite(lost);
      await run.run(800);
      await run.fleet.start(0);
    },
  },
  'a daemon starts as the store returns': {
    prepare: async (run) => {
      run.kill(5);
      await loseMany(run);
    },
    act: async (run) => {
      const lost = await run.drill(61);
      await run.fleet.start(5);
      await run.run(REWRITE_MS);
      run.rewrite(lost);
    },
  },
  'a daemon thaws after the drill': {
    prepare: async (run) => {
      run.fleet.network.freeze(run.fleet.addressOf(0));
      await loseMany(run);
    },
    act: async (run) => {
      await drillAndRewrite(61, 300)(run);
      await run.run(1500);
      run.fleet.network.thaw(run.fleet.addressOf(0));
      run.disturbed(0);
    },
  },
  'the daemon that reads can’t reach the store any more': {
    prepare: loseMany,
    act: async (run) => {
      run.store.unreachable.add(run.fleet.addressOf(0));
      await drillAndRewrite(61)(run);
    },
  },
  'only the last daemon reaches the store': {
    prepare: loseMany,
    act: async (run) => {
      for (let index = 0; index < DAEMONS - 1; index += 1)
        run.store.unreachable.add(run.fleet.addressOf(index));
      await drillAndRewrite(61)(run);
    },
  },
  'responses of before the drill arrive after it': {
    prepare: loseMany,
    act: async (run) => {
      run.store.delays.set(run.fleet.addressOf(0), 350);
      run.store.delays.set(run.fleet.addressOf(1), 700);
      await drillAndRewrite(61, REWRITE_MS)(run);
    },
  },
  'half of the daemons are cut off from the others': {
    prepare: loseMany,
    act: async (run) => {
      const names = Array.from({ length: DAEMONS }, (_, index) => run.fleet.addressOf(index));
      run.fleet.network.partition(names.slice(0, 4), names.slice(4));
      await drillAndRewrite(61, 300)(run);
      await run.run(2500);
      run.fleet.network.heal();
      for (let index = 0; index < DAEMONS; index += 1) run.disturbed(index);
    },
  },
  'a daemon that starts reads the copy before any other reads it': {
    prepare: async (run) => {
      run.kill(0);
      await loseMany(run);
    },
    act: async (run) => {
      for (let index = 1; index < DAEMONS; index += 1) run.store.unreachable.add(run.fleet.addressOf(index));
      const lost = await run.drill(61);
      await run.fleet.start(0);
      await run.run(2000);
      run.store.unreachable.clear();
      if (run.versionAt(0) !== run.versionAt(1)) run.violations.add('the fleet has two configurations');
      run.rewrite(lost);
    },
  },
  'all daemons start again between the loss and the rewriting': {
    prepare: loseMany,
    act: async (run) => {
      const lost = await run.drill(61);
      for (let index = 0; index < DAEMONS; index += 1) run.kill(index);
      await run.run(400);
      for (let index = 0; index < DAEMONS; index += 1) await run.fleet.start(index);
      await run.run(REWRITE_MS);
      run.rewrite(lost);
    },
  },
  'configurations in quick succession': {
    prepare: loseMany,
    act: async (run) => {
      const lost = await run.drill(61);
      for (let count = 0; count < 5; count += 1) {
        run.writeConfig();
        await run.run(120);
      }
      run.rewrite(lost.filter(({ key }) => key !== 'config'));
    },
  },
  'the store is slow after the drill': {
    prepare: loseMany,
    act: async (run) => {
      for (let index = 0; index < DAEMONS; index += 1) run.store.delays.set(run.fleet.addressOf(index), 300);
      await drillAndRewrite(61, 300)(run);
    },
  },
  'the replicas of a service are replaced meanwhile': {
    prepare: loseMany,
    act: async (run) => {
      const lost = await run.drill(61);
      run.writeReplica('new-1');
      await run.run(300);
      run.writeReplica('r0', ReplicaState.Leaving);
      run.rewrite(lost.filter(({ key }) => key !== 'r/r0'));
      await run.run(600);
      run.removeReplica('r0');
    },
  },
};

for (const [name, { prepare, act }] of Object.entries(PLAYS))
  // Guards against revisions of one era of the store being taken for those of another.
  test(`what follows a drill is in force in time: ${name}`, async (t) => {
    const run = await start();
    t.teardown(() => run.stop());
    await prepare?.(run);
    await act(run);
    await goOn(run);
    t.log([...run.violations].slice(0, 6), run.store.calls);
    t.is(run.violations.size, 0);
  });

// Guards against each reader asking again and again for a history that the store doesn't have.
for (const daemons of [8, 78])
  test(`${daemons} daemons read the store again a few times after a drill`, async (t) => {
    const run = await start(daemons);
    t.teardown(() => run.stop());
    await loseMany(run);
    const before = { ...run.store.calls };
    const lost = await run.drill(61, 1400);
    await run.run(REWRITE_MS);
    run.rewrite(lost);
    await run.run(3000);
    const { list, historyLost } = run.store.calls;
    t.log(run.store.calls, before);
    t.true(list - before.list <= 4);
    t.true(
      historyLost - before.historyLost <= daemons,
      `${historyLost - before.historyLost} refused watches`,
    );
  });

// Guards against a replica that joined in the lost seconds and never came back being used for ever.
test('a replica that is not written again within seconds of a drill is gone', async (t) => {
  const run = await start();
  t.teardown(() => run.stop());
  run.writeReplica('lost');
  await run.run(1000);
  await run.drill(1);
  await run.run(1500);
  t.true(run.isReady(1, 'lost'));
  await run.run(4000);
  for (let index = 0; index < DAEMONS; index += 1) t.false(run.isReady(index, 'lost'));
});

// Guards against a configuration that is written again with other contents counting as the one that was lost.
test('a configuration that is written again with other contents is in force', async (t) => {
  const run = await start();
  t.teardown(() => run.stop());
  run.writeConfig();
  await run.run(1000);
  const [lost] = await run.drill(1);
  const { record } = lost!;
  if (record?.kind !== RecordKind.Document) throw new Error('not a configuration');
  const { routes, ...rest } = record.document;
  run.store.write(lost!.key, { ...record, document: { ...rest, routes: routes.slice(1) } });
  await run.run(2000);
  for (let index = 0; index < DAEMONS; index += 1) t.is(run.routeCountAt(index), routes.length - 1);
});

// Guards against a change of the order that a store without eras never makes.
test('a store that names no era has one sequence', async (t) => {
  const run = new DrillRun();
  run.store.namesEpoch = false;
  t.teardown(() => run.stop());
  await run.settle(DAEMONS);
  run.writeReplica('leaver');
  await goOn(run);
  t.deepEqual([...run.violations], []);
});
