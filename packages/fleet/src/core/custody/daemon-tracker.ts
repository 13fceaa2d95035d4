/** Which daemons could still act on custody: their generations, and who counts as gone. */
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole } from '@celeryyoke/platform';

import type { Candidate } from './rendezvous.js';
import { chooseKeepers, DEFAULT_KEEPERS } from './rendezvous.js';
import type { CustodyOptions, KeeperRef } from './types.js';

const DEFAULT_ABSENT_AFTER_MS = 15_000;
const DEFAULT_MAX_VIEW_AGE_MS = 5000;
const RESUME_MS = 1500;
/** Incarnations are whole numbers, so a fraction never reaches the next one; it is exact in binary. */
const GENERATION_STEP = 1 / 1024;

/** A daemon that could be given custody. */
export interface KeeperCandidate extends Candidate {
  readonly ref: KeeperRef;
}

/**
 * Compares two references.
 * @param left - One of them.
 * @param right - The other.
 * @returns Whether they name the same stretch of the same daemon's life.
 */
export function isSameKeeper(left: KeeperRef, right: KeeperRef): boolean {
  return left.name === right.name && left.generation === right.generation;
}

/** The keepers of one list. */
interface KeeperChoice {
  readonly hosts: readonly HostEntry[];
  readonly withSelf: boolean;
  readonly keepers: readonly HostEntry[];
}

/** The daemons of the fleet, as one of them knows them. */
export class Keepers {
  private generation: number;

  private readonly generations = new Map<string, number>();

  private readonly absentSince = new Map<string, number>();

  /** Hosts that were off the list for so long that whatever they held counts as lost. */
  private readonly absent = new Set<string>();

  /** Greatest generation of a returned host that counts as lost, for good. */
  private readonly buried = new Map<string, number>();

  /** Greatest generation of each daemon that said itself that it acts no more. */
  private readonly retired = new Map<string, number>();

  private hasRetired = false;

  private isListed = false;

  private isFirstLook = true;

  private readyAt = 0;

  private refreshedAt = -Infinity;

  private choice: KeeperChoice | undefined;

  private readonly absentAfterMs: number;

  private readonly maxViewAgeMs: number;

  /**
   * Makes the knowledge of a daemon that has just started.
   * @param options - Bus, membership and bounds.
   * @param onFenced - Called when this daemon must forget all custody.
   */
  constructor(
    private readonly options: CustodyOptions,
    private readonly onFenced: (cause: string) => void,
  ) {
    this.generation = options.bus.self.incarnation;
    this.absentAfterMs = options.absentAfterMs ?? DEFAULT_ABSENT_AFTER_MS;
    this.maxViewAgeMs = options.maxViewAgeMs ?? DEFAULT_MAX_VIEW_AGE_MS;
  }

  /** This daemon. */
  get self(): KeeperRef {
    return { name: this.options.bus.self.name, generation: this.generation };
  }

  /** Whether this daemon may act: it is listed, it sees the fleet, and has not just come out of a pause. */
  mayAct(): boolean {
    const now = this.options.timers.now();
    if (this.hasRetired || !this.isListed) return false;
    return this.isSighted() && !this.isLate(now) && now >= this.readyAt;
  }

  /** Ends this daemon's acting for good, before it tells the others. */
  retire(): void {
    this.hasRetired = true;
  }

  /** Takes in that a peer acts no more. */
  heardRetired(peer: string, generation: number): void {
    this.retired.set(peer, Math.max(generation, this.retired.get(peer) ?? -Infinity));
  }

  /** Whether a reference can no longer act, or counts as such. */
  isGone(ref: KeeperRef): boolean {
    if (this.absent.has(ref.name)) return true;
    if ((this.buried.get(ref.name) ?? -Infinity) >= ref.generation) return true;
    if ((this.retired.get(ref.name) ?? -Infinity) >= ref.generation) return true;
    const known = ref.name === this.self.name ? this.generation : this.knownGeneration(ref.name);
    return known !== undefined && known > ref.generation;
  }

  /** Whether a process has ended, or was off the list for so long that it counts as ended. */
  isStopped(name: string, incarnation: number): boolean {
    if (this.absent.has(name)) return true;
    if ((this.retired.get(name) ?? -Infinity) >= incarnation) return true;
    const known = name === this.self.name ? this.generation : this.options.membership.incarnation(name);
    return known !== undefined && Math.floor(known) > incarnation;
  }

  /** Greatest generation of a peer that this daemon counts as gone. */
  buriedGeneration(peer: string): number | undefined {
    return this.buried.get(peer);
  }

  /** Takes in a generation that a peer told of itself. */
  heard(peer: string, generation: number): void {
    if (generation > (this.generations.get(peer) ?? -Infinity)) this.generations.set(peer, generation);
    if (!this.absent.has(peer) || this.options.membership.host(peer) === undefined) return;
    this.absent.delete(peer);
    this.buried.set(peer, Math.max(generation, this.knownGeneration(peer) ?? generation));
  }

  /** Takes in that a peer counts a generation of this daemon as gone. */
  heardBuried(generation: number): void {
    if (generation >= this.generation) this.fence('a peer had counted this daemon as gone');
  }

  /** Names of all daemons that may hold something, this one included. */
  possible(): Set<string> {
    const names = new Set([this.self.name, ...this.generations.keys()]);
    for (const { name } of this.options.membership.hosts(HostRole.Entry)) names.add(name);
    for (const name of this.absent) names.delete(name);
    for (const [name, generation] of this.retired) {
      if ((this.knownGeneration(name) ?? -Infinity) <= generation) names.delete(name);
    }
    return names;
  }

  /** Notes a daemon that a peer knows of. */
  learn(name: string): void {
    if (name !== this.self.name && !this.generations.has(name)) this.generations.set(name, -Infinity);
  }

  /** Daemons that could be given custody now. */
  candidates(withSelf: boolean): KeeperCandidate[] {
    const found: KeeperCandidate[] = [];
    for (const { name, domain } of this.chosen(withSelf)) {
      const ref = name === this.self.name ? this.self : this.peerRef(name);
      if (ref !== undefined) found.push({ name, domain, ref });
    }
    return found;
  }

  /** Keepers by the list alone, known or not; the list's own array is remembered, which changes with the list. */
  private chosen(withSelf: boolean): readonly HostEntry[] {
    const { membership } = this.options;
    const hosts = membership.hosts(HostRole.Entry);
    if (this.choice?.hosts === hosts && this.choice.withSelf === withSelf) return this.choice.keepers;
    const able = hosts.filter(({ name }) => membership.isLive(name) && (withSelf || name !== this.self.name));
    const keepers = chooseKeepers(able, this.options.keepers ?? DEFAULT_KEEPERS);
    this.choice = { hosts, withSelf, keepers };
    this.pinKeepers(keepers);
    return keepers;
  }

  /** A keeper keeps links to the others, since it must know whether they are there. */
  private pinKeepers(keepers: readonly HostEntry[]): void {
    const names = keepers.map(({ name }) => name);
    this.options.pin?.(names.includes(this.self.name) ? names : []);
  }

  /** Looks at the list anew; called in every round. */
  refresh(): void {
    const { membership, timers } = this.options;
    const now = timers.now();
    if (!this.isSighted() || this.isLate(now)) this.readyAt = now + RESUME_MS;
    this.refreshedAt = now;
    if (!this.isViewFresh()) {
      this.absentSince.clear();
      return;
    }
    const isListed = membership.host(this.self.name) !== undefined;
    if (this.isListed && !isListed) this.fence('the host list no longer names this daemon');
    this.isListed = isListed;
    this.isFirstLook = false;
    this.watchAbsences(now);
  }

  private watchAbsences(now: number): void {
    const { membership } = this.options;
    for (const { name } of membership.hosts(HostRole.Entry)) this.learn(name);
    for (const name of this.generations.keys()) {
      if (membership.host(name) !== undefined) {
        this.absentSince.delete(name);
        continue;
      }
      const since = this.absentSince.get(name) ?? now;
      this.absentSince.set(name, since);
      if (now - since >= this.absentAfterMs) this.absent.add(name);
    }
  }

  /** Whether the rounds stood still for so long that the process must have been paused. */
  private isLate(now: number): boolean {
    return !this.isFirstLook && now - this.refreshedAt > this.maxViewAgeMs;
  }

  /**
   * Whether anyone that counts this daemon as gone could tell it: by the list, or, while the list can't be read,
   * because every daemon that was on it is heard.
   */
  private isSighted(): boolean {
    const { membership } = this.options;
    if (membership.isDoubtful()) return false;
    if (this.isViewFresh()) return true;
    const peers = membership.hosts(HostRole.Entry).filter(({ name }) => name !== this.self.name);
    return peers.every(({ name }) => !membership.isLive(name) || membership.isReachable(name));
  }

  private isViewFresh(): boolean {
    const { membership } = this.options;
    return !membership.isDoubtful() && membership.ageMs() <= this.maxViewAgeMs;
  }

  private knownGeneration(peer: string): number | undefined {
    const incarnation = this.options.membership.incarnation(peer) ?? -Infinity;
    const known = Math.max(incarnation, this.generations.get(peer) ?? -Infinity);
    return known === -Infinity ? undefined : known;
  }

  private peerRef(name: string): KeeperRef | undefined {
    const generation = this.knownGeneration(name);
    if (generation === undefined || !this.options.membership.isReachable(name)) return undefined;
    const ref = { name, generation };
    return this.isGone(ref) ? undefined : ref;
  }

  private fence(cause: string): void {
    this.generation += GENERATION_STEP;
    this.onFenced(cause);
  }
}
