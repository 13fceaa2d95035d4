/** Gives each upstream to one suspect at a time, at the one daemon that its name ranks first. */
import type { TimerService } from '@celeryyoke/core';
import { hash32 } from '@celeryyoke/core';
import { HostRole } from '@celeryyoke/platform';

import type { Membership } from '../membership/index.js';
import type { PeerIdentity } from '../peers/index.js';
import type { IsolateMessage, ReleaseMessage } from './wire.js';

interface Claim {
  readonly fingerprint: string;
  readonly daemon: string;
  readonly incarnation: number;
  readonly token: string;
  readonly until: number;
}

/**
 * Finds the daemon that arbitrates an upstream.
 * @param upstream - The upstream.
 * @param membership - The hosts, by this daemon's view.
 * @returns The daemon's name, or undefined when none is live.
 */
export function arbiterOf(upstream: string, membership: Membership): string | undefined {
  let best: string | undefined;
  let bestRank = -1;
  for (const { name } of membership.hosts(HostRole.Entry)) {
    const rank = hash32(`${upstream}/${name}`);
    if (!membership.isLive(name) || rank <= bestRank) continue;
    best = name;
    bestRank = rank;
  }
  return best;
}

/** Claims that this daemon arbitrates. */
export class SuspectArbiter {
  private readonly claims = new Map<string, Claim>();

  constructor(
    private readonly membership: Membership,
    private readonly timers: TimerService,
    private readonly claimMs: number,
  ) {}

  /** Gives an upstream to a suspect unless another one has it. */
  claim({ fingerprint, upstream, token }: IsolateMessage, from: PeerIdentity): boolean {
    const held = this.claims.get(upstream);
    if (held !== undefined && held.token !== token && this.isInForce(held)) return false;
    const until = this.timers.now() + this.claimMs;
    const { name: daemon, incarnation } = from;
    this.claims.set(upstream, { fingerprint, daemon, incarnation, token, until });
    return true;
  }

  /** Takes an upstream back. */
  release({ upstream, token }: ReleaseMessage): void {
    if (this.claims.get(upstream)?.token === token) this.claims.delete(upstream);
  }

  private isInForce({ daemon, incarnation, until }: Claim): boolean {
    if (until <= this.timers.now()) return false;
    const heard = this.membership.incarnationOf(daemon);
    return heard === undefined || heard <= incarnation;
  }
}
