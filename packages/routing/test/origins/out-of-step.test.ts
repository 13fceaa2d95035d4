/** Streams that are taken up at a daemon that is out of step with its fleet while a release goes on. */
import test from 'ava';

import type { TestDaemon } from '../fleet/daemons.js';
import type { BegunStream } from './release-fleet.js';
import { ReleaseFleet, TakeUp } from './release-fleet.js';

const DAEMONS = 6;
const OLD_NAMES = ['a', 'b', 'c'];
/** Time for which a daemon is out of step, in milliseconds. */
const FAULT_MS = 6500;
/** Time before and after it in which streams begin as well, in milliseconds. */
const MARGIN_MS = 800;
const BEGIN_INTERVAL_MS = 150;
/** Time after which a stream breaks, in milliseconds. */
const BREAKS_AFTER_MS = 60;
/** Time by which everything that reaches a daemon is late, in milliseconds. */
const LATE_MS = 900;
/** Time for which a replica goes on after its entry was removed, in milliseconds. */
const DRAIN_MS = 2000;
/** Time between two replicas that restart, in milliseconds. */
const RESTART_INTERVAL_MS = 300;
/** Longest time until the entry of a replica that has restarted is in the store, in milliseconds. */
const LISTED_AFTER_MS = 250;
/** Time after which a daemon that is in touch again goes on with streams as the others do, in milliseconds. */
const IN_TOUCH_AFTER_MS = 3000;
/** Time that take-ups have to end, in milliseconds. */
const END_MS = 3000;
/** Time that a look-up takes, and owners that a daemon asks for a record that it owns itself. */
const LOOK_UP_MS = 20;
const OTHER_OWNERS = 2;
const TEST_TIMEOUT_MS = 1_800_000;
/** Plays the whole table in place of the cells that CI plays. */
const IS_WHOLE = process.env.CELERYYOKE_TABLE === 'whole';

const IN_STEP = 'in step';
const STOPPED = 'stopped';

type Fault = (release: ReleaseFleet, subject: TestDaemon) => void;

const peersOf = ({ watching }: ReleaseFleet, subject: TestDaemon): string[] =>
  watching.fleet
    .running()
    .map(({ address }) => address)
    .filter((address) => address !== subject.address);

const cutFromPeers: Fault = (release, subject) =>
  release.watching.fleet.network.partition([subject.address], peersOf(release, subject));
const cutFromStore: Fault = ({ watching }, { address }) => watching.store.unreachable.add(address);

/** How a daemon is out of step. */
const FAULTS: Readonly<Record<string, Fault>> = {
  [IN_STEP]: () => undefined,
  [STOPPED]: ({ watching }, { address }) => watching.fleet.network.freeze(address),
  'cut off from its peers': cutFromPeers,
  'cut off from the store': cutFromStore,
  'cut off from its peers and the store': (release, subject) => {
    cutFromPeers(release, subject);
    cutFromStore(release, subject);
  },
  'cut off from its peers but one, and both from the store': (release, subject) => {
    const [near, ...far] = peersOf(release, subject);
    release.watching.fleet.network.partition([subject.address, near!], far);
    for (const address of [subject.address, near!]) release.watching.store.unreachable.add(address);
  },
  'unheard by its peers': (release, subject) => {
    for (const peer of peersOf(release, subject)) release.watching.fleet.network.cut(subject.address, peer);
  },
  'deaf to its peers': (release, subject) => {
    for (const peer of peersOf(release, subject)) release.watching.fleet.network.cut(peer, subject.address);
  },
  'deaf to its peers and cut off from the store': (release, subject) => {
    for (const peer of peersOf(release, subject)) release.watching.fleet.network.cut(peer, subject.address);
    cutFromStore(release, subject);
  },
  late: ({ watching }, { address }) => watching.fleet.network.slow(address, LATE_MS),
};

const heal: Fault = ({ watching }, { address }) => {
  watching.fleet.network.heal();
  watching.fleet.network.thaw(address);
  watching.fleet.network.slow(address, 0);
  watching.store.unreachable.clear();
};

type Join = (release: ReleaseFleet) => void;

function restart(names: readonly string[], listedAfterMs: number): Join {
  return (release) => {
    for (const [index, name] of names.entries())
      release.timers.after(index * RESTART_INTERVAL_MS, () =>
        release.startReplica(name, 'v2', listedAfterMs),
      );
  };
}

/** How replicas of another version join. */
const JOINS: Readonly<Record<string, Join>> = {
  'beside the old ones': (release) => release.startReplica('d', 'v2'),
  'in place of the old ones': (release) => {
    for (const name of ['d', 'e']) release.startReplica(name, 'v2');
    for (const name of OLD_NAMES) release.removeReplica(name, DRAIN_MS);
  },
  'under an old id': restart(['b'], 0),
  'under old ids': restart(['b', 'c'], 0),
  'under all old ids': restart(OLD_NAMES, 0),
  'under old ids, listed late': restart(['b', 'c'], LISTED_AFTER_MS),
};

/** Time at which they join, from the time at which the daemon falls out of step, in milliseconds. */
const JOIN_AT: Readonly<Record<string, number>> = {
  before: -300,
  'at once': 100,
  soon: 400,
  'a moment later': 800,
  during: 1000,
  late: FAULT_MS - 400,
};

/** The cells that are played. */
const PLAYED = IS_WHOLE
  ? { joins: Object.keys(JOINS), joinAt: Object.keys(JOIN_AT), ranks: [0, 1, DAEMONS - 1] }
  : { joins: ['beside the old ones', 'under old ids, listed late'], joinAt: ['soon', 'during'], ranks: [1] };

/** When streams are taken up at the daemon. */
enum When {
  Meanwhile = 'meanwhile',
  Back = 'as it is back',
  Later = 'later',
}

/** Whose daemon owns the record of a stream. */
enum Owner {
  Itself = 'itself',
  Others = 'others',
}

/** A take-up, and how it ended. */
interface Ended {
  readonly stream: BegunStream;
  readonly owner: Owner;
  readonly when: When;
  readonly result: TakeUp;
  /** Whether a replica of its version runs. */
  readonly isPossible: boolean;
}

/** One cell of the table. */
interface Cell {
  readonly fault: string;
  readonly join: string;
  readonly joinAt: string;
  /** Of the daemon that is out of step, among the readers of the store. */
  readonly rank: number;
}

/** Plays one cell of the table. */
class Play {
  private readonly ended: Ended[] = [];

  private readonly release = new ReleaseFleet();

  private readonly begun: { stream: BegunStream; owner: Owner }[] = [];

  private readonly bodies = new Map<Owner, string>();

  private subject!: TestDaemon;

  async run({ fault, join, joinAt, rank }: Cell): Promise<readonly Ended[]> {
    const { release } = this;
    const { timers } = release;
    await release.start(DAEMONS, OLD_NAMES, 'v1');
    this.subject = release.watching.fleet.daemon(rank);
    await this.findBodies();
    const startAt = timers.now() + MARGIN_MS;
    timers.after(MARGIN_MS, () => FAULTS[fault]!(release, this.subject));
    timers.after(MARGIN_MS + JOIN_AT[joinAt]!, () => JOINS[join]!(release));
    while (timers.now() < startAt + FAULT_MS)
      await this.beginAll(fault !== STOPPED || timers.now() < startAt);
    heal(release, this.subject);
    this.takeUpAll(When.Back);
    await timers.advance(IN_TOUCH_AFTER_MS);
    this.takeUpAll(When.Later);
    await timers.advance(END_MS);
    release.stop();
    return this.ended;
  }

  private async findBodies(): Promise<void> {
    for (let index = 0; this.bodies.size < 2; index += 1) {
      const asked = this.release.ownersAsked(this.subject, `prompt ${index}`);
      await this.release.timers.advance(LOOK_UP_MS);
      this.bodies.set((await asked) === OTHER_OWNERS ? Owner.Itself : Owner.Others, `prompt ${index}`);
    }
  }

  /** Begins streams at each replica through another daemon. */
  private async beginAll(isTakenUp: boolean): Promise<void> {
    const { release, subject } = this;
    const others = release.watching.fleet.running().filter((daemon) => daemon !== subject);
    const via = others[this.begun.length % others.length]!;
    for (const replica of release.replicasOf(via))
      for (const [owner, body] of this.bodies) {
        const stream = release.begin(via, replica, body, BREAKS_AFTER_MS);
        if (stream === undefined) continue;
        this.begun.push({ stream, owner });
        if (isTakenUp)
          release.timers.after(BREAKS_AFTER_MS, () => {
            void this.takeUp(stream, owner, When.Meanwhile);
          });
      }
    await release.timers.advance(BEGIN_INTERVAL_MS);
  }

  private takeUpAll(when: When): void {
    for (const { stream, owner } of this.begun) void this.takeUp(stream, owner, when);
  }

  private async takeUp(stream: BegunStream, owner: Owner, when: When): Promise<void> {
    const result = await this.release.takeUp(this.subject, stream);
    this.ended.push({ stream, owner, when, result, isPossible: this.release.canContinue(stream) });
  }
}

const plays = new Map<string, Promise<readonly Ended[]>>();

/** Plays a cell, once for all tests. */
function play(cell: Cell): Promise<readonly Ended[]> {
  const key = JSON.stringify(cell);
  const played = plays.get(key) ?? new Play().run(cell);
  plays.set(key, played);
  return played;
}

/** Share of the take-ups that went on of those that can: faults change how many streams begin at which version. */
function continuedShare(ended: readonly Ended[], when: When, owner: Owner): number {
  const counted = ended.filter(
    (one) => one.when === when && one.owner === owner && one.isPossible && !one.stream.isMistaken,
  );
  return counted.filter(({ result }) => result === TakeUp.Continued).length / Math.max(1, counted.length);
}

function* cellsOf(fault: string): Generator<Cell, void, undefined> {
  for (const join of PLAYED.joins)
    for (const joinAt of PLAYED.joinAt) for (const rank of PLAYED.ranks) yield { fault, join, joinAt, rank };
}

/** Describes the joined streams of a cell, by when they were taken up and who owned their records. */
function joinedOf({ join, joinAt, rank }: Cell, ended: readonly Ended[], isMistaken: boolean): string[] {
  const joined = ended.filter(
    ({ result, stream }) => result === TakeUp.Joined && stream.isMistaken === isMistaken,
  );
  const kinds = joined.map(
    ({ when, owner }) => `${join}, ${joinAt}, rank ${rank}, ${when}, owned by ${owner}`,
  );
  return [...new Set(kinds)];
}

for (const fault of Object.keys(FAULTS)) {
  // Guards against a daemon that takes the versions that it knows for all that can have begun a stream.
  test(`no stream of two versions is made by a daemon that is ${fault} in a release`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const joined: string[] = [];
    for (const cell of cellsOf(fault)) joined.push(...joinedOf(cell, await play(cell), false));
    t.deepEqual(joined, []);
  });

  // Guards against refusals that go on when the daemon is in touch again.
  test(`streams go on again at a daemon that was ${fault} in a release`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS);
    const fewer: string[] = [];
    for (const cell of cellsOf(fault)) {
      const ended = await play(cell);
      const inStep = await play({ ...cell, fault: IN_STEP });
      for (const owner of Object.values(Owner)) {
        const share = continuedShare(ended, When.Later, owner);
        const expected = continuedShare(inStep, When.Later, owner);
        const { join, joinAt, rank } = cell;
        if (share < expected)
          fewer.push(`${join}, ${joinAt}, rank ${rank}, owned by ${owner}: ${share} of ${expected}`);
      }
    }
    t.deepEqual(fewer, []);
  });
}

// Guards against a stream whose version is taken from the entry of the process before.
test('no stream of two versions is made of one that a restarted replica began before its entry was known', async (t) => {
  t.timeout(TEST_TIMEOUT_MS);
  const joined: string[] = [];
  for (const cell of cellsOf(IN_STEP)) joined.push(...joinedOf(cell, await play(cell), true));
  t.deepEqual(joined, []);
});
