/** A period in which this daemon's views of the host list have shown it as the owner of a resource. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import { claimBoundMs, reportFreshMs, takeOverBoundMs } from './bounds.js';
import { nextFencingToken } from './fencing.js';
import type { ViewLease } from './lease.js';
import type { OwnedResource, OwnershipTimes } from './types.js';
import { Arbitration, Authority } from './types.js';

/** State shared by all tenures of a daemon. */
export interface TenureContext {
  readonly ownerId: string;
  readonly timers: TimerService;
  readonly times: OwnershipTimes;
  readonly lease: ViewLease;
  readonly checksLeases: boolean;
}

/** How full authority was obtained; the values are causes in the audit trail. */
export enum FullAuthorityBasis {
  Released = 'handed over by the last owner',
  Waited = 'the last owner was waited out',
  Claimed = 'the engine refuses the last owner',
}

/**
 * Computes what this daemon may do about a resource during one period of ownership. Full authority is
 * obtained by a release from the previous owner, by the take-over wait, or by the engine, once it is known to
 * refuse other owners.
 */
export class Tenure {
  private startedAt: Moment;

  private basis: FullAuthorityBasis | undefined;

  private ownToken: number | undefined;

  private claimedAt: Moment | undefined;

  private fencedAt: Moment | undefined;

  private highestObservedToken = 0;

  private lastObservedAt: Moment | undefined;

  /** The authority that subscribers were last notified of. */
  notifiedAuthority = Authority.None;

  constructor(
    readonly resource: OwnedResource,
    /** Daemons that may have been the owner before. */
    readonly predecessors: ReadonlySet<string>,
    private readonly context: TenureContext,
  ) {
    this.startedAt = readClocks(context.timers);
  }

  /** How full authority was obtained; undefined while it has not been. */
  get fullAuthorityBasis(): FullAuthorityBasis | undefined {
    return this.basis;
  }

  /** Milliseconds since this tenure started or was restarted. */
  ageMs(): number {
    return elapsedSince(this.startedAt, this.context.timers);
  }

  /** Restarts the take-over wait, since another daemon may have been the owner meanwhile. */
  restart(): void {
    this.startedAt = readClocks(this.context.timers);
    this.basis = undefined;
  }

  /** Records that the previous owner has released the resource to this daemon. */
  markReleased(): void {
    this.basis ??= FullAuthorityBasis.Released;
  }

  /** Fencing token of this tenure, generated on first use. */
  fencingToken(): number {
    this.ownToken ??= nextFencingToken(this.highestObservedToken, this.context.ownerId);
    return this.ownToken;
  }

  /**
   * Records the fencing token in a report of the engine; a greater one than this daemon's ends its authority.
   */
  observeFencingToken(token: number): void {
    const { timers, times } = this.context;
    this.lastObservedAt = readClocks(timers);
    this.highestObservedToken = Math.max(this.highestObservedToken, token);
    const { ownToken } = this;
    if (ownToken === undefined) return;
    if (token === ownToken) this.claimedAt ??= this.lastObservedAt;
    if (token > ownToken) this.handleFencedOff();
    // A smaller token means that the engine has restarted, unless the report lags behind the claim.
    const isSettled =
      this.claimedAt !== undefined && elapsedSince(this.claimedAt, timers) > times.reportLagMs;
    if (token < ownToken && isSettled) this.loseClaim();
  }

  /** Whether the engine checks fencing tokens and has not yet reported the one of this tenure. */
  needsClaim(): boolean {
    return (
      this.resource.arbitration === Arbitration.Fenced && this.claimedAt === undefined && !this.isFencedOff()
    );
  }

  /** What this daemon may do about the resource at this moment. */
  authority(): Authority {
    const { lease, checksLeases } = this.context;
    if (!checksLeases) return Authority.Full;
    if (this.isFencedOff()) return Authority.None;
    const isFresh = lease.isFresh();
    if (this.hasFullAuthority(isFresh)) return Authority.Full;
    const mustWait = this.resource.arbitration === Arbitration.Exclusive;
    if (isFresh) return mustWait ? Authority.Waiting : Authority.Additive;
    return !mustWait && lease.isConfirmedStale() ? Authority.Additive : Authority.None;
  }

  /** Whether slot leases may be granted at this moment; the conditions are stated in `Ownership`. */
  mayGrantSlotLeases(): boolean {
    const authority = this.authority();
    if (authority === Authority.Full) return true;
    const { lease } = this.context;
    return authority === Authority.Additive && this.basis !== undefined && lease.isConfirmedStale();
  }

  private hasFullAuthority(isFresh: boolean): boolean {
    if (this.isEnforcedByEngine()) {
      this.basis ??= FullAuthorityBasis.Claimed;
      return true;
    }
    if (!isFresh) return false;
    // Authority that rests on a claim alone ends when the engine's reports stop; then the take-over wait
    // applies.
    if (this.basis === FullAuthorityBasis.Released || this.basis === FullAuthorityBasis.Waited) return true;
    const { times, lease } = this.context;
    if (this.ageMs() < takeOverBoundMs(times) || !lease.hasMajority()) return false;
    this.basis = FullAuthorityBasis.Waited;
    return true;
  }

  /** Whether recent reports show that the engine refuses other owners, and has done so for long enough. */
  private isEnforcedByEngine(): boolean {
    const { timers, times } = this.context;
    if (this.claimedAt === undefined || this.lastObservedAt === undefined) return false;
    if (this.resource.arbitration !== Arbitration.Fenced) return false;
    const isSettled = this.basis !== undefined || elapsedSince(this.claimedAt, timers) >= claimBoundMs(times);
    return isSettled && elapsedSince(this.lastObservedAt, timers) <= reportFreshMs(times);
  }

  private loseClaim(): void {
    this.claimedAt = undefined;
    if (this.basis === FullAuthorityBasis.Claimed) this.basis = undefined;
  }

  /** Another daemon has claimed a greater fencing token, so it sees itself as the owner. */
  private handleFencedOff(): void {
    this.fencedAt = readClocks(this.context.timers);
    this.claimedAt = undefined;
    this.ownToken = undefined;
    this.restart();
  }

  /**
   * Whether another daemon has fenced this one off and no host list read since then shows this one as the
   * owner.
   */
  private isFencedOff(): boolean {
    const { fencedAt, context } = this;
    if (fencedAt === undefined) return false;
    if (!context.lease.isRenewedSince(fencedAt)) return true;
    this.fencedAt = undefined;
    return false;
  }
}
