/** Gets parts by digest: from memory, from a peer, and only otherwise from the service. */
import { digestOf, partKey } from '@celeryyoke/configuration';
import type { Counter, Log, Metrics, TimerService } from '@celeryyoke/core';
import type { ConfigSource } from '@celeryyoke/platform';

import type { PeerBus } from '../peers/index.js';
import { compress, decompress } from './compression.js';
import type { PeerBook } from './peer-book.js';
import type { DistributionSettings } from './types.js';
import { parseCompressed, PART_PROCEDURE } from './wire.js';

/** Peers that have a set in force and are asked for one part, at most. */
const HOLDERS_ASKED = 2;

/** Options of the parts. */
export interface PartsOptions {
  readonly site: string;
  readonly source: ConfigSource;
  readonly bus: PeerBus;
  readonly book: PeerBook;
  readonly timers: TimerService;
  readonly settings: DistributionSettings;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The parts that one daemon has, compressed, and those that it fetches. */
export class Parts {
  private readonly kept = new Map<string, Uint8Array>();

  private readonly running = new Map<string, Promise<string | undefined>>();

  private readonly fromPeers: Counter;

  private readonly fromService: Counter;

  constructor(private readonly options: PartsOptions) {
    const { metrics, bus } = options;
    const help = 'Parts of the configuration that were fetched.';
    this.fromPeers = metrics.counter('celeryyoke_config_parts_total', help, { from: 'peer' });
    this.fromService = metrics.counter('celeryyoke_config_parts_total', help, { from: 'service' });
    bus.handle(PART_PROCEDURE, async ({ digest }) => ({ bytes: await this.serve(digest) }));
  }

  /** Bytes kept, compressed. */
  get bytes(): number {
    let sum = 0;
    for (const { byteLength } of this.kept.values()) sum += byteLength;
    return sum;
  }

  /** Forgets all parts but those of the sets that still count. */
  retain(digests: ReadonlySet<string>): void {
    for (const digest of this.kept.keys()) if (!digests.has(digest)) this.kept.delete(digest);
  }

  /**
   * Gets a part; calls for the same part share one fetch.
   * @param set - Digest of the set that it belongs to.
   * @param digest - The part's digest.
   * @returns Its text, or undefined when nobody has it.
   */
  get(set: string, digest: string): Promise<string | undefined> {
    const kept = this.kept.get(digest);
    if (kept !== undefined) return Promise.resolve(decompress(kept));
    const running = this.running.get(digest);
    if (running !== undefined) return running;
    const fetching = this.fetch(set, digest).finally(() => this.running.delete(digest));
    this.running.set(digest, fetching);
    return fetching;
  }

  /**
   * Answers a peer. A part that is being fetched is waited for, and the part's reader begins to fetch it although
   * its own watch has not told it of the set yet, so that one read of the service serves many.
   */
  private async serve(digest: string): Promise<Uint8Array | undefined> {
    const running = this.running.get(digest) ?? this.readAhead(digest);
    if (running !== undefined) {
      const { timers, settings } = this.options;
      const enough = new AbortController();
      const patience = timers.sleep(settings.peerTimeoutMs, enough.signal).catch(() => undefined);
      await Promise.race([running.catch(() => undefined), patience]);
      enough.abort();
    }
    return this.kept.get(digest);
  }

  private readAhead(digest: string): Promise<string | undefined> | undefined {
    const { book, bus } = this.options;
    const isReader = !this.kept.has(digest) && book.readerOf(digest) === bus.self.name;
    return isReader ? this.get('', digest) : undefined;
  }

  private async fetch(set: string, digest: string): Promise<string | undefined> {
    const { book, bus } = this.options;
    const reader = book.readerOf(digest);
    const holders = book.holdersOf(set, digest).slice(0, HOLDERS_ASKED);
    const askReader = reader !== bus.self.name && !holders.includes(reader) && !book.isAvoided(reader);
    for (const peer of askReader ? [...holders, reader] : holders) {
      const text = await this.askPeer(peer, digest);
      if (text !== undefined) return text;
    }
    return this.askService(digest);
  }

  private async askPeer(peer: string, digest: string): Promise<string | undefined> {
    const { bus, book, settings, log } = this.options;
    try {
      const answer = await bus.call(peer, PART_PROCEDURE, { digest }, { timeoutMs: settings.peerTimeoutMs });
      const { bytes } = parseCompressed(answer);
      if (bytes === undefined) return undefined;
      const text = decompress(bytes);
      if (text !== undefined && digestOf(text) === digest) {
        this.kept.set(digest, new Uint8Array(bytes));
        this.fromPeers.add();
        return text;
      }
      log.warn(`Peer ${peer} sent a part that has not the digest ${digest}; it is not asked for a while.`);
    } catch (err) {
      log.debug(`Peer ${peer} gave no part: ${(err as Error).message}`);
    }
    book.avoid(peer);
    return undefined;
  }

  private async askService(digest: string): Promise<string | undefined> {
    const { source, site, settings, log } = this.options;
    try {
      const found = await source.read(partKey(site, digest), settings.sourceTimeoutMs);
      if (found === undefined) return undefined;
      if (digestOf(found.value) === digest) {
        this.kept.set(digest, compress(found.value));
        this.fromService.add();
        return found.value;
      }
      log.warn(`The service gave a part that has not the digest ${digest}.`);
    } catch (err) {
      log.debug(`The service gave no part: ${(err as Error).message}`);
    }
    return undefined;
  }
}
