/** The fleet's suspects, as one daemon knows them. */
import type { SuspectRequest } from '@celeryyoke/core';
import { AuditKind, CrashLog, Suspicion } from '@celeryyoke/core';
import { HostRole } from '@celeryyoke/platform';
import { v4 as makeToken } from 'uuid';

import type { PeerProcedure } from '../peers/index.js';
import { arbiterOf, SuspectArbiter } from './arbiter.js';
import { InFlight } from './inflight.js';
import type { IsolationPass, Quarantine, SuspectRegistry, SuspectRegistryOptions } from './types.js';
import type { SuspectSection } from './wire.js';
import { CLEAR, CRASH, CRASHES_PER_BEAT, ISOLATE, MAX_FINGERPRINTS, RELEASE, sectionSchema } from './wire.js';

const DEFAULT_QUARANTINE_MS = 600_000;
const DEFAULT_MAX_CRASHES = 2;
const DEFAULT_SAME_CRASH_MS = 3000;
const DEFAULT_CAPACITY = 4096;
const DEFAULT_CALL_TIMEOUT_MS = 300;
/** A suspect runs apart from others, so a crash under it needs no further reports. */
const SETTLE_MS = 0;
const EXPIRY_INTERVAL_MS = 1000;
const CLEARED_PER_BEAT = 64;

/** The registry of one daemon. */
class SharedRegistry implements SuspectRegistry {
  private readonly log: CrashLog;

  private readonly inFlight = new InFlight();

  private readonly arbiter: SuspectArbiter;

  private readonly occupiedByPeers = new Map<string, readonly string[]>();

  private readonly timeoutMs: number;

  private readonly expiry: { cancel(): void };

  constructor(private readonly options: SuspectRegistryOptions) {
    const { bus, membership, timers } = options;
    const quarantineMs = options.quarantineMs ?? DEFAULT_QUARANTINE_MS;
    const suspectMs = Math.max(quarantineMs, options.suspectMs ?? DEFAULT_QUARANTINE_MS);
    this.timeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    const bounds = {
      timers,
      quarantineMs,
      suspectMs,
      minCrashes: options.maxCrashes ?? DEFAULT_MAX_CRASHES,
      maxCrashes: options.maxCrashes ?? DEFAULT_MAX_CRASHES,
      settleMs: SETTLE_MS,
      sameCrashMs: options.sameCrashMs ?? DEFAULT_SAME_CRASH_MS,
      capacity: options.capacity ?? DEFAULT_CAPACITY,
    };
    this.log = new CrashLog(bounds, {
      quarantined: (fingerprint, upstreams) => this.auditSet(fingerprint, upstreams),
      lifted: (fingerprint) => this.auditLifted(fingerprint),
    });
    this.arbiter = new SuspectArbiter(membership, timers, suspectMs);
    bus.handle(CRASH, async ({ upstream, ageMs, fingerprints }) => {
      this.log.add(upstream, timers.now() - ageMs, withoutShared(fingerprints));
      return true;
    });
    bus.handle(CLEAR, async ({ fingerprint, ageMs }) => this.log.clear(fingerprint, timers.now() - ageMs));
    bus.handle(ISOLATE, async (want, from) => this.arbiter.claim(want, from));
    bus.handle(RELEASE, async (message) => {
      this.arbiter.release(message);
      return true;
    });
    bus.addHeartbeatSection({
      name: 'suspects',
      collect: () => this.collect(),
      merge: (from, data) => this.absorb(from.name, sectionSchema.parse(data)),
    });
    this.expiry = timers.repeat(EXPIRY_INTERVAL_MS, () => this.log.expire());
  }

  lookUp(fingerprint: string): Suspicion {
    return this.log.lookUp(fingerprint);
  }

  upstreamsWithSuspects(): ReadonlySet<string> {
    return new Set([...this.ownOccupied(), ...[...this.occupiedByPeers.values()].flat()]);
  }

  async isolate(fingerprint: string, upstream: string): Promise<IsolationPass | undefined> {
    const { bus, membership } = this.options;
    const arbiter = arbiterOf(upstream, membership);
    if (arbiter === undefined) return undefined;
    const { timeoutMs } = this;
    const token = makeToken();
    const release = (): void => {
      bus.call(arbiter, RELEASE, { upstream, token }, { timeoutMs }).catch(() => undefined);
    };
    try {
      const isGiven = await bus.call(arbiter, ISOLATE, { fingerprint, upstream, token }, { timeoutMs });
      return isGiven ? { leave: release } : undefined;
    } catch {
      release();
      return undefined;
    }
  }

  started(fingerprint: string, upstream: string): void {
    this.inFlight.add(fingerprint, upstream);
  }

  ended(fingerprint: string, upstream: string, ok: boolean): void {
    const wasRunning = this.inFlight.remove(fingerprint, upstream);
    if (!ok || !wasRunning || this.log.lookUp(fingerprint) !== Suspicion.Suspect) return;
    if (this.log.clear(fingerprint, this.options.timers.now())) {
      void this.tellPeers(CLEAR, { fingerprint, ageMs: 0 });
    }
  }

  async crashed(upstream: string): Promise<void> {
    const fingerprints = this.inFlight.takeAll(upstream).slice(0, MAX_FINGERPRINTS);
    if (fingerprints.length === 0) return;
    const { log, timers } = this.options;
    log.warn(`Upstream ${upstream} crashed with ${fingerprints.length} different requests in flight.`);
    this.log.add(upstream, timers.now(), withoutShared(fingerprints));
    await this.tellPeers(CRASH, { upstream, ageMs: 0, fingerprints });
  }

  quarantines(): readonly Quarantine[] {
    const now = this.options.timers.now();
    return [...this.log.quarantined()].map(([fingerprint, { upstreams, until }]) => ({
      fingerprint,
      upstreams,
      remainingMs: Math.max(0, until - now),
    }));
  }

  stop(): void {
    this.expiry.cancel();
  }

  private async tellPeers<Input>(procedure: PeerProcedure<Input, boolean>, input: Input): Promise<void> {
    const { bus, membership } = this.options;
    const peers = membership.hosts(HostRole.Entry).filter((host) => host.name !== bus.self.name);
    const { timeoutMs } = this;
    await Promise.allSettled(peers.map((peer) => bus.call(peer.name, procedure, input, { timeoutMs })));
  }

  private ownOccupied(): string[] {
    return this.inFlight
      .upstreamsOf((fingerprint) => this.log.lookUp(fingerprint) !== Suspicion.Clear)
      .slice(0, MAX_FINGERPRINTS);
  }

  private collect(): SuspectSection {
    const now = this.options.timers.now();
    const crashes = this.log.recent().slice(0, CRASHES_PER_BEAT);
    return {
      crashes: crashes.map(({ upstream, at, features }) => ({
        upstream,
        ageMs: now - at,
        fingerprints: [...features].slice(0, MAX_FINGERPRINTS),
      })),
      cleared: this.log
        .cleared()
        .slice(0, CLEARED_PER_BEAT)
        .map(([fingerprint, at]) => ({ fingerprint, ageMs: now - at })),
      occupied: this.ownOccupied(),
    };
  }

  private absorb(peer: string, section: SuspectSection): void {
    const now = this.options.timers.now();
    for (const { fingerprint, ageMs } of section.cleared) this.log.clear(fingerprint, now - ageMs);
    for (const { upstream, ageMs, fingerprints } of section.crashes) {
      this.log.add(upstream, now - ageMs, withoutShared(fingerprints));
    }
    this.occupiedByPeers.set(peer, section.occupied);
  }

  private auditSet(fingerprint: string, upstreams: readonly string[]): void {
    const { audit, log } = this.options;
    const cause = `It crashed ${upstreams.join(' and ')}.`;
    log.warn(`Request ${fingerprint} is quarantined. ${cause}`);
    audit.record({ kind: AuditKind.QuarantineSet, subject: fingerprint, cause, after: { upstreams } });
  }

  private auditLifted(fingerprint: string): void {
    const { audit, log } = this.options;
    log.info(`Request ${fingerprint} is no longer quarantined.`);
    audit.record({ kind: AuditKind.QuarantineLifted, subject: fingerprint, cause: 'Its time is over.' });
  }
}

/** Requests that share nothing with others as far as this program looks at them. */
function withoutShared(fingerprints: readonly string[]): SuspectRequest[] {
  return fingerprints.map((fingerprint) => ({ fingerprint, shared: [] }));
}

/**
 * Makes the registry of suspects of one daemon.
 * @param options - Peers, time and bounds.
 * @returns The registry.
 */
export function createSuspectRegistry(options: SuspectRegistryOptions): SuspectRegistry {
  return new SharedRegistry(options);
}
