/** One configuration everywhere, with service and peers failing; each test shows the failure without peers too. */
import { deflateRawSync } from 'node:zlib';

import type { PackedSite, RootDocument, SectionDigests } from '@celeryyoke/configuration';
import { canonicalJson, digestOfSections, packSite, rootKey, unpackSite } from '@celeryyoke/configuration';
import type { ExecutionContext } from 'ava';
import test from 'ava';

import { DEFAULT_DISTRIBUTION_SETTINGS } from '../src/index.js';
import { PeerBook } from '../src/core/distribution/peer-book.js';
import { ConfigFleet, badSet, refusalsOf, siteOf, View } from './support/config-fleet.js';

const SEVEN = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6', 'entry-7'];

/** Time within which a change must be in force everywhere. */
const BOUND_MS = 11_000;

const FIRST = packSite(siteOf(['alpha']), 1);
const SECOND = packSite(siteOf(['alpha', 'beta']), 2);
const THIRD = packSite(siteOf(['alpha', 'beta', 'gamma']), 3);

function all(revision: number): number[] {
  return SEVEN.map(() => revision);
}

function isForward(history: readonly number[]): boolean {
  return history.every((revision, index) => index === 0 || revision > history[index - 1]!);
}

/** The daemon that reads a part for the others, as any daemon computes it. */
function readerOf(self: string, part: string): string {
  const livePeers = () => SEVEN.filter((name) => name !== self);
  const book = new PeerBook({ settings: DEFAULT_DISTRIBUTION_SETTINGS, now: () => 0, livePeers, self });
  return book.readerOf(part);
}

async function withFleet(
  t: ExecutionContext,
  names: readonly string[],
  use: (fleet: ConfigFleet) => Promise<void>,
): Promise<void> {
  const fleet = new ConfigFleet(names);
  await use(fleet);
  for (const { name, history } of fleet.daemons) t.true(isForward(history), `${name} went back: ${history}`);
  await fleet.stop();
}

/** Starts seven daemons at the first revision. */
async function started(fleet: ConfigFleet): Promise<void> {
  fleet.service.publish(FIRST);
  fleet.joinAll();
  await fleet.timers.advance(BOUND_MS);
}

test('a new revision is in force everywhere, and the service is read once for each part', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    t.deepEqual(fleet.revisions(), all(1));
    fleet.service.resetCounts();
    fleet.service.publish(SECOND);
    await fleet.timers.advance(1000);
    t.deepEqual(fleet.revisions(), all(2));
    const moved = [...SECOND.parts.keys()].filter((digest) => !FIRST.parts.has(digest));
    t.is(fleet.service.reads, moved.length);
    const [first] = fleet.daemons;
    t.is(first!.distribution.status().peers.length, 6);
    t.is(first!.distribution.status().digest, SECOND.digest);
  });
  await withFleet(t, SEVEN, async (fleet) => {
    for (const name of SEVEN) fleet.isolate(name);
    await started(fleet);
    t.true(fleet.service.reads >= SEVEN.length, 'without peers every daemon reads every part');
  });
});

test('one daemon that reaches the service is enough', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.show(View.Down, ...SEVEN.slice(1));
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(2));
  });
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    for (const name of SEVEN) fleet.isolate(name);
    fleet.service.show(View.Down, ...SEVEN.slice(1));
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), [2, 1, 1, 1, 1, 1, 1], 'without peers the others stay behind');
  });
});

test('a reader to whom the service is stale follows its peers', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.show(View.Stale, 'entry-3');
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(2));
  });
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.isolate('entry-3');
    fleet.service.show(View.Stale, 'entry-3');
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.is(fleet.revisions()[2], 1, 'without peers it stays behind');
    fleet.net.unblockDirection();
    await fleet.timers.advance(BOUND_MS);
    t.is(fleet.revisions()[2], 2);
  });
});

test('a service that goes backwards takes nobody back, and a new process asks its peers first', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    fleet.service.publish(SECOND);
    for (const name of SEVEN.slice(1)) fleet.join(name);
    await fleet.timers.advance(BOUND_MS);
    fleet.service.publish(FIRST);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(new Set(fleet.revisions()), new Set([2]));
    t.regex(refusalsOf(fleet.daemons[0]!).join(), /revision 1 from service: it is older than revision 2/);
    const joiner = fleet.join('entry-1');
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(joiner.history, [2]);
  });
  await withFleet(t, SEVEN, async (fleet) => {
    fleet.service.publish(SECOND);
    for (const name of SEVEN.slice(1)) fleet.join(name);
    await fleet.timers.advance(BOUND_MS);
    fleet.service.publish(FIRST);
    fleet.isolate('entry-1');
    const joiner = fleet.join('entry-1');
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(joiner.history, [1], 'without peers it believes the service');
    fleet.net.unblockDirection();
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(joiner.history, [1, 2]);
  });
});

test('a bad set is refused once with its place, and its revision does not block a later good one', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.publish(badSet(1_000_000));
    await fleet.timers.advance(60_000);
    t.deepEqual(fleet.revisions(), all(1));
    for (const daemon of fleet.daemons) {
      const refused = refusalsOf(daemon);
      t.is(refused.length, 1, refused.join('\n'));
      t.regex(refused[0]!, /revision 1000000 from service: engines\.e1\.model: base model "absent"/);
    }
    fleet.service.publishRoot(rootKey('test'), '{"schema":1,"site":');
    await fleet.timers.advance(BOUND_MS);
    t.regex(refusalsOf(fleet.daemons[0]!)[1]!, /a root document from service: root: is not valid JSON/);
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(2));
  });
});

test('of two revisions in quick order the newer stays, also when parts of the older never come', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.publish(SECOND, (key) => key.includes('/parts/'));
    await fleet.timers.advance(10);
    fleet.service.publish(THIRD);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(3));
  });
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.publish(SECOND, (key) => key.includes('/parts/'));
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(1), 'a set that is not whole is not in force');
    t.regex(refusalsOf(fleet.daemons[0]!).join(), /part [0-9a-f]{32} can't be had; still trying/);
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(2));
  });
});

test('a cold start without the service takes the set of any peer, and waits when nobody has one', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    fleet.service.publish(FIRST);
    fleet.join('entry-1');
    await fleet.timers.advance(BOUND_MS);
    fleet.service.show(View.Down, ...SEVEN);
    for (const name of SEVEN.slice(1)) fleet.join(name);
    await fleet.timers.advance(1000);
    t.deepEqual(fleet.revisions(), all(1));
  });
  await withFleet(t, SEVEN, async (fleet) => {
    fleet.service.publish(FIRST);
    fleet.service.show(View.Down, ...SEVEN);
    fleet.joinAll();
    await fleet.timers.advance(60_000);
    t.deepEqual(new Set(fleet.revisions()), new Set([undefined]));
    fleet.service.show(View.Up, 'entry-5');
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(1));
  });
});

test('a process that does not know the hosts yet waits for the list before it trusts the service', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    fleet.service.publish(SECOND);
    for (const name of SEVEN.slice(1)) fleet.join(name);
    await fleet.timers.advance(BOUND_MS);
    fleet.service.publish(FIRST);
    fleet.isolate('entry-1');
    const joiner = fleet.join('entry-1', { hosts: [], ageMs: Infinity });
    await fleet.timers.advance(1000);
    t.deepEqual(joiner.history, []);
    fleet.net.unblockDirection();
    joiner.membership.setAge(0);
    joiner.membership.setHosts(SEVEN);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(joiner.history, [2]);
  });
});

test('a part that two daemons want before its reader has heard of it is read once', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    const moved = [...SECOND.parts.keys()].filter((digest) => !FIRST.parts.has(digest));
    const readers = new Set(moved.map((digest) => readerOf(fleet.daemons[0]!.name, digest)));
    for (const name of readers) fleet.service.freezeRoot(name);
    fleet.service.resetCounts();
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(2));
    t.is(fleet.service.reads, moved.length);
  });
});

test('a peer whose documents do not have their digests is not believed', async (t) => {
  await withFleet(t, ['entry-1', 'entry-2', 'liar'], async (fleet) => {
    const liar = fleet.net.join({ name: 'liar' });
    const forged = { revision: 9, digest: 'f'.repeat(32), since: 0, schema: 1 };
    liar.addHeartbeatSection({ name: 'configuration', collect: () => forged, merge: () => undefined });
    const answer = async () => ({ bytes: deflateRawSync(SECOND.root) });
    const part = async () => ({ bytes: deflateRawSync('{"items":[],"schema":1,"section":"adapters"} ') });
    liar.handle({ name: 'configuration.root', parse: (raw) => raw }, answer);
    liar.handle({ name: 'configuration.part', parse: (raw) => raw }, part);
    fleet.service.publish(FIRST);
    fleet.join('entry-1');
    fleet.join('entry-2');
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), [1, 1]);
    t.regex(refusalsOf(fleet.daemons[0]!).join(), /revision 9 from peer liar: .* it is not believed/);
    fleet.service.publish(THIRD);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), [3, 3]);
  });
});

test('a set is held back while a peer can not read its schema, and taken when the last one can', async (t) => {
  await withFleet(t, ['entry-1', 'entry-2', 'older'], async (fleet) => {
    const older = fleet.net.join({ name: 'older' });
    let schema = 0;
    const collect = () => ({ revision: 0, digest: '', since: 0, schema });
    older.addHeartbeatSection({ name: 'configuration', collect, merge: () => undefined });
    fleet.join('entry-1');
    fleet.join('entry-2');
    await fleet.timers.advance(BOUND_MS);
    fleet.service.publish(FIRST);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), [undefined, undefined]);
    t.deepEqual(refusalsOf(fleet.daemons[0]!), [
      'revision 1 from service: root.schema: schema 1 is not known to older, which reads up to 0',
    ]);
    schema = 1;
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), [1, 1]);
    schema = 0;
    fleet.net.leave('older');
    fleet.service.publish(SECOND);
    await fleet.timers.advance(2 * BOUND_MS);
    t.deepEqual(fleet.revisions(), [2, 2], 'a peer that is gone holds nothing back');
  });
});

test('a set of a schema, or a site, that is not this one is refused alike everywhere', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.publishRoot(rootKey('test'), canonicalJson({ schema: 2, unknown: true }));
    await fleet.timers.advance(BOUND_MS);
    const other = packSite(siteOf(['alpha'], { site: 'other' }), 5);
    fleet.service.publishRoot(rootKey('test'), other.root);
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(1));
    const verdicts = new Set(fleet.daemons.map((daemon) => refusalsOf(daemon).join('\n')));
    t.is(verdicts.size, 1);
    t.regex(
      [...verdicts][0]!,
      /root\.schema: schema 2 is not known to this release[\s\S]*root\.site: is "other"/,
    );
  });
});

test('other contents under the revision in force are refused and reported', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.service.publish(packSite(siteOf(['other']), 1));
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.revisions(), all(1));
    t.is(fleet.daemons[0]!.holder.require().digest, FIRST.digest);
    t.regex(refusalsOf(fleet.daemons[0]!).join(), /it has other contents than revision 1/);
  });
});

test('a service that answers every watch at once is not asked in a loop', async (t) => {
  await withFleet(t, ['entry-1'], async (fleet) => {
    fleet.service.publish(FIRST);
    fleet.join('entry-1');
    await fleet.timers.advance(1000);
    fleet.timers.repeat(20, () => fleet.service.publish(FIRST));
    fleet.service.resetCounts();
    await fleet.timers.advance(60_000);
    t.true(fleet.service.watches < 60, `${fleet.service.watches} watches in a minute`);
  });
});

test('a process that was paused through two revisions goes on at the newest', async (t) => {
  await withFleet(t, SEVEN, async (fleet) => {
    await started(fleet);
    fleet.isolate('entry-2');
    fleet.service.show(View.Down, 'entry-2');
    fleet.service.publish(SECOND);
    await fleet.timers.advance(BOUND_MS);
    fleet.service.publish(THIRD);
    await fleet.timers.advance(BOUND_MS);
    t.is(fleet.revisions()[1], 1);
    fleet.net.unblockDirection();
    await fleet.timers.advance(BOUND_MS);
    t.deepEqual(fleet.daemons[1]!.history, [1, 3]);
  });
});

/** Changes the root of a set so that its own digest holds. */
function forgeRoot(packed: PackedSite, change: (sections: SectionDigests) => SectionDigests): string {
  const root = JSON.parse(packed.root) as RootDocument;
  const sections = change(root.sections);
  return canonicalJson({ ...root, sections, digest: digestOfSections(root.site, sections) });
}

test('part by part a daemon comes to the verdict that the whole set gets at once', async (t) => {
  const many = Array.from({ length: 3000 }, (_, index) => `adapter-${index}-${'x'.repeat(60)}`);
  const large = packSite(siteOf(many), 2);
  const lists = ['engines', 'callers', 'events', 'adapters'] as const;
  const changes = lists.flatMap((list): ((sections: SectionDigests) => SectionDigests)[] => [
    (sections) => sections,
    (sections) => ({ ...sections, [list]: [...sections[list], ...sections[list]] }),
    (sections) => ({ ...sections, [list]: [...sections[list]].reverse() }),
    (sections) => ({ ...sections, [list]: sections[list].slice(0, 1) }),
    (sections) => ({ ...sections, [list]: [] }),
    (sections) => ({ ...sections, [list]: sections.settings }),
  ]);
  const verdicts: boolean[] = [];
  for (const change of changes) {
    const root = forgeRoot(large, change);
    let expected = true;
    try {
      unpackSite(root, large.parts);
    } catch {
      expected = false;
    }
    await withFleet(t, ['entry-1'], async (fleet) => {
      // What is in force first leaves parts behind that the next set may use again.
      fleet.service.publish(packSite(siteOf(many), 1));
      fleet.join('entry-1');
      await fleet.timers.advance(1000);
      fleet.service.publishRoot(rootKey('test'), root);
      await fleet.timers.advance(BOUND_MS);
      t.is(fleet.revisions()[0], expected ? 2 : 1, root.slice(0, 300));
    });
    verdicts.push(expected);
  }
  t.true(verdicts.includes(true) && verdicts.includes(false));
});

test('of 400 daemons a few read a part for all, and none is asked by very many', (t) => {
  const names = Array.from({ length: 400 }, (_, index) => `entry-${index}`);
  const asked = new Map<string, number>();
  for (const self of names) {
    const livePeers = () => names.filter((name) => name !== self);
    const book = new PeerBook({ settings: DEFAULT_DISTRIBUTION_SETTINGS, now: () => 0, livePeers, self });
    const reader = book.readerOf('a part');
    asked.set(reader, (asked.get(reader) ?? 0) + 1);
  }
  t.log(`${asked.size} readers, at most ${Math.max(...asked.values())} askers each`);
  t.true(asked.size <= 13);
  t.true(Math.max(...asked.values()) <= 64);
});
