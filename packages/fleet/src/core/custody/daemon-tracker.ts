/** Tracks which daemons could still act on custody: their generations, and which of them count as gone. */
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole } from '@celeryyoke/platform';

import type { Candidate } from './rendezvous.js';
import { chooseCustodians, DEFAULT_MAX_CUSTODIANS } from './rendezvous.js';
import type { CustodyOptions, DaemonRef } from './types.js';

const DEFAULT_ABSENT_AFTER_MS = 15_000;
const DEFAULT_MAX_VIEW_AGE_MS = 5000;
const RESUME_DELAY_MS = 1500;
/** Incarnations are integers, so fractional steps stay below the next one; 1/1024 is exact in binary. */
const GENERATION_STEP = 1 / 1024;

/** A daemon that can receive custody. */
export interface CustodianCandidate extends Candidate {
  readonly ref: DaemonRef;
}

/** Whether two references have the same name and generation. */
export function isSameDaemon(left: DaemonRef, right: DaemonRef): boolean {
  return left.name === right.name && left.generation === right.generation;
}

/** Custodians chosen from one host list. */
interface CustodianChoice {
  readonly hosts: readonly HostEntry[];
  readonly withSelf: boolean;
  readonly custodians: readonly HostEntry[];
}

/**
 * Daemons of the fleet as this one knows them. A daemon that may have been counted as gone by others starts a
 * new generation and drops all custody; it acts only while it could have learned that it counts as gone.
 */
export class DaemonTracker {
  private ownGeneration: number;

  private readonly peerGenerations = new Map<string, number>();

  private readonly absentSinceMs = new Map<string, number>();

  /** Hosts that have been off the list for so long that the buckets they held count as lost. */
  private readonly lostHosts = new Set<string>();

  /** Greatest generation of a returned host that counts as lost permanently. */
  private readonly lostGenerations = new Map<string, number>();

  /** Greatest generation of each daemon that reported that it has stopped acting. */
  private readonly stoppedGenerations = new Map<string, number>();

  private hasStopped = false;

  private isListed = false;

  private isFirstRefresh = true;

  private resumesAtMs = 0;

  private refreshedAtMs = -Infinity;

  private cachedChoice: CustodianChoice | undefined;

  private readonly absentAfterMs: number;

  private readonly maxViewAgeMs: number;

  /** @param onFenced - Called when this daemon must drop all custody. */
  constructor(
    private readonly options: CustodyOptions,
    private readonly onFenced: (cause: string) => void,
  ) {
    this.ownGeneration = options.bus.self.incarnation;
    this.absentAfterMs = options.absentAfterMs ?? DEFAULT_ABSENT_AFTER_MS;
    this.maxViewAgeMs = options.maxViewAgeMs ?? DEFAULT_MAX_VIEW_AGE_MS;
  }

  /** Reference to this daemon in its current generation. */
  get self(): DaemonRef {
    return { name: this.options.bus.self.name, generation: this.ownGeneration };
  }

  /** Whether this daemon may act: it is listed, sees the fleet, and has not just resumed from a pause. */
  mayAct(): boolean {
    const now = this.options.timers.now();
    if (this.hasStopped || !this.isListed) return false;
    return this.canLearnOfLoss() && !this.wasPaused(now) && now >= this.resumesAtMs;
  }

  /** Stops this daemon from acting permanently, before it reports that to its peers. */
  stopActing(): void {
    this.hasStopped = true;
  }

  /** Records that a peer has stopped acting. */
  recordStopped(peer: string, generation: number): void {
    this.stoppedGenerations.set(peer, Math.max(generation, this.stoppedGenerations.get(peer) ?? -Infinity));
  }

  /** Whether a daemon can no longer act, or counts as gone. */
  isGone(ref: DaemonRef): boolean {
    if (this.lostHosts.has(ref.name)) return true;
    if ((this.lostGenerations.get(ref.name) ?? -Infinity) >= ref.generation) return true;
    if ((this.stoppedGenerations.get(ref.name) ?? -Infinity) >= ref.generation) return true;
    const known = ref.name === this.self.name ? this.ownGeneration : this.knownGeneration(ref.name);
    return known !== undefined && known > ref.generation;
  }

  /** Whether a process has ended, or has been off the list for so long that it counts as ended. */
  isStopped(name: string, incarnation: number): boolean {
    if (this.lostHosts.has(name)) return true;
    if ((this.stoppedGenerations.get(name) ?? -Infinity) >= incarnation) return true;
    const known = name === this.self.name ? this.ownGeneration : this.options.membership.incarnationOf(name);
    return known !== undefined && Math.floor(known) > incarnation;
  }

  /** Greatest generation of a peer that this daemon counts as lost. */
  lostGenerationOf(peer: string): number | undefined {
    return this.lostGenerations.get(peer);
  }

  /** Records the generation that a peer reports for itself. */
  recordGeneration(peer: string, generation: number): void {
    if (generation > (this.peerGenerations.get(peer) ?? -Infinity))
      this.peerGenerations.set(peer, generation);
    if (!this.lostHosts.has(peer) || this.options.membership.findHost(peer) === undefined) return;
    this.lostHosts.delete(peer);
    this.lostGenerations.set(peer, Math.max(generation, this.knownGeneration(peer) ?? generation));
  }

  /** Handles that a peer counts a generation of this daemon as lost. */
  handleCountedAsLost(generation: number): void {
    if (generation >= this.ownGeneration) this.startNewGeneration('a peer had counted this daemon as gone');
  }

  /** Names of all daemons that may hold buckets, this one included. */
  possibleDaemons(): Set<string> {
    const names = new Set([this.self.name, ...this.peerGenerations.keys()]);
    for (const { name } of this.options.membership.hosts(HostRole.Entry)) names.add(name);
    for (const name of this.lostHosts) names.delete(name);
    for (const [name, generation] of this.stoppedGenerations) {
      if ((this.knownGeneration(name) ?? -Infinity) <= generation) names.delete(name);
    }
    return names;
  }

  /** Adds a daemon that a peer knows of. */
  addDaemon(name: string): void {
    if (name !== this.self.name && !this.peerGenerations.has(name)) this.peerGenerations.set(name, -Infinity);
  }

  /** Daemons that can receive custody now. */
  candidates(withSelf: boolean): CustodianCandidate[] {
    const found: CustodianCandidate[] = [];
    for (const { name, domain } of this.chooseFromList(withSelf)) {
      const ref = name === this.self.name ? this.self : this.refOfPeer(name);
      if (ref !== undefined) found.push({ name, domain, ref });
    }
    return found;
  }

  /** Custodians by the host list alone, reachable or not; cached until the list's array changes. */
  private chooseFromList(withSelf: boolean): readonly HostEntry[] {
    const { membership } = this.options;
    const hosts = membership.hosts(HostRole.Entry);
    if (this.cachedChoice?.hosts === hosts && this.cachedChoice.withSelf === withSelf)
      return this.cachedChoice.custodians;
    const able = hosts.filter(({ name }) => membership.isLive(name) && (withSelf || name !== this.self.name));
    const custodians = chooseCustodians(able, this.options.maxCustodians ?? DEFAULT_MAX_CUSTODIANS);
    this.cachedChoice = { hosts, withSelf, custodians };
    this.pinCustodians(custodians);
    return custodians;
  }

  /** Requests connections to the other custodians if this daemon is one, to know whether they are up. */
  private pinCustodians(custodians: readonly HostEntry[]): void {
    const names = custodians.map(({ name }) => name);
    this.options.pin?.(names.includes(this.self.name) ? names : []);
  }

  /** Updates this daemon's standing and the absences from the host list; called in every round. */
  refresh(): void {
    const { membership, timers } = this.options;
    const now = timers.now();
    if (!this.canLearnOfLoss() || this.wasPaused(now)) this.resumesAtMs = now + RESUME_DELAY_MS;
    this.refreshedAtMs = now;
    if (!this.isViewFresh()) {
      this.absentSinceMs.clear();
      return;
    }
    const isListed = membership.findHost(this.self.name) !== undefined;
    if (this.isListed && !isListed) this.startNewGeneration('the host list no longer names this daemon');
    this.isListed = isListed;
    this.isFirstRefresh = false;
    this.updateAbsences(now);
  }

  private updateAbsences(now: number): void {
    const { membership } = this.options;
    for (const { name } of membership.hosts(HostRole.Entry)) this.addDaemon(name);
    for (const name of this.peerGenerations.keys()) {
      if (membership.findHost(name) !== undefined) {
        this.absentSinceMs.delete(name);
        continue;
      }
      const since = this.absentSinceMs.get(name) ?? now;
      this.absentSinceMs.set(name, since);
      if (now - since >= this.absentAfterMs) this.lostHosts.add(name);
    }
  }

  /** Whether no round has run for so long that the process must have been paused. */
  private wasPaused(now: number): boolean {
    return !this.isFirstRefresh && now - this.refreshedAtMs > this.maxViewAgeMs;
  }

  /**
   * Whether this daemon would learn that others count it as gone: from the host list or, while the list can't
   * be read, because every daemon that was on it is reachable.
   */
  private canLearnOfLoss(): boolean {
    const { membership } = this.options;
    if (membership.needsConfirmation()) return false;
    if (this.isViewFresh()) return true;
    const peers = membership.hosts(HostRole.Entry).filter(({ name }) => name !== this.self.name);
    return peers.every(({ name }) => !membership.isLive(name) || membership.isReachable(name));
  }

  private isViewFresh(): boolean {
    const { membership } = this.options;
    return !membership.needsConfirmation() && membership.ageMs() <= this.maxViewAgeMs;
  }

  private knownGeneration(peer: string): number | undefined {
    const incarnation = this.options.membership.incarnationOf(peer) ?? -Infinity;
    const known = Math.max(incarnation, this.peerGenerations.get(peer) ?? -Infinity);
    return known === -Infinity ? undefined : known;
  }

  private refOfPeer(name: string): DaemonRef | undefined {
    const generation = this.knownGeneration(name);
    if (generation === undefined || !this.options.membership.isReachable(name)) return undefined;
    const ref = { name, generation };
    return this.isGone(ref) ? undefined : ref;
  }

  private startNewGeneration(cause: string): void {
    this.ownGeneration += GENERATION_STEP;
    this.onFenced(cause);
  }
}
