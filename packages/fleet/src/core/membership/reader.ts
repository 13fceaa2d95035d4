/** Reads the host list from the platform, or from peers that have read it. */
import type { TimerService } from '@celeryyoke/core';
import type { HostListSource, HostListView } from '@celeryyoke/platform';

import type { PeerBus } from '../peers/index.js';
import type { Moment } from './clocks.js';
import { readClocks } from './clocks.js';
import type { MembershipSettings } from './types.js';
import type { ListView } from './view.js';
import { parseViewResponse, VIEW_PROCEDURE } from './wire.js';

/** Number of peers that are asked in parallel in place of the platform; the most recent view is used. */
const PEERS_PER_READ = 2;

/** Number of peers that are asked in parallel when the platform can't be read. */
const PEERS_PER_FALLBACK_READ = 3;

/** A host list and when its read was started. */
export interface ListReading {
  readonly list: HostListView;
  readonly startedAt: Moment;
}

/** Result of one read. */
export interface ReadOutcome {
  /** The most recent list; undefined when neither the platform nor a peer returned one. */
  readonly reading: ListReading | undefined;
  /** Monotonic time in milliseconds when the read was started. */
  readonly startedAt: number;
  /** Number of peers that returned their view; 0 when the platform was read. */
  readonly responses: number;
}

/** Options of the reader. */
export interface ReaderOptions {
  readonly source: HostListSource;
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly settings: MembershipSettings;
  readonly random: () => number;
  /** The view in use. */
  readonly currentView: () => ListView | undefined;
  /** Peers that can be asked. */
  readonly reachablePeers: () => readonly string[];
  /** Number of daemons in the fleet. */
  readonly daemonCount: () => number;
}

/** Reads the host list for this daemon, and serves its view to peers. */
export class ListReader {
  constructor(private readonly options: ReaderOptions) {
    options.bus.handle(VIEW_PROCEDURE, ({ digest }) => Promise.resolve(this.viewResponse(digest)));
  }

  /**
   * Reads the list once. In a large fleet most daemons ask peers, so that the load on the platform stays
   * bounded. Peers are also asked when the platform can't be read, since some of them may still have read it.
   * @param asksAllPeers - Whether all reachable peers are asked when the platform can't be read, not only
   * some.
   */
  async read(asksAllPeers: boolean): Promise<ReadOutcome> {
    const { random, settings, daemonCount, reachablePeers, timers } = this.options;
    const reads = (daemonCount() * 1000) / settings.pollMs;
    const readsPlatform = random() * reads < settings.fleetReadsPerSecond;
    if (!readsPlatform && this.isFresh()) {
      const outcome = await this.readFromPeers(PEERS_PER_READ);
      if (outcome.reading !== undefined) return outcome;
    }
    const startedAt = timers.now();
    const reading = await this.readPlatform();
    if (reading !== undefined) return { reading, startedAt, responses: 0 };
    return this.readFromPeers(asksAllPeers ? reachablePeers().length : PEERS_PER_FALLBACK_READ);
  }

  private isFresh(): boolean {
    const { currentView, timers, settings } = this.options;
    const view = currentView();
    return view !== undefined && view.ageMs(timers) < 3 * settings.pollMs;
  }

  private async readPlatform(): Promise<ListReading | undefined> {
    const { source, timers, settings } = this.options;
    const before = readClocks(timers);
    try {
      const list = await source.read(settings.readTimeoutMs);
      // The wall-clock time that corresponds to the monotonic time of the source's read.
      return { list, startedAt: { now: list.readAt, wall: before.wall + list.readAt - before.now } };
    } catch {
      return undefined;
    }
  }

  private async readFromPeers(max: number): Promise<ReadOutcome> {
    const startedAt = this.options.timers.now();
    const names = this.choosePeers(max);
    const readings = await Promise.all(names.map((name) => this.readFromPeer(name)));
    let newest: ListReading | undefined;
    let responses = 0;
    for (const reading of readings) {
      if (reading !== undefined) responses += 1;
      if (reading !== undefined && (newest === undefined || reading.startedAt.now > newest.startedAt.now))
        newest = reading;
    }
    return { reading: newest, startedAt, responses };
  }

  private choosePeers(max: number): readonly string[] {
    const { random, reachablePeers } = this.options;
    const names = [...reachablePeers()];
    const chosen: string[] = [];
    while (chosen.length < max && names.length > 0) {
      chosen.push(...names.splice(Math.floor(random() * names.length), 1));
    }
    return chosen;
  }

  /**
   * Reads the view of a peer. Its age is subtracted from the time of the request: the peer computed it later
   * than that, so the view does not look more recent than it is.
   */
  private async readFromPeer(name: string): Promise<ListReading | undefined> {
    const { bus, timers, settings, currentView } = this.options;
    const own = currentView()?.table;
    const before = readClocks(timers);
    try {
      const request = { digest: own?.digest ?? '' };
      const response = parseViewResponse(
        await bus.call(name, VIEW_PROCEDURE, request, { timeoutMs: settings.peerTimeoutMs }),
      );
      if (response.ageMs === undefined) return undefined;
      const hosts = response.hosts ?? (response.digest === own?.digest ? own?.hosts : undefined);
      if (hosts === undefined) return undefined;
      const age = response.ageMs * (1 + 2 * settings.driftShare);
      const startedAt = { now: before.now - age, wall: before.wall - age };
      return { list: { hosts, version: response.version, readAt: startedAt.now }, startedAt };
    } catch {
      return undefined;
    }
  }

  private viewResponse(digest: string) {
    const { currentView, timers } = this.options;
    const view = currentView();
    if (view === undefined) return {};
    const { table } = view;
    const ageMs = view.ageMs(timers);
    const head = { ageMs, digest: table.digest, version: table.version };
    return digest === table.digest ? head : { ...head, hosts: [...table.hosts] };
  }
}
