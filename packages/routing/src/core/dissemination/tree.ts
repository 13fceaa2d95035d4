/**
 * Keeps the state that all daemons share the same on all of them.
 *
 * Changes travel up a tree to its root, which sends them down to all daemons in batches. Rows carry versions, so one
 * that comes twice or late changes nothing. A daemon subscribes to its parent and takes another one when that parent
 * ends, falls silent or has no news of a root; both sides exchange their whole state then, so that nothing is missed.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster, Member, PeerChannel } from '../cluster/index.js';
import { MemberState, MessageType } from '../cluster/index.js';
import type { Delta, ReplicatedStore } from '../view/index.js';
import type { Batch, EncodedRows, Subscription, SubscriptionAnswer, ViewAge } from './batch.js';
import { decodeBatch, encodeBatch } from './batch.js';
import { BatchTimer } from './batch-timer.js';
import { ParentClock } from './parent-clock.js';
import { Subscribers } from './subscribers.js';
import { RowSet, TopicRegistry } from './topics.js';
import { chooseParent } from './topology.js';
import type { Topic, TopicHandler } from './types.js';
import { ViewFeed } from './view-feed.js';

/** How often a daemon looks at its place in the tree, in milliseconds. */
const REVIEW_MS = 100;
/** Time for which the root collects changes, in milliseconds. */
const ROOT_BATCH_MS = 100;
/** Time for which the others collect changes on their way up, in milliseconds. */
const UP_BATCH_MS = 30;
/** Time for which urgent changes are collected, in milliseconds. */
const URGENT_BATCH_MS = 2;
/** Longest time between two batches of the root, and between two signs of life of any parent, in milliseconds. */
const BEAT_MS = 300;
/** Time without a batch after which a parent counts as failed, in milliseconds. */
const SILENT_PARENT_MS = 1200;
/** Time without a batch of a root after which another parent is tried, in milliseconds. */
const LOST_ROOT_MS = 2500;
/** Time for which a parent that failed is not chosen again, in milliseconds. */
const EXCLUSION_MS = 4000;
/** Time for which a daemon stays where it is when the members say that its place is elsewhere, in milliseconds. */
const REBALANCE_MS = 5000;
/** The same for a root, as there should be one. */
const ROOT_REBALANCE_MS = 500;
/** Longest wait for the answer of a parent, in milliseconds. */
const SUBSCRIBE_TIMEOUT_MS = 1000;
/** Longest wait for the answer of a daemon that is asked for the age of its last batch, in milliseconds. */
const ROOT_AGE_TIMEOUT_MS = 250;
/** Age of the last batch of a root up to which that root is believed to work, in milliseconds. */
const FRESH_ROOT_MS = 800;

/** Interval in which a daemon asks its parent for its clock, in milliseconds. */
const CLOCK_MS = 2000;
/** Longest wait for that answer, in milliseconds. */
const CLOCK_TIMEOUT_MS = 1000;

/** Interval in which the root tells a digest of the members, in milliseconds. */
const DIGEST_MS = 2000;

/** Options of the tree. */
export interface DisseminationOptions {
  readonly self: string;
  readonly cluster: Pick<
    Cluster,
    | 'alive'
    | 'digest'
    | 'handle'
    | 'handlePush'
    | 'member'
    | 'onChannelClose'
    | 'onLinkEnd'
    | 'request'
    | 'send'
    | 'state'
  >;
  readonly view: ReplicatedStore;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Adapters that engines held of late, for daemons that have just subscribed. */
  readonly recent: () => SubscriptionAnswer['recent'];
  readonly takeRecent: (replica: string, keys: readonly string[]) => void;
}

/** This daemon's place in the tree. */
export class DisseminationTree {
  private readonly topics = new TopicRegistry();

  private readonly pending = new RowSet();

  private readonly subscriberList: Subscribers;

  private readonly viewFeed: ViewFeed;

  private readonly batchTimer: BatchTimer;

  /** Members that failed as a parent, and until when they are not chosen. */
  private readonly excludedUntil = new Map<string, number>();

  /** The daemon that this one subscribes to; undefined for a root, and while there is none. */
  private parent: string | undefined;

  private parentClock = new ParentClock();

  /** Monotonic time at which the parent was last asked for its clock. */
  private clockAskedAt = 0;

  private isRoot = false;

  private isSubscribed = false;

  /** Whether rows are merged that came from the parent: they need not go up again. */
  private isApplyingPush = false;

  private isSeekingRoot = false;

  /** Monotonic times of the parent's last batch, and of the last batch of a root. */
  private heardAt = 0;

  private rootHeardAt = 0;

  /** Batches that this daemon has sent as the root. */
  private beat = 0;

  /** Monotonic time of the last digest that this daemon told as the root. */
  private digestAt = 0;

  /** Digests of the root and of this daemon that differed when they were last compared. */
  private differingDigests: string | undefined;

  /** Monotonic time since which the members' list says that its place is elsewhere. */
  private misplacedSince: number | undefined;

  private reviewing: TimerHandle | undefined;

  /**
   * Makes a place that is not taken yet.
   * @param options - The members, the platform's view and time.
   */
  constructor(private readonly options: DisseminationOptions) {
    const { cluster, timers } = options;
    this.subscriberList = new Subscribers(timers);
    this.viewFeed = new ViewFeed(options);
    this.batchTimer = new BatchTimer(timers, () => this.sendBatch());
    cluster.handle(MessageType.Subscribe, (from, body: Subscription, channel) =>
      this.accept(from, body, channel),
    );
    cluster.handle(MessageType.Unsubscribe, (from) => this.subscriberList.remove(from.address));
    cluster.handle(MessageType.Update, (_from, body) => this.handleUpdate(decodeBatch(body)));
    cluster.handle(MessageType.Clock, () => timers.now());
    cluster.handle(MessageType.RootAge, () => Math.round(this.ageMs));
    cluster.handle(MessageType.ViewChanges, (_from, upTo: number) => options.view.deltaSince(upTo));
    cluster.handlePush((from, body) => this.handlePush(from, decodeBatch(body)));
    cluster.onLinkEnd((address) => this.handleLinkEnd(address));
    cluster.onChannelClose((channel) => this.subscriberList.removeChannel(channel));
  }

  /**
   * Registers a topic.
   * @param topic - The topic.
   * @param handler - Merges and writes its rows.
   */
  register<Row>(topic: Topic, handler: TopicHandler<Row>): void {
    this.topics.register(topic, handler);
  }

  /** Takes a place. */
  start(): void {
    this.review();
    this.reviewing = this.options.timers.repeat(REVIEW_MS, () => this.review());
  }

  /** Leaves the place. */
  stop(): void {
    this.reviewing?.cancel();
    this.batchTimer.cancel();
  }

  /** Age of the last batch of a root, in milliseconds; 0 for the root itself. */
  get ageMs(): number {
    return this.isRoot ? 0 : this.options.timers.now() - this.rootHeardAt;
  }

  /** Whether this daemon is the root, or has the whole state from its parent. */
  get isPlaced(): boolean {
    return this.isRoot || this.isSubscribed;
  }

  /** Daemons that subscribe to this one. */
  get subscribers(): number {
    return this.subscriberList.size;
  }

  /**
   * Publishes a row that this daemon has changed.
   * @param topic - Its topic.
   * @param row - The row.
   * @param isOwn - Whether it is said by this daemon itself, also while it merges what others say.
   */
  publish<Row>(topic: Topic, row: Row, isOwn = true): void {
    const handler = this.topics.get(topic);
    if (handler === undefined || (this.isApplyingPush && !isOwn)) return;
    this.enqueue(topic, handler.keyOf(row), row);
  }

  /**
   * Publishes what this daemon has read of the platform.
   * @param isNews - Whether it found changes.
   */
  publishView(isNews: boolean): void {
    if (!this.isRoot) this.passView();
    this.schedule(isNews ? URGENT_BATCH_MS : this.batchMs);
  }

  private get batchMs(): number {
    return this.isRoot ? ROOT_BATCH_MS : UP_BATCH_MS;
  }

  private enqueue(topic: Topic, key: string, row: unknown): void {
    this.pending.put(topic, key, row);
    this.schedule(this.topics.get(topic)?.isUrgent ? URGENT_BATCH_MS : this.batchMs);
  }

  private schedule(delayMs: number): void {
    this.batchTimer.schedule(delayMs);
  }

  private sendBatch(): void {
    if (this.isRoot) this.pushAsRoot();
    else if (this.isSubscribed && this.parent !== undefined) this.sendUp(this.parent);
    // Without a parent the rows wait; the next one gets the whole state.
  }

  private pushAsRoot(): void {
    this.beat += 1;
    const rows = this.topics.encode(this.pending.drain());
    this.push({
      ...this.viewFeed.age(this.options.timers.now()),
      rows,
      delta: this.viewFeed.takeUnsent(),
      beat: this.beat,
      digest: this.takeDigest(),
    });
  }

  private sendUp(parent: string): void {
    const rows = this.topics.encode(this.pending.drain());
    const clock = this.parentClock.toParent(this.options.timers.now());
    const delta = this.viewFeed.takeUnsent();
    const batch: Batch = { ...this.viewFeed.age(clock), rows, delta, beat: undefined, digest: undefined };
    this.options.cluster.send(parent, MessageType.Update, encodeBatch(batch));
  }

  /** Digest of the members, if it is time to tell it again. */
  private takeDigest(): number | undefined {
    const now = this.options.timers.now();
    if (now - this.digestAt < DIGEST_MS) return undefined;
    this.digestAt = now;
    return this.options.cluster.digest();
  }

  private push(batch: Batch): void {
    this.subscriberList.push(batch);
  }

  private signOfLife(): Batch {
    const age = this.viewFeed.age(this.options.timers.now());
    return { ...age, rows: [], delta: undefined, beat: undefined, digest: undefined };
  }

  private handleUpdate(batch: Batch): void {
    this.topics.merge(batch.rows, (topic, key, row) => this.enqueue(topic, key, row));
    const { clock } = batch;
    const onWayMs = clock === undefined ? Number.POSITIVE_INFINITY : this.options.timers.now() - clock;
    if (!this.viewFeed.takeFromBelow(batch, onWayMs)) return;
    if (!this.isRoot) this.passView();
    this.schedule(URGENT_BATCH_MS);
  }

  /** Sends a view that did not come from the parent to those below: the way over the root may be slow or broken. */
  private passView(): void {
    const delta = this.viewFeed.takeUnpassed();
    this.push({ ...this.signOfLife(), delta });
  }

  private handlePush(from: string, batch: Batch): void {
    if (from !== this.parent) return;
    this.heardAt = this.options.timers.now();
    const onWayMs = this.noteWay(batch);
    if (batch.beat !== undefined) this.rootHeardAt = this.heardAt;
    if (!isSignOfLife(batch)) this.passOn(batch, onWayMs);
    this.merge(batch.rows);
    this.viewFeed.takeFromAbove(batch, onWayMs, from);
    if (batch.digest !== undefined) this.compare(batch.digest, from);
  }

  /** Learns from the clock in a batch of the parent; the result is how long the batch was on its way, in milliseconds. */
  private noteWay({ clock }: ViewAge): number {
    if (clock === undefined) return Number.POSITIVE_INFINITY;
    this.parentClock.noteMessage(clock, this.heardAt);
    return this.parentClock.elapsedMs(clock, this.heardAt);
  }

  /** Sends a batch of the parent to those below, whose parent is this daemon. */
  private passOn(batch: Batch, onWayMs: number): void {
    const isKnown = batch.ageMs >= 0 && Number.isFinite(onWayMs);
    const ageMs = isKnown ? Math.ceil(batch.ageMs + onWayMs) : -1;
    this.viewFeed.notePassed(batch.upTo);
    this.push({ ...batch, ageMs, clock: this.heardAt });
  }

  /** Subscribes anew when the root has known other members than this daemon for a while: something was missed. */
  private compare(digest: number, parent: string): void {
    const pair = `${digest} ${this.options.cluster.digest()}`;
    const isSame = digest === this.options.cluster.digest();
    if (!isSame && pair === this.differingDigests) {
      this.options.log.debug(`Knows other members than the root; subscribes to ${parent} anew.`);
      this.differingDigests = undefined;
      void this.subscribe(parent);
    } else this.differingDigests = isSame ? undefined : pair;
  }

  private merge(rows: EncodedRows): void {
    this.isApplyingPush = true;
    try {
      this.topics.merge(rows, () => undefined);
    } finally {
      this.isApplyingPush = false;
    }
  }

  private accept(
    { address }: Member,
    { rows, upTo }: Subscription,
    channel: PeerChannel,
  ): Omit<SubscriptionAnswer, 'delta'> & { delta: Delta | null } {
    if (address === this.parent) this.takeOver(address);
    this.topics.merge(rows, (topic, key, row) => this.enqueue(topic, key, row));
    this.subscriberList.add(address, channel);
    const { view, recent } = this.options;
    const delta = view.upTo > upTo ? view.deltaSince(upTo) : null;
    const age = this.viewFeed.age(this.options.timers.now());
    return { ...age, rows: this.topics.snapshot(), delta, recent: recent() };
  }

  /** The parent wants to be fed by this daemon: right when this daemon is to be the root, a circle otherwise. */
  private takeOver(parent: string): void {
    if (this.chooseParent() !== undefined) throw new Error('This daemon subscribes to the one that asks.');
    this.options.log.debug(`Takes the root over from ${parent}.`);
    this.attach(undefined);
  }

  private handleLinkEnd(address: string): void {
    if (address !== this.parent) return;
    this.isSubscribed = false;
    this.parent = undefined;
    this.options.timers.after(REVIEW_MS / 4, () => this.review());
  }

  private review(): void {
    const now = this.options.timers.now();
    this.checkParent(now);
    const place = this.chooseParent();
    if (place === this.parent && (place !== undefined || this.isRoot)) this.misplacedSince = undefined;
    else if (this.hasPatience(now)) this.misplacedSince ??= now;
    else if (place === undefined) void this.becomeRoot();
    else this.attach(place);
    this.askForClock(now);
    if (now - this.subscriberList.pushedAt < BEAT_MS) return;
    if (this.isRoot) this.batchTimer.fire();
    else this.push(this.signOfLife());
  }

  /** Asks the parent for its clock now and then: either clock may have stood still. */
  private askForClock(now: number): void {
    const { parent, parentClock } = this;
    if (parent === undefined || !this.isSubscribed || now - this.clockAskedAt < CLOCK_MS) return;
    this.clockAskedAt = now;
    void this.exchangeClocks(parent, parentClock);
  }

  private async exchangeClocks(parent: string, parentClock: ParentClock): Promise<void> {
    const { cluster, timers, log } = this.options;
    const sentAt = timers.now();
    try {
      const answer = await cluster.request(parent, MessageType.Clock, null, CLOCK_TIMEOUT_MS);
      if (typeof answer === 'number') parentClock.noteExchange(sentAt, answer, timers.now());
    } catch (err) {
      log.debug(`${parent} does not tell its clock: ${String(err)}.`);
    }
  }

  private checkParent(now: number): void {
    const { parent } = this;
    if (parent === undefined) return;
    const isSilent = this.isSubscribed && now - this.heardAt > SILENT_PARENT_MS;
    const isLost = this.isSubscribed && now - this.rootHeardAt > LOST_ROOT_MS;
    if (isSilent || isLost) this.excludedUntil.set(parent, now + EXCLUSION_MS);
    else if (this.options.cluster.state(parent) === MemberState.Alive) return;
    this.detach();
  }

  /** Whether a place that works is kept for now although it is another one than the members say. */
  private hasPatience(now: number): boolean {
    if (this.isRoot && this.subscribers === 0) return false;
    if (!this.isRoot && this.parent === undefined) return false;
    const patienceMs = this.isRoot ? ROOT_REBALANCE_MS : REBALANCE_MS;
    return now - (this.misplacedSince ?? now) < patienceMs;
  }

  /**
   * Becomes the root, unless another daemon still hears of one: then it is only this daemon that can't reach that root,
   * and is fed by the other one.
   */
  private async becomeRoot(): Promise<void> {
    const { self, cluster } = this.options;
    if (this.isSeekingRoot) return;
    const others = cluster.alive().filter((address) => address !== self && !this.isExcluded(address));
    const isFirst = cluster.alive()[0] === self;
    const [witness] = others;
    if (isFirst || witness === undefined) {
      this.attach(undefined);
      return;
    }
    this.isSeekingRoot = true;
    try {
      const ageMs = await cluster.request(witness, MessageType.RootAge, null, ROOT_AGE_TIMEOUT_MS);
      this.attach(Number(ageMs) < FRESH_ROOT_MS ? witness : undefined);
    } catch (err) {
      this.options.log.debug(`${witness} does not say whether it hears of a root: ${String(err)}.`);
      this.attach(undefined);
    } finally {
      this.isSeekingRoot = false;
    }
  }

  private isExcluded(address: string): boolean {
    return (this.excludedUntil.get(address) ?? 0) > this.options.timers.now();
  }

  private chooseParent(): string | undefined {
    const { self, cluster } = this.options;
    return chooseParent({
      self,
      alive: cluster.alive(),
      zoneOf: (address) => cluster.member(address)?.zone,
      isExcluded: (address) => this.isExcluded(address),
    });
  }

  private detach(): void {
    if (this.parent !== undefined && this.options.cluster.state(this.parent) !== MemberState.Ended)
      this.options.cluster.send(this.parent, MessageType.Unsubscribe, null);
    this.parent = undefined;
    this.isSubscribed = false;
  }

  private attach(parent: string | undefined): void {
    this.detach();
    this.misplacedSince = undefined;
    this.isRoot = parent === undefined;
    if (parent === undefined) {
      this.options.log.debug('Is the root of the shared state.');
      // What was on its way to the root before may be lost.
      this.push({ ...this.signOfLife(), rows: this.topics.snapshot() });
      this.schedule(URGENT_BATCH_MS);
      return;
    }
    this.parent = parent;
    this.parentClock = new ParentClock();
    void this.subscribe(parent);
  }

  private async subscribe(parent: string): Promise<void> {
    const { cluster, view, timers, log } = this.options;
    const subscription: Subscription = { rows: this.topics.snapshot(), upTo: view.upTo };
    const sentAt = timers.now();
    try {
      const answer = await cluster.request(parent, MessageType.Subscribe, subscription, SUBSCRIBE_TIMEOUT_MS);
      if (this.parent === parent) this.handleAnswer(answer as SubscriptionAnswer, sentAt);
    } catch (err) {
      log.debug(`${parent} can't be subscribed to: ${String(err)}.`);
      this.excludedUntil.set(parent, timers.now() + EXCLUSION_MS);
      if (this.parent === parent) this.parent = undefined;
    }
  }

  private handleAnswer(
    { rows, delta, recent, upTo, ageMs, clock }: SubscriptionAnswer,
    sentAt: number,
  ): void {
    const { view, timers, takeRecent } = this.options;
    this.isSubscribed = true;
    this.heardAt = timers.now();
    this.rootHeardAt = this.heardAt;
    if (clock !== undefined) this.parentClock.noteExchange(sentAt, clock, this.heardAt);
    const onWayMs =
      clock === undefined ? Number.POSITIVE_INFINITY : this.parentClock.elapsedMs(clock, this.heardAt);
    this.viewFeed.noteSent(upTo);
    this.merge(rows);
    for (const [replica, keys] of recent) takeRecent(replica, keys);
    if (delta !== undefined && delta !== null) view.apply(delta);
    if (ageMs >= 0) view.confirmUpToDate(upTo, ageMs + onWayMs);
    // Those below this daemon may have missed more than it has: what it learnt in other ways is no news to it.
    this.push({ ...this.signOfLife(), rows });
    // What changed while the answer was on its way, and a newer view, go up.
    this.schedule(UP_BATCH_MS);
  }
}

/** Whether a batch says nothing but that its sender lives, and how fresh the sender's view is. */
function isSignOfLife({ beat, rows, delta }: Batch): boolean {
  return beat === undefined && rows.length === 0 && delta === undefined;
}
