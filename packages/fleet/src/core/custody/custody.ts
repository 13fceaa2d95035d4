/** Custody that moves between daemons only by explicit handover; one periodic task per daemon. */
import type { Task } from '@celeryyoke/core';
import { hash32, runTask, toCeleryyokeError } from '@celeryyoke/core';

import type { PeerProcedure } from '../peers/index.js';
import type { BucketState } from './bucket.js';
import { createBucketState, isSameTerm, standingTerm } from './bucket.js';
import { ClaimCoordinator } from './claims.js';
import type { CustodyContext } from './context.js';
import { HandoverCoordinator } from './handover.js';
import { isSameDaemon, DaemonTracker } from './daemon-tracker.js';
import { HomeMap } from './home-map.js';
import type { CustodianCandidate } from './daemon-tracker.js';
import { DEFAULT_MAX_CUSTODIANS, pairOf } from './rendezvous.js';
import type { Custody, CustodyCargo, CustodyOptions, CustodyStatus, CustodyTerm } from './types.js';
import type { CustodySection } from './wire.js';
import { BYE, CEDE, CHECK, CLAIM, HAS, sectionSchema, TAKE } from './wire.js';

const DEFAULT_BUCKETS = 256;
const DEFAULT_ROUND_MS = 200;
const DEFAULT_CALL_TIMEOUT_MS = 500;

const NO_CARGO: CustodyCargo = {
  pack: () => [[]],
  unpack: () => undefined,
  drop: () => undefined,
};

/**
 * Custody of one daemon: each round works on handovers that are due and claims buckets that no daemon holds.
 */
class HandoverCustody implements Custody, CustodyContext {
  readonly buckets: number;

  readonly daemons: DaemonTracker;

  private readonly states: readonly BucketState[];

  private readonly homes: HomeMap;

  private readonly handovers: HandoverCoordinator;

  private readonly claims: ClaimCoordinator;

  private readonly task: Task<void>;

  private currentCargo = NO_CARGO;

  private shuttingDown = false;

  constructor(readonly options: CustodyOptions) {
    const { bus } = options;
    this.buckets = options.buckets ?? DEFAULT_BUCKETS;
    this.states = Array.from({ length: this.buckets }, createBucketState);
    this.daemons = new DaemonTracker(options, (cause) => this.dropAll(cause));
    this.homes = new HomeMap(
      this.buckets,
      options.membership,
      options.maxCustodians ?? DEFAULT_MAX_CUSTODIANS,
    );
    this.handovers = new HandoverCoordinator(this);
    this.claims = new ClaimCoordinator(this);
    bus.handle(
      CEDE,
      async (message) => this.isValidBucket(message.term) && this.handovers.handleCede(message),
    );
    bus.handle(
      TAKE,
      async (message) => this.isValidBucket(message.next) && this.handovers.handleTake(message),
    );
    bus.handle(HAS, async (term) => this.isValidBucket(term) && this.handovers.hasTerm(term));
    bus.handle(CLAIM, async (message) => this.claims.handleClaim(message));
    bus.handle(CHECK, async (message) => this.claims.isClaiming(message));
    bus.handle(BYE, async ({ generation }, from) => {
      this.daemons.recordStopped(from.name, generation);
      return true;
    });
    bus.addHeartbeatSection({
      name: 'custody',
      collect: (peer) => this.collectSection(peer),
      merge: (from, data) => this.mergeSection(from.name, sectionSchema.parse(data)),
    });
    this.task = this.startRounds();
  }

  bucketOf(key: string): number {
    return hash32(key) % this.buckets;
  }

  heldTerm(bucket: number): CustodyTerm | undefined {
    const { term, handover } = this.state(bucket);
    if (term === undefined || !this.daemons.mayAct()) return undefined;
    return handover === undefined || isSameTerm(handover.next, term) ? term : undefined;
  }

  homeTerm(bucket: number): CustodyTerm | undefined {
    const term = this.heldTerm(bucket);
    return term !== undefined && isSameDaemon(term.home, this.daemons.self) ? term : undefined;
  }

  likelyHome(bucket: number): string | undefined {
    if (this.homeTerm(bucket) !== undefined) return this.options.bus.self.name;
    const { handover, passedTo } = this.state(bucket);
    return handover?.next.home.name ?? this.homes.likelyHome(bucket) ?? passedTo?.home.name;
  }

  recordHomeHint(bucket: number, home: string): void {
    if (home !== this.options.bus.self.name) this.homes.addHint(bucket, home);
  }

  setCargo(cargo: CustodyCargo): void {
    this.currentCargo = cargo;
  }

  possibleDaemons(): ReadonlySet<string> {
    return this.daemons.possibleDaemons();
  }

  isStopped(name: string, incarnation: number): boolean {
    return this.daemons.isStopped(name, incarnation);
  }

  isFormed(): boolean {
    return this.homes.hasAnyReportedHome() || this.states.some((state) => state.term !== undefined);
  }

  status(): CustodyStatus {
    const { self } = this.daemons;
    const terms = this.states.map(standingTerm).filter((term) => term !== undefined);
    return {
      home: terms.filter((term) => isSameDaemon(term.home, self)).length,
      backup: terms.filter((term) => isSameDaemon(term.backup, self)).length,
      handovers: this.states.filter(({ handover }) => handover?.isStandby === false).length,
      mayAct: this.daemons.mayAct(),
    };
  }

  isSettled(): boolean {
    const candidates = this.candidates();
    return this.states.every((state, bucket) => {
      if (state.handover !== undefined && !state.handover.isStandby) return false;
      return standingTerm(state) !== undefined || !this.shouldBeHome(bucket, candidates);
    });
  }

  async handOverAll(signal: AbortSignal): Promise<void> {
    const { timers, roundMs = DEFAULT_ROUND_MS } = this.options;
    this.shuttingDown = true;
    while (this.states.some((state) => standingTerm(state) !== undefined))
      await timers.sleep(roundMs, signal);
  }

  async stop(): Promise<void> {
    await this.task.stop();
    this.daemons.stopActing();
    const { name, generation } = this.daemons.self;
    const peers = [...this.daemons.possibleDaemons()].filter((peer) => peer !== name);
    const reachable = peers.filter((peer) => this.options.membership.isReachable(peer));
    await Promise.all(reachable.map((peer) => this.call(peer, BYE, { generation })));
  }

  state(bucket: number): BucketState {
    return this.states[bucket]!;
  }

  cargo(): CustodyCargo {
    return this.currentCargo;
  }

  isShuttingDown(): boolean {
    return this.shuttingDown;
  }

  async call<Input>(peer: string, procedure: PeerProcedure<Input, boolean>, input: Input): Promise<boolean> {
    const { bus, callTimeoutMs: timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.options;
    try {
      return await bus.call(peer, procedure, input, { timeoutMs });
    } catch {
      return false;
    }
  }

  private startRounds(): Task<void> {
    const { timers, log, roundMs = DEFAULT_ROUND_MS } = this.options;
    const work = (): Promise<void> => this.runRound();
    return runTask(function* rounds(signal) {
      for (;;) {
        yield timers.sleep(roundMs, signal);
        try {
          yield work();
        } catch (err) {
          if (signal.aborted) throw err;
          log.error(`Custody round failed: ${toCeleryyokeError(err).message}`);
        }
      }
    });
  }

  private async runRound(): Promise<void> {
    this.daemons.refresh();
    const due = this.states.filter((state) => this.handovers.isDue(state));
    await Promise.all(due.map((state) => this.handovers.advance(state)));
    if (!this.shuttingDown) await this.claims.claimBuckets(this.unheldBuckets());
  }

  /** Buckets that this daemon should be the home of and that no daemon is known to hold. */
  private unheldBuckets(): number[] {
    const candidates = this.candidates();
    if (!candidates.some(({ name }) => name === this.options.bus.self.name)) return [];
    const buckets = Array.from(this.states.keys());
    return buckets.filter((bucket) => {
      const { term, handover } = this.state(bucket);
      return (
        term === undefined &&
        handover === undefined &&
        !this.homes.hasReportedHome(bucket) &&
        this.shouldBeHome(bucket, candidates)
      );
    });
  }

  private candidates(): readonly CustodianCandidate[] {
    return this.daemons.candidates(!this.shuttingDown);
  }

  private shouldBeHome(bucket: number, candidates: readonly CustodianCandidate[]): boolean {
    const pair = pairOf(bucket, candidates);
    return pair?.home.name === this.options.bus.self.name;
  }

  private isValidBucket(term: CustodyTerm): boolean {
    return term.bucket >= 0 && term.bucket < this.buckets;
  }

  private dropAll(cause: string): void {
    this.options.log.warn(`Dropping custody of all buckets: ${cause}.`);
    for (const [bucket, state] of this.states.entries()) {
      state.term = undefined;
      state.handover = undefined;
      state.passedTo = undefined;
      state.incoming = undefined;
      this.currentCargo.drop(bucket);
    }
  }

  private collectSection(peer: string): CustodySection {
    const homes = this.homes.encode((bucket) => this.homeTerm(bucket) !== undefined);
    return { generation: this.daemons.self.generation, buried: this.daemons.lostGenerationOf(peer), homes };
  }

  private mergeSection(peer: string, section: CustodySection): void {
    this.daemons.recordGeneration(peer, section.generation);
    if (section.buried !== undefined) this.daemons.handleCountedAsLost(section.buried);
    this.homes.merge(peer, section.homes);
  }
}

/** Creates custody that moves only by explicit handover, and starts its rounds. */
export function createCustody(options: CustodyOptions): Custody {
  return new HandoverCustody(options);
}
