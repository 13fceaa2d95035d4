/**
 * Replicates the shared state to all daemons over a tree.
 *
 * Changes are sent up the tree to its root, which sends them down to all daemons in batches. Rows carry
 * versions, so a row that arrives twice or late changes nothing. A daemon subscribes to its parent, and to
 * another one when that parent ends, falls silent or receives no more batches of a root. On subscription both
 * sides exchange their whole state, so that no change is lost.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster, Member, PeerChannel } from '../cluster/index.js';
import { MemberState, MessageType } from '../cluster/index.js';
import type { Delta, ReplicatedStore } from '../view/index.js';
import type { Batch, EncodedRows, Subscription, SubscriptionResponse, ViewAge } from './batch.js';
import { decodeBatch, encodeBatch } from './batch.js';
import { BatchTimer } from './batch-timer.js';
import { ParentClock } from './parent-clock.js';
import { Subscribers } from './subscribers.js';
import { RowSet, TopicRegistry } from './topics.js';
import { chooseParent } from './topology.js';
import type { Topic, TopicHandler } from './types.js';
import { ViewFeed } from './view-feed.js';

/** How often a daemon checks its position in the tree, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
/** Time for which the root collects changes for a batch, in milliseconds. */
const ROOT_BATCH_MS = 100;
/** Time for which other daemons collect changes for a batch to their parent, in milliseconds. */
const UP_BATCH_MS = 30;
/** Time for which urgent changes are collected for a batch, in milliseconds. */
const URGENT_BATCH_MS = 2;
/** Longest time between two batches to subscribers, of the root and of any other parent, in milliseconds. */
const KEEPALIVE_INTERVAL_MS = 300;
/** Time without a batch from the parent after which it counts as failed, in milliseconds. */
const PARENT_TIMEOUT_MS = 1200;
/** Time without a batch of the root after which the parent counts as failed, in milliseconds. */
const ROOT_TIMEOUT_MS = 2500;
/** Time for which a failed parent is not chosen again, in milliseconds. */
const PARENT_EXCLUSION_MS = 4000;
/**
 * Time before a daemon with a working position moves to the one that the membership assigns, in milliseconds.
 */
const REPOSITION_DELAY_MS = 5000;
/** The same for a root, in milliseconds: shorter, as there should be only one root. */
const ROOT_REPOSITION_DELAY_MS = 500;
/** Timeout of a subscription request, in milliseconds. */
const SUBSCRIBE_TIMEOUT_MS = 1000;
/** Timeout of a request for the age of the last batch of a root, in milliseconds. */
const ROOT_AGE_TIMEOUT_MS = 250;
/** Age of the last batch of a root up to which that root counts as working, in milliseconds. */
const MAX_ROOT_AGE_MS = 800;

/** Interval of requests for the parent's clock, in milliseconds. */
const CLOCK_INTERVAL_MS = 2000;
/** Timeout of such a request, in milliseconds. */
const CLOCK_TIMEOUT_MS = 1000;

/** Interval at which the root adds a digest of the members to a batch, in milliseconds. */
const DIGEST_INTERVAL_MS = 2000;

/** Options of {@link DisseminationTree}. */
export interface DisseminationOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<
    Cluster,
    | 'aliveAddresses'
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
  /** Adapters that were resident on engines recently, for daemons that subscribe. */
  readonly recent: () => SubscriptionResponse['recent'];
  /** Merges what a parent reports as recently resident on an engine. */
  readonly mergeRecent: (replica: string, keys: readonly string[]) => void;
}

/**
 * This daemon's node in the tree: chooses a parent, sends changes to it, and pushes batches to subscribers.
 *
 * Rows in updates from subscribers are merged and sent on towards the root. Batches from the parent are
 * merged and forwarded to the subscribers with their rows unchanged.
 */
export class DisseminationTree {
  private readonly topics: TopicRegistry;

  private readonly pendingRows = new RowSet();

  private readonly subscriberTable: Subscribers;

  private readonly viewFeed: ViewFeed;

  private readonly batchTimer: BatchTimer;

  /** Members that failed as a parent, with the monotonic time until which they are not chosen. */
  private readonly excludedUntil = new Map<string, number>();

  /** The daemon that this one subscribes to; undefined for the root, and until a parent is found. */
  private parent: string | undefined;

  private parentClock = new ParentClock();

  /** Monotonic time of the last request for the parent's clock, in milliseconds. */
  private clockRequestedAt = 0;

  private isRoot = false;

  private isSubscribed = false;

  /** Whether rows from the parent are being merged: they need not be sent up again. */
  private isMergingFromParent = false;

  private isRequestingRootAge = false;

  /** Monotonic time of the parent's last batch, in milliseconds. */
  private parentBatchAt = 0;

  /** Monotonic time of the last batch of a root, in milliseconds. */
  private rootBatchAt = 0;

  /** Number of batches that this daemon has sent as the root. */
  private rootSequence = 0;

  /** Monotonic time of the last digest that this daemon sent as the root, in milliseconds. */
  private digestPublishedAt = 0;

  /** Digests of the root and of this daemon that differed when they were last compared. */
  private differingDigests: string | undefined;

  /**
   * Monotonic time since which the membership assigns another position than the present one, in milliseconds.
   */
  private outOfPositionSince: number | undefined;

  private reviewTimer: TimerHandle | undefined;

  /**
   * Registers the handlers of messages; {@link DisseminationTree.start} takes a position in the tree.
   * @param options - The cluster, the platform's view and time.
   */
  constructor(private readonly options: DisseminationOptions) {
    const { cluster, timers } = options;
    this.topics = new TopicRegistry(options.log);
    this.subscriberTable = new Subscribers(timers);
    this.viewFeed = new ViewFeed(options);
    this.batchTimer = new BatchTimer(timers, () => this.sendBatch());
    cluster.handle(MessageType.Subscribe, (from, body: Subscription, channel) =>
      this.acceptSubscriber(from, body, channel),
    );
    cluster.handle(MessageType.Unsubscribe, (from) => this.subscriberTable.remove(from.address));
    cluster.handle(MessageType.Update, (_from, body) => this.handleUpdate(decodeBatch(body)));
    cluster.handle(MessageType.Clock, () => timers.now());
    cluster.handle(MessageType.RootAge, () => Math.round(this.rootBatchAgeMs));
    cluster.handle(MessageType.ViewChanges, (_from, upTo: number) => options.view.deltaSince(upTo));
    cluster.handlePush((from, body) => this.handlePush(from, decodeBatch(body)));
    cluster.onLinkEnd((address) => this.handleLinkEnd(address));
    cluster.onChannelClose((channel) => this.subscriberTable.removeChannel(channel));
  }

  register<Row>(topic: Topic, handler: TopicHandler<Row>): void {
    this.topics.register(topic, handler);
  }

  /** Takes a position in the tree, and keeps it up to date. */
  start(): void {
    this.updatePosition();
    this.reviewTimer = this.options.timers.repeat(REVIEW_INTERVAL_MS, () => this.updatePosition());
  }

  /** Stops sending batches and moving in the tree. */
  stop(): void {
    this.reviewTimer?.cancel();
    this.batchTimer.cancel();
  }

  /** Age of the last batch of a root, in milliseconds; 0 for the root itself. */
  get rootBatchAgeMs(): number {
    return this.isRoot ? 0 : this.options.timers.now() - this.rootBatchAt;
  }

  /** Whether this daemon is the root or has received the whole state from its parent. */
  get hasSharedState(): boolean {
    return this.isRoot || this.isSubscribed;
  }

  /** Number of daemons that subscribe to this one. */
  get subscriberCount(): number {
    return this.subscriberTable.size;
  }

  /**
   * Publishes a changed row to all daemons.
   * @param topic - Topic of the row.
   * @param row - The row.
   * @param isOwn - Whether the change is this daemon's own. Other changes that come up while rows from the
   *   parent are merged are not published, as the parent has them.
   */
  publish<Row>(topic: Topic, row: Row, isOwn = true): void {
    const handler = this.topics.get(topic);
    if (handler === undefined || (this.isMergingFromParent && !isOwn)) return;
    this.enqueue(topic, handler.keyOf(row), row);
  }

  /**
   * Publishes the view after this daemon has read the platform's store.
   * @param hasChanges - Whether the store had changes.
   */
  publishView(hasChanges: boolean): void {
    if (!this.isRoot) this.forwardView();
    this.schedule(hasChanges ? URGENT_BATCH_MS : this.batchMs);
  }

  private get batchMs(): number {
    return this.isRoot ? ROOT_BATCH_MS : UP_BATCH_MS;
  }

  private enqueue(topic: Topic, key: string, row: unknown): void {
    this.pendingRows.put(topic, key, row);
    this.schedule(this.topics.get(topic)?.isUrgent ? URGENT_BATCH_MS : this.batchMs);
  }

  private schedule(delayMs: number): void {
    this.batchTimer.schedule(delayMs);
  }

  private sendBatch(): void {
    if (this.isRoot) this.pushAsRoot();
    else if (this.isSubscribed && this.parent !== undefined) this.sendUp(this.parent);
    // Without a parent the rows stay pending; the next parent receives the whole state on subscription.
  }

  private pushAsRoot(): void {
    this.rootSequence += 1;
    const rows = this.topics.encode(this.pendingRows.takeAll());
    this.push({
      ...this.viewFeed.age(this.options.timers.now()),
      rows,
      delta: this.viewFeed.takeUnsent(),
      rootSequence: this.rootSequence,
      digest: this.takeDigest(),
    });
  }

  private sendUp(parent: string): void {
    const rows = this.topics.encode(this.pendingRows.takeAll());
    const clock = this.parentClock.toParentTime(this.options.timers.now());
    const delta = this.viewFeed.takeUnsent();
    const batch: Batch = {
      ...this.viewFeed.age(clock),
      rows,
      delta,
      rootSequence: undefined,
      digest: undefined,
    };
    this.options.cluster.send(parent, MessageType.Update, encodeBatch(batch));
  }

  /** Digest of the members if it is due in this batch. */
  private takeDigest(): number | undefined {
    const now = this.options.timers.now();
    if (now - this.digestPublishedAt < DIGEST_INTERVAL_MS) return undefined;
    this.digestPublishedAt = now;
    return this.options.cluster.digest();
  }

  private push(batch: Batch): void {
    this.subscriberTable.push(batch);
  }

  private keepalive(): Batch {
    const age = this.viewFeed.age(this.options.timers.now());
    return { ...age, rows: [], delta: undefined, rootSequence: undefined, digest: undefined };
  }

  private handleUpdate(batch: Batch): void {
    this.topics.merge(batch.rows, (topic, key, row) => this.enqueue(topic, key, row));
    const { clock } = batch;
    const transitMs = clock === undefined ? Number.POSITIVE_INFINITY : this.options.timers.now() - clock;
    if (!this.viewFeed.mergeFromChild(batch, transitMs)) return;
    if (!this.isRoot) this.forwardView();
    this.schedule(URGENT_BATCH_MS);
  }

  /**
   * Sends a view that did not come from the parent to the subscribers: the path over the root may be slow or
   * broken.
   */
  private forwardView(): void {
    const delta = this.viewFeed.takeUnforwarded();
    this.push({ ...this.keepalive(), delta });
  }

  private handlePush(from: string, batch: Batch): void {
    if (from !== this.parent) return;
    this.parentBatchAt = this.options.timers.now();
    const transitMs = this.recordTransit(batch);
    if (batch.rootSequence !== undefined) this.rootBatchAt = this.parentBatchAt;
    if (!isKeepalive(batch)) this.forwardBatch(batch, transitMs);
    this.mergeFromParent(batch.rows);
    this.viewFeed.mergeFromParent(batch, transitMs, from);
    if (batch.digest !== undefined) this.compareDigest(batch.digest, from);
  }

  /**
   * Narrows the bounds on the parent's clock by a batch from it.
   * @returns Longest time that the batch can have been in transit, in milliseconds.
   */
  private recordTransit({ clock }: ViewAge): number {
    if (clock === undefined) return Number.POSITIVE_INFINITY;
    this.parentClock.recordMessage(clock, this.parentBatchAt);
    return this.parentClock.maxElapsedMs(clock, this.parentBatchAt);
  }

  /**
   * Forwards a batch of the parent to the subscribers, with its age and clock converted to this daemon's
   * clock.
   */
  private forwardBatch(batch: Batch, transitMs: number): void {
    const isKnown = batch.ageMs >= 0 && Number.isFinite(transitMs);
    const ageMs = isKnown ? Math.ceil(batch.ageMs + transitMs) : -1;
    this.viewFeed.markForwarded({ epoch: batch.epoch, revision: batch.upTo });
    this.push({ ...batch, ageMs, clock: this.parentBatchAt });
  }

  /**
   * Subscribes again when two digests in a row differ from this daemon's and neither side has changed in
   * between: this daemon has missed an update.
   */
  private compareDigest(digest: number, parent: string): void {
    const pair = `${digest} ${this.options.cluster.digest()}`;
    const isSame = digest === this.options.cluster.digest();
    if (!isSame && pair === this.differingDigests) {
      this.options.log.debug(`Members differ from those of the root; subscribing to ${parent} again.`);
      this.differingDigests = undefined;
      void this.subscribe(parent);
    } else this.differingDigests = isSame ? undefined : pair;
  }

  private mergeFromParent(rows: EncodedRows): void {
    this.isMergingFromParent = true;
    try {
      this.topics.merge(rows, () => undefined);
    } finally {
      this.isMergingFromParent = false;
    }
  }

  private acceptSubscriber(
    { address }: Member,
    { rows, upTo, epoch = 0 }: Subscription,
    channel: PeerChannel,
  ): Omit<SubscriptionResponse, 'delta'> & { delta: Delta | null } {
    if (address === this.parent) this.takeOverRoot(address);
    this.topics.merge(rows, (topic, key, row) => this.enqueue(topic, key, row));
    this.subscriberTable.add(address, channel);
    const { recent } = this.options;
    const delta = this.viewFeed.deltaFor({ epoch, revision: upTo }) ?? null;
    const age = this.viewFeed.age(this.options.timers.now());
    return { ...age, rows: this.topics.snapshot(), delta, recent: recent() };
  }

  /**
   * Handles a subscription by this daemon's own parent: correct when this daemon is to become the root, a
   * cycle otherwise.
   */
  private takeOverRoot(parent: string): void {
    if (this.chooseParent() !== undefined)
      throw new Error('Subscription refused: this daemon subscribes to the sender.');
    this.options.log.debug(`Becoming the root of the shared state in place of ${parent}.`);
    this.attach(undefined);
  }

  private handleLinkEnd(address: string): void {
    if (address !== this.parent) return;
    this.isSubscribed = false;
    this.parent = undefined;
    this.options.timers.after(REVIEW_INTERVAL_MS / 4, () => this.updatePosition());
  }

  private updatePosition(): void {
    const now = this.options.timers.now();
    this.checkParent(now);
    const position = this.chooseParent();
    if (position === this.parent && (position !== undefined || this.isRoot))
      this.outOfPositionSince = undefined;
    else if (this.keepsPosition(now)) this.outOfPositionSince ??= now;
    else if (position === undefined) void this.becomeRoot();
    else this.attach(position);
    this.requestClock(now);
    if (now - this.subscriberTable.lastPushAt < KEEPALIVE_INTERVAL_MS) return;
    if (this.isRoot) this.batchTimer.sendNow();
    else this.push(this.keepalive());
  }

  /** Requests the parent's clock regularly, as either clock may have stood still. */
  private requestClock(now: number): void {
    const { parent, parentClock } = this;
    if (parent === undefined || !this.isSubscribed || now - this.clockRequestedAt < CLOCK_INTERVAL_MS) return;
    this.clockRequestedAt = now;
    void this.exchangeClocks(parent, parentClock);
  }

  private async exchangeClocks(parent: string, parentClock: ParentClock): Promise<void> {
    const { cluster, timers, log } = this.options;
    const sentAt = timers.now();
    try {
      const parentNow = await cluster.request(parent, MessageType.Clock, null, CLOCK_TIMEOUT_MS);
      if (typeof parentNow === 'number') parentClock.recordExchange(sentAt, parentNow, timers.now());
    } catch (err) {
      log.debug(`Could not get the clock of ${parent}: ${String(err)}.`);
    }
  }

  /** Detaches from a parent that is not alive, is silent or has lost the root. */
  private checkParent(now: number): void {
    const { parent } = this;
    if (parent === undefined) return;
    const isSilent = this.isSubscribed && now - this.parentBatchAt > PARENT_TIMEOUT_MS;
    const isLost = this.isSubscribed && now - this.rootBatchAt > ROOT_TIMEOUT_MS;
    if (isSilent || isLost) this.excludedUntil.set(parent, now + PARENT_EXCLUSION_MS);
    else if (this.options.cluster.state(parent) === MemberState.Alive) return;
    this.detach();
  }

  /** Whether this daemon still keeps a working position although the membership assigns it another one. */
  private keepsPosition(now: number): boolean {
    if (this.isRoot && this.subscriberCount === 0) return false;
    if (!this.isRoot && this.parent === undefined) return false;
    const delayMs = this.isRoot ? ROOT_REPOSITION_DELAY_MS : REPOSITION_DELAY_MS;
    return now - (this.outOfPositionSince ?? now) < delayMs;
  }

  /**
   * Becomes the root, unless another daemon still receives batches of one. In that case only this daemon
   * can't reach the root, so it subscribes to the other daemon.
   */
  private async becomeRoot(): Promise<void> {
    const { self, cluster } = this.options;
    if (this.isRequestingRootAge) return;
    const candidates = cluster
      .aliveAddresses()
      .filter((address) => address !== self && !this.isExcluded(address));
    const isFirst = cluster.aliveAddresses()[0] === self;
    const [witness] = candidates;
    if (isFirst || witness === undefined) {
      this.attach(undefined);
      return;
    }
    this.isRequestingRootAge = true;
    try {
      const ageMs = await cluster.request(witness, MessageType.RootAge, null, ROOT_AGE_TIMEOUT_MS);
      this.attach(Number(ageMs) < MAX_ROOT_AGE_MS ? witness : undefined);
    } catch (err) {
      this.options.log.debug(`Could not get the age of the root from ${witness}: ${String(err)}.`);
      this.attach(undefined);
    } finally {
      this.isRequestingRootAge = false;
    }
  }

  private isExcluded(address: string): boolean {
    return (this.excludedUntil.get(address) ?? 0) > this.options.timers.now();
  }

  private chooseParent(): string | undefined {
    const { self, cluster } = this.options;
    return chooseParent({
      self,
      alive: cluster.aliveAddresses(),
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
    this.outOfPositionSince = undefined;
    this.isRoot = parent === undefined;
    if (parent === undefined) {
      this.options.log.debug('Became the root of the shared state.');
      // Rows in transit to the previous root may be lost, so all rows are pushed.
      this.push({ ...this.keepalive(), rows: this.topics.snapshot() });
      this.schedule(URGENT_BATCH_MS);
      return;
    }
    this.parent = parent;
    this.parentClock = new ParentClock();
    void this.subscribe(parent);
  }

  private async subscribe(parent: string): Promise<void> {
    const { cluster, view, timers, log } = this.options;
    const { upTo, epoch } = view;
    const subscription: Subscription = { rows: this.topics.snapshot(), upTo, epoch };
    const sentAt = timers.now();
    try {
      const response = await cluster.request(
        parent,
        MessageType.Subscribe,
        subscription,
        SUBSCRIBE_TIMEOUT_MS,
      );
      if (this.parent === parent) this.handleSubscribed(response as SubscriptionResponse, sentAt);
    } catch (err) {
      log.debug(`Could not subscribe to ${parent}: ${String(err)}.`);
      this.excludedUntil.set(parent, timers.now() + PARENT_EXCLUSION_MS);
      if (this.parent === parent) this.parent = undefined;
    }
  }

  private handleSubscribed(
    { rows, delta, recent, upTo, epoch = 0, ageMs, clock }: SubscriptionResponse,
    sentAt: number,
  ): void {
    const { view, timers, mergeRecent } = this.options;
    this.isSubscribed = true;
    this.parentBatchAt = timers.now();
    this.rootBatchAt = this.parentBatchAt;
    if (clock !== undefined) this.parentClock.recordExchange(sentAt, clock, this.parentBatchAt);
    const transitMs =
      clock === undefined
        ? Number.POSITIVE_INFINITY
        : this.parentClock.maxElapsedMs(clock, this.parentBatchAt);
    this.viewFeed.markSent({ epoch, revision: upTo });
    this.mergeFromParent(rows);
    for (const [replica, keys] of recent) mergeRecent(replica, keys);
    if (delta !== undefined && delta !== null) view.apply(delta);
    if (ageMs >= 0) view.confirmUpToDate(upTo, ageMs + transitMs, epoch);
    // Subscribers may lack rows that this daemon already had from elsewhere, so all rows of the response are
    // forwarded.
    this.push({ ...this.keepalive(), rows });
    // Sends up rows that changed while the response was in transit, and a newer view.
    this.schedule(UP_BATCH_MS);
  }
}

/** Whether a batch carries nothing but the age of its sender's view. */
function isKeepalive({ rootSequence, rows, delta }: Batch): boolean {
  return rootSequence === undefined && rows.length === 0 && delta === undefined;
}
