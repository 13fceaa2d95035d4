/** When a daemon counts as cut off from the replicas of a service, and when no more. */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, createSilentLog, ListenerState } from '@celeryyoke/core';
import test from 'ava';

import { CutCause, CutOffTable, MemberState, PathMonitor, ReplicaHealth } from '../src/index.js';
import { engineEntry } from './fakes.js';

const SERVICE = 'engines';
/** Time in which a cut must have been found, in milliseconds: callers have others to go to after that. */
const DETECTION_MS = 1200;

/** A daemon before some replicas, each of which can be reached or not. */
class PathSite {
  readonly timers: ManualTimerService = createManualTimers();

  readonly health = new ReplicaHealth(this.timers);

  readonly unreachable = new Set<string>();

  readonly published: boolean[] = [];

  readonly cuts: string[] = [];

  /** Replicas whose idle connections were closed. */
  readonly retired = new Set<string>();

  probes = 0;

  readonly monitor: PathMonitor;

  private readonly ids: readonly string[];

  constructor(replicas: number) {
    this.ids = Array.from({ length: replicas }, (_, index) => `e${index}`);
    const entries = this.ids.map((id) => ({ ...engineEntry(id), service: SERVICE }));
    const options = {
      registry: {
        replica: (id: string) => entries.find((entry) => entry.id === id),
        readyReplicas: () => entries,
        onReplica: () => undefined,
      },
      health: this.health,
      table: { setOwn: (_service: string, isCutOff: boolean) => this.published.push(isCutOff) },
      probe: async ({ id }: { id: string }, timeoutMs: number, holdMs: number) => {
        this.probes += 1;
        await this.timers.sleep(this.unreachable.has(id) ? timeoutMs : holdMs);
        return this.unreachable.has(id) ? ListenerState.Unknown : ListenerState.Listening;
      },
      closeIdle: (id: string) => this.retired.add(id),
      timers: this.timers,
      log: createSilentLog(),
      random: () => 0.5,
    };
    this.monitor = new PathMonitor(options);
    this.monitor.onCut((service) => this.cuts.push(service));
  }

  cutAll(): void {
    for (const id of this.ids) this.unreachable.add(id);
  }

  /** Sends a request to a replica that does not respond yet. */
  send(...ids: string[]): void {
    for (const id of ids) this.health.recordSent(id);
  }

  get cause(): CutCause | undefined {
    return this.monitor.causeOf(SERVICE);
  }
}

// Guards against a host that goes on alone although none of its new connections is established.
test('a daemon whose connections to all replicas fail is cut off, and says so, until some are established again', async (t) => {
  const site = new PathSite(6);
  site.cutAll();
  site.monitor.recordTrouble('e0');
  await site.timers.advance(500);
  t.is(site.cause, CutCause.NoConnection);
  t.deepEqual(site.cuts, [SERVICE]);
  t.deepEqual(site.published, [true]);
  await site.timers.advance(5000);
  t.is(site.cause, CutCause.NoConnection);
  site.unreachable.clear();
  await site.timers.advance(1000);
  t.is(site.cause, undefined);
  t.deepEqual(site.published, [true, false]);
});

// Guards against a daemon that ends with an error because a probe settles after its parts have stopped.
test('a check in progress changes nothing once the monitor has stopped', async (t) => {
  const site = new PathSite(6);
  site.cutAll();
  site.monitor.recordTrouble('e0');
  await site.timers.advance(200);
  site.monitor.stop();
  await site.timers.advance(1000);
  t.deepEqual(site.cuts, []);
  t.deepEqual(site.published, []);
});

// Guards against kept connections that hang: nothing fails, and nothing comes.
test('a replica that does not respond for a while is probed, and a cut is found without a failed connection', async (t) => {
  const site = new PathSite(6);
  site.cutAll();
  site.send('e0');
  await site.timers.advance(DETECTION_MS);
  t.is(site.cause, CutCause.NoConnection);
});

// Guards against kept connections that are dead for good while new ones work: each request would find the next one.
test('idle connections are closed when those in use are silent, and only then', async (t) => {
  const site = new PathSite(3);
  site.send('e0');
  await site.timers.advance(600);
  t.deepEqual([...site.retired], []);
  await site.timers.advance(600);
  t.deepEqual([...site.retired], ['e0']);
  t.is(site.cause, undefined);
});

// Guards against hosts that hand their work to others for a replica that is silent for a second, or gone.
test('one replica that is silent, gone or crashed cuts nothing off', async (t) => {
  for (const isReachable of [true, false]) {
    const site = new PathSite(6);
    if (!isReachable) site.unreachable.add('e0');
    site.send('e0');
    site.monitor.recordTrouble('e0');
    await site.timers.advance(3000);
    t.is(site.cause, undefined);
  }
});

test('half of the replicas gone cut nothing off, whichever is probed first', async (t) => {
  const site = new PathSite(8);
  for (const id of ['e0', 'e1', 'e2', 'e3']) site.unreachable.add(id);
  for (const id of ['e0', 'e1', 'e2', 'e3']) {
    site.monitor.recordTrouble(id);
    await site.timers.advance(1000);
  }
  t.deepEqual(site.cuts, []);
});

// Guards against paths that accept connections and carry nothing.
test('replicas that accept connections and all stop responding cut a daemon off, until one responds', async (t) => {
  const site = new PathSite(6);
  site.send('e0', 'e1', 'e2');
  await site.timers.advance(DETECTION_MS);
  t.is(site.cause, CutCause.Silence);
  t.false(site.monitor.takeTrial(SERVICE, true));
  await site.timers.advance(1000);
  t.true(site.monitor.takeTrial(SERVICE, true));
  t.false(site.monitor.takeTrial(SERVICE, true));
  t.is(site.cause, CutCause.Silence);
  site.monitor.recordResponse('e4');
  t.is(site.cause, undefined);
});

// Guards against a cut that is found late because requests keep going to further replicas.
test('replicas that fall silent one after the other cut a daemon off as soon as several have been silent', async (t) => {
  const site = new PathSite(20);
  for (let passed = 0; passed < DETECTION_MS; passed += 100) {
    site.send(`e${passed / 100}`);
    await site.timers.advance(100);
  }
  t.is(site.cause, CutCause.Silence);
});

// Guards against a cut that is seen in slow prefills while streams go on.
test('streams that go on show that a daemon is not cut off', async (t) => {
  const site = new PathSite(6);
  site.send('e0', 'e1', 'e2');
  for (let passed = 0; passed < 3000; passed += 200) {
    await site.timers.advance(200);
    site.monitor.recordBytes(SERVICE);
  }
  t.is(site.cause, undefined);
});

test('requests that wait at several replicas cut nothing off while another one responds', async (t) => {
  const site = new PathSite(6);
  site.send('e0', 'e1', 'e2');
  for (let passed = 0; passed < 3000; passed += 200) {
    await site.timers.advance(200);
    site.monitor.recordResponse('e5');
  }
  t.is(site.cause, undefined);
});

// Guards against probes that cost replicas connections all the time.
test('probes are few while replicas are slow, and while a service is cut off', async (t) => {
  const slow = new PathSite(6);
  slow.send('e0');
  for (let passed = 0; passed < 10_000; passed += 100) {
    slow.monitor.recordResponse('e5');
    await slow.timers.advance(100);
  }
  t.true(slow.probes <= 40);
  const cut = new PathSite(6);
  cut.cutAll();
  cut.monitor.recordTrouble('e0');
  await cut.timers.advance(10_000);
  t.true(cut.probes <= 40);
});

interface Row {
  readonly address: string;
  readonly version: number;
  readonly services: readonly string[];
}

interface RowTopic {
  readonly merge: (row: Row) => boolean;
  readonly snapshot: () => readonly Row[];
}

test('a daemon that was restarted reaches all replicas again for its peers', (t) => {
  const registered: RowTopic[] = [];
  const listeners: ((record: unknown, before: unknown) => void)[] = [];
  const table = new CutOffTable({
    self: 'a:1',
    timers: createManualTimers(),
    cluster: { onMemberChange: (listener: (typeof listeners)[number]) => listeners.push(listener) },
    tree: {
      register: (_topic: unknown, topic: RowTopic) => registered.push(topic),
      publish: () => undefined,
    },
  } as never);
  const [topic] = registered;
  const row = { address: 'b:1', version: 5, services: [SERVICE] };
  t.true(topic!.merge(row));
  t.false(topic!.merge({ ...row, version: 4, services: [] }));
  t.true(table.isCutOff('b:1', SERVICE));
  t.false(table.isCutOff('b:1', 'web'));
  t.is(topic!.snapshot().length, 1);
  const record = { address: 'b:1', state: MemberState.Alive, incarnation: 2 };
  for (const listener of listeners) listener(record, { ...record, incarnation: 1 });
  t.false(table.isCutOff('b:1', SERVICE));
});
