/** Keeps one daemon at the newest configuration, from its peers first and from the service otherwise. */
import type { ConfigSnapshot, RootDocument } from '@celeryyoke/configuration';
import { PACKED_SCHEMA, partsOf, rootKey } from '@celeryyoke/configuration';
import type { Gauge, Task, TimerHandle } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';
import { HostRole } from '@celeryyoke/platform';

import { askPeersFirst } from './bootstrap.js';
import { compress } from './compression.js';
import { askRoot, followService } from './follow.js';
import { Parts } from './parts.js';
import type { PeerAnnouncement } from './peer-book.js';
import { PeerBook } from './peer-book.js';
import { Refusals } from './refusals.js';
import { DEFAULT_DISTRIBUTION_SETTINGS } from './settings.js';
import type { WholeSet } from './takes.js';
import { describeOrigin, setKey, Takes } from './takes.js';
import type {
  Announcement,
  ConfigDistribution,
  DistributionOptions,
  DistributionSettings,
  DistributionStatus,
  Offer,
} from './types.js';
import { ANNOUNCEMENT_SECTION, parseAnnouncement, ROOT_PROCEDURE } from './wire.js';

/** The set in force as it is passed on. */
interface InForce {
  readonly root: RootDocument;
  readonly bytes: Uint8Array;
  readonly origin: string;
  /** Wall-clock time in milliseconds. */
  readonly since: number;
}

function describe(snapshot: ConfigSnapshot | undefined): object | undefined {
  return snapshot && { revision: snapshot.revision, digest: snapshot.digest };
}

class Distribution implements ConfigDistribution {
  private readonly settings: DistributionSettings;

  private readonly book: PeerBook;

  private readonly parts: Parts;

  private readonly refusals: Refusals;

  private readonly takes: Takes;

  private readonly revisionGauge: Gauge;

  private readonly bytesGauge: Gauge;

  private inForce: InForce | undefined;

  private watch: Task<void> | undefined;

  private tick: TimerHandle | undefined;

  private isAsking = false;

  constructor(private readonly options: DistributionOptions) {
    const { bus, timers, metrics, site, holder } = options;
    const log = options.log.part('config');
    const settings = { ...DEFAULT_DISTRIBUTION_SETTINGS, ...options.settings };
    this.settings = settings;
    const livePeers = (): readonly string[] => this.livePeers();
    this.book = new PeerBook({ settings, now: timers.now, livePeers, self: bus.self.name });
    this.parts = new Parts({ ...options, settings, log, book: this.book });
    this.refusals = new Refusals({ ...options, log });
    const onWhole = (set: WholeSet): void => this.putInForce(set);
    const { book, parts, refusals } = this;
    this.takes = new Takes({ site, holder, parts, book, refusals, timers, settings, onWhole });
    this.revisionGauge = metrics.gauge(
      'celeryyoke_config_revision',
      'Revision of the configuration in force.',
    );
    this.bytesGauge = metrics.gauge(
      'celeryyoke_config_parts_bytes',
      'Bytes of the compressed parts that are kept.',
    );
    bus.handle(ROOT_PROCEDURE, async () => ({ bytes: this.inForce?.bytes }));
    bus.addHeartbeatSection({
      name: ANNOUNCEMENT_SECTION,
      collect: () => this.announce(),
      merge: (from, data) => this.absorb(from.name, data),
    });
  }

  async start(): Promise<void> {
    const { source, timers, site, holder, membership, random = Math.random } = this.options;
    this.tick = timers.repeat(this.settings.tickMs, () => this.lookAgain());
    await askPeersFirst({
      holder,
      membership,
      timers,
      random,
      settings: this.settings,
      livePeers: () => this.livePeers(),
      ask: (peer) => this.ask(peer),
      consider: (offer) => this.takes.consider(offer),
    });
    if (this.tick === undefined) return;
    this.watch = followService({
      key: rootKey(site),
      source,
      timers,
      random,
      settings: this.settings,
      log: this.options.log.part('config'),
      consider: (offer) => this.takes.consider(offer),
    });
  }

  async stop(): Promise<void> {
    this.tick?.cancel();
    this.tick = undefined;
    await this.watch?.stop();
    await this.takes.stop();
  }

  status(): DistributionStatus {
    const current = this.options.holder.current();
    return {
      revision: current?.revision ?? 0,
      digest: current?.digest ?? '',
      since: this.inForce === undefined ? '' : new Date(this.inForce.since).toISOString(),
      origin: this.inForce?.origin ?? '',
      peers: this.book.status(),
      refused: this.refusals.recent(),
    };
  }

  private livePeers(): string[] {
    const { membership, bus } = this.options;
    const names = membership.hosts(HostRole.Entry).map(({ name }) => name);
    return names.filter((name) => name !== bus.self.name && membership.isLive(name));
  }

  private announce(): Announcement {
    const current = this.options.holder.current();
    return {
      revision: current?.revision ?? 0,
      digest: current?.digest ?? '',
      since: this.inForce?.since ?? 0,
      schema: PACKED_SCHEMA,
    };
  }

  private absorb(peer: string, data: unknown): void {
    const announcement = parseAnnouncement(data);
    if (announcement === undefined) return;
    this.book.note(peer, announcement);
    this.askForNewer();
  }

  private lookAgain(): void {
    this.takes.reconsider();
    this.askForNewer();
  }

  private ask(peer: string): Promise<Offer | undefined> {
    const { settings, book } = this;
    return askRoot(peer, { bus: this.options.bus, book, settings, log: this.options.log.part('config') });
  }

  /** Announcements worth asking about, newest first. */
  private newer(): PeerAnnouncement[] {
    const inForce = this.options.holder.current()?.revision ?? 0;
    return this.book
      .announced()
      .filter(
        ({ revision, digest, peer }) => revision > inForce && this.isWorthAsking(revision, digest, peer),
      );
  }

  private isWorthAsking(revision: number, digest: string, peer: string): boolean {
    const key = setKey(revision, digest);
    return !this.refusals.has(key) && !this.takes.isTaking(key) && !this.book.isAvoided(peer);
  }

  /** Asks one peer at a time for the newest set that is announced. */
  private askForNewer(): void {
    const [newest] = this.newer();
    if (newest === undefined || this.isAsking || this.tick === undefined) return;
    this.isAsking = true;
    void this.askAbout(newest).finally(() => {
      this.isAsking = false;
    });
  }

  private async askAbout(announced: PeerAnnouncement): Promise<void> {
    const offer = await this.ask(announced.peer);
    if (offer === undefined || this.tick === undefined) return;
    if (this.takes.matches(offer, announced)) {
      if (!this.takes.consider(offer)) this.book.avoid(announced.peer);
      return;
    }
    this.book.avoid(announced.peer);
    const { peer, revision, digest } = announced;
    this.refusals.refuse({
      key: `${peer} ${setKey(revision, digest)}`,
      revision,
      from: describeOrigin(offer),
      reason: `the peer announces digest ${digest} and offers another document; it is not believed`,
    });
  }

  private putInForce({ root, text, offer, snapshot }: WholeSet): void {
    const { holder, audit, timers, log } = this.options;
    const previous = holder.current();
    const before = this.inForce;
    // Listeners run inside the call, and may already ask what is announced.
    this.inForce = { root, bytes: compress(text), origin: describeOrigin(offer), since: timers.wall() };
    if (!this.offerTo(snapshot)) {
      this.inForce = before;
      return;
    }
    const kept = [root, ...this.takes.roots(), ...(before === undefined ? [] : [before.root])];
    this.parts.retain(new Set(kept.flatMap((one) => partsOf(one).map(({ digest }) => digest))));
    this.takes.dropUpTo(root.revision);
    this.revisionGauge.set(root.revision);
    this.bytesGauge.set(this.parts.bytes);
    audit.record({
      kind: AuditKind.ConfigAccepted,
      subject: `revision ${root.revision}`,
      cause: `from ${describeOrigin(offer)}`,
      before: describe(previous),
      after: describe(snapshot),
    });
    log.part('config').info(`Revision ${root.revision} from ${describeOrigin(offer)} is in force.`);
  }

  /** Gives a snapshot to the holder; a part that fails to follow does not undo what is in force. */
  private offerTo(snapshot: ConfigSnapshot): boolean {
    const { holder, log } = this.options;
    try {
      return holder.accept(snapshot);
    } catch (err) {
      log
        .part('config')
        .error(`A part failed to follow revision ${snapshot.revision}: ${(err as Error).message}`);
      return holder.current() === snapshot;
    }
  }
}

/**
 * Makes the distribution of one daemon; it answers peers from now on, and follows after its start.
 * @param options - Site, holder, service, peers and times.
 * @returns The distribution.
 */
export function createConfigDistribution(options: DistributionOptions): ConfigDistribution {
  return new Distribution(options);
}
