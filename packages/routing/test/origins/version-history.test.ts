/** When a daemon may conclude that all streams of a service began at one software version. */
import { VersionDoubt } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from '../fakes.js';
import { OriginFleet, RETENTION_MS, SERVICE } from './fleet.js';

function startFleet(...versions: readonly string[]) {
  const fleet = new OriginFleet();
  const daemon = fleet.start('a:1', true);
  for (const [index, version] of versions.entries()) fleet.list(`e${index}`, version);
  return { fleet, daemon };
}

test('replicas of one version leave no doubt, those of two and of three do', async (t) => {
  const { fleet, daemon } = startFleet('v1', 'v1');
  await fleet.timers.advance(1000);
  t.is(daemon.history.onlyVersion(SERVICE), 'v1');
  fleet.list('e2', 'v1.1');
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.NewVersion);
  await fleet.timers.advance(1500);
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.Several);
  fleet.list('e3', 'v1.2');
  t.is(daemon.history.onlyVersion(SERVICE), undefined);
});

// Guards against streams that go on elsewhere once the replicas of their version are gone, however long their callers wait.
test('a version counts for good after its last replica', async (t) => {
  const { fleet, daemon } = startFleet('v1', 'v2');
  fleet.remove('e0');
  await fleet.timers.advance(10 * RETENTION_MS);
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.Several);
  t.is(daemon.history.onlyVersion(SERVICE), undefined);
});

// Guards against a host that is cut off, or was frozen, and takes what it last saw for all there is.
test('a view that is old, or older than a pause, leaves doubt', async (t) => {
  const { fleet, daemon } = startFleet('v1');
  daemon.isCutOff = true;
  await fleet.timers.advance(2000);
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.StaleView);
  daemon.isCutOff = false;
  await fleet.timers.advance(300);
  t.is(daemon.history.onlyVersion(SERVICE), 'v1');
  daemon.resumedAt = fleet.timers.now() + 1;
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.StaleView);
  await fleet.timers.advance(300);
  t.is(daemon.history.onlyVersion(SERVICE), 'v1');
});

// Guards against a version that has appeared since the view was confirmed, and has begun the stream.
test('a recent view shows what began streams until it was confirmed, not later', async (t) => {
  const { fleet, daemon } = startFleet('v1');
  await fleet.timers.advance(300);
  const before = fleet.timers.now();
  const after = before - 100;
  t.is(daemon.history.onlyVersion(SERVICE), 'v1');
  t.is(daemon.history.doubtOf(SERVICE, { after, before }), VersionDoubt.EarlierView);
  t.is(daemon.history.onlyVersion(SERVICE, { after, before }), undefined);
  await fleet.timers.advance(300);
  t.is(daemon.history.onlyVersion(SERVICE, { after, before }), 'v1');
});

// Guards against a restart under the same id that keeps the version of the process before it.
test('a replica that has restarted has no version until its entry states one', async (t) => {
  const { fleet, daemon } = startFleet('v1');
  await fleet.timers.advance(300);
  const [listed] = [...daemon.registry.all()];
  daemon.registry.recordStart({ name: 'e0', bornAt: 2000 });
  t.is(daemon.registry.replica('e0#2000')?.softwareVersion, undefined);
  t.is(daemon.history.onlyVersion(SERVICE), undefined);
  t.deepEqual(daemon.history.establishedReplicas(SERVICE, [...daemon.registry.all()]), []);
  t.is(listed!.softwareVersion, 'v1');
  fleet.list('e0', 'v2');
  t.is(daemon.registry.replica('e0#2000')?.softwareVersion, 'v2');
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.NewVersion);
  await fleet.timers.advance(RETENTION_MS + 1000);
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.Several);
  t.is(daemon.history.establishedReplicas(SERVICE, [...daemon.registry.all()]).length, 1);
});

// Guards against a host that has just started and takes the versions of this moment for all that have served.
test('a daemon that starts later learns from a peer which versions have served', async (t) => {
  const { fleet } = startFleet('v1', 'v2');
  fleet.remove('e0');
  await fleet.timers.advance(1000);
  const late = fleet.start('b:1');
  t.is(late.history.doubtOf(SERVICE), VersionDoubt.NoHistory);
  await fleet.timers.advance(1000);
  t.is(late.history.doubtOf(SERVICE), VersionDoubt.Several);
  await fleet.timers.advance(RETENTION_MS);
  t.is(late.history.doubtOf(SERVICE), VersionDoubt.Several);
});

test('a daemon that starts later is as certain as its peers at once, and asks no more', async (t) => {
  const { fleet } = startFleet('v1');
  await fleet.timers.advance(1000);
  const late = fleet.start('b:1');
  await fleet.timers.advance(1000);
  t.is(late.history.onlyVersion(SERVICE), 'v1');
  const { messages } = fleet;
  await fleet.timers.advance(10_000);
  t.is(fleet.messages, messages);
});

// Guards against streams of before that are taken for those of the only version that a young fleet has seen.
test('a daemon that starts alone knows nothing of the versions before, however long it runs', async (t) => {
  const { fleet } = startFleet('v1');
  fleet.kill('a:1');
  const lone = fleet.start('b:1');
  await fleet.timers.advance(RETENTION_MS / 2);
  t.is(lone.history.doubtOf(SERVICE), VersionDoubt.NoHistory);
  await fleet.timers.advance(10 * RETENTION_MS);
  t.is(lone.history.doubtOf(SERVICE), VersionDoubt.NoHistory);
});

// Guards against versions that came and went while a host missed a part of the platform's history.
test('a gap in the history leaves doubt until a peer has told what was in it', async (t) => {
  const { fleet, daemon } = startFleet('v1');
  daemon.isCutOff = true;
  await fleet.timers.advance(5000);
  fleet.list('e1', 'v1');
  daemon.isCutOff = false;
  fleet.readAll(daemon);
  t.is(daemon.history.doubtOf(SERVICE), VersionDoubt.NoHistory);
  fleet.start('b:1', true);
  await fleet.timers.advance(1000);
  t.is(daemon.history.onlyVersion(SERVICE), 'v1');
});

test('streams begin at a new version when every recent view shows it', async (t) => {
  const { fleet, daemon } = startFleet('v1');
  await fleet.timers.advance(2000);
  fleet.list('e1', 'v2');
  const established = (): string[] =>
    daemon.history.establishedReplicas(SERVICE, [...daemon.registry.all()]).map(({ id }) => id);
  t.deepEqual(established(), ['e0']);
  await fleet.timers.advance(1500);
  t.deepEqual(established(), ['e0', 'e1']);
});

// Guards against a fleet that has ended whole and takes the version that it finds for the only one that has served.
test('the history of the store shows versions that have left, and nothing is concluded without it', async (t) => {
  const fleet = new OriginFleet();
  const [unsure, sure] = [fleet.start('a:1'), fleet.start('b:1', true)];
  fleet.list('e0', 'v2');
  fleet.kill('b:1');
  await fleet.timers.advance(1000);
  t.is(unsure.history.doubtOf(SERVICE), VersionDoubt.NoHistory);
  sure.history.stop();
  const told = fleet.start('c:1', [{ ...engineEntry('e1'), softwareVersion: 'v1' }]);
  await fleet.timers.advance(1000);
  t.is(told.history.doubtOf(SERVICE), VersionDoubt.Several);
  t.is(unsure.history.doubtOf(SERVICE), VersionDoubt.Several);
  await fleet.timers.advance(RETENTION_MS);
  t.is(told.history.doubtOf(SERVICE), VersionDoubt.Several);
});

// Guards against a stream whose caller has waited for longer than callers of its route do, after all daemons have ended.
test('a stream that seems to have begun in a fleet that records all, and is not recorded, leaves doubt', async (t) => {
  const fleet = new OriginFleet();
  fleet.start('a:1');
  fleet.list('e0', 'v1');
  const startedAt = fleet.timers.now();
  await fleet.timers.advance(RETENTION_MS);
  fleet.start('b:1');
  await fleet.timers.advance(1000);
  fleet.kill('a:1');
  fleet.start('c:1');
  await fleet.timers.advance(RETENTION_MS);
  const before = fleet.timers.now() - 1000;
  for (const { history } of fleet.daemons.values()) {
    t.is(history.doubtOf(SERVICE, { after: startedAt + 5000, before }), VersionDoubt.Unrecorded);
    t.is(history.doubtOf(SERVICE, { after: startedAt - 5000, before }), VersionDoubt.NoHistory);
  }
});

// Guards against a version that is forgotten where its last replica is removed between a peer's view and that of a new daemon.
test('a daemon that starts while a release ends learns the version that its peer still lists', async (t) => {
  const { fleet, daemon } = startFleet('v1', 'v2');
  await fleet.timers.advance(RETENTION_MS);
  daemon.isCutOff = true;
  fleet.remove('e0');
  const late = fleet.start('b:1');
  await fleet.timers.advance(1000);
  t.is(late.history.onlyVersion(SERVICE), undefined);
  daemon.isCutOff = false;
  await fleet.timers.advance(RETENTION_MS);
  t.is(late.history.doubtOf(SERVICE), VersionDoubt.Several);
});
