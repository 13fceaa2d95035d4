/** Custody that daemons agree on by hand-over, one task for each daemon. */
import type { Task } from '@celeryyoke/core';
import { hash32, runTask, toCeleryyokeError } from '@celeryyoke/core';

import type { PeerProcedure } from '../peers/index.js';
import type { BucketState } from './bucket.js';
import { createBucketState, isSameTerm, standingTerm } from './bucket.js';
import { ClaimDesk } from './claims.js';
import type { CustodyContext } from './context.js';
import { HandoverDesk } from './handover.js';
import { isSameKeeper, Keepers } from './daemon-tracker.js';
import { HomeMap } from './home-map.js';
import type { KeeperCandidate } from './daemon-tracker.js';
import { DEFAULT_KEEPERS, pairOf } from './rendezvous.js';
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

/** Custody of one daemon. */
class AgreedCustody implements Custody, CustodyContext {
  readonly buckets: number;

  readonly keepers: Keepers;

  private readonly states: readonly BucketState[];

  private readonly homes: HomeMap;

  private readonly desk: HandoverDesk;

  private readonly claims: ClaimDesk;

  private readonly task: Task<void>;

  private cargoCarried = NO_CARGO;

  private leaving = false;

  constructor(readonly options: CustodyOptions) {
    const { bus } = options;
    this.buckets = options.buckets ?? DEFAULT_BUCKETS;
    this.states = Array.from({ length: this.buckets }, createBucketState);
    this.keepers = new Keepers(options, (cause) => this.forgetAll(cause));
    this.homes = new HomeMap(this.buckets, options.membership, options.keepers ?? DEFAULT_KEEPERS);
    this.desk = new HandoverDesk(this);
    this.claims = new ClaimDesk(this);
    bus.handle(CEDE, async (message) => this.isKnown(message.term) && this.desk.cede(message));
    bus.handle(TAKE, async (message) => this.isKnown(message.next) && this.desk.take(message));
    bus.handle(HAS, async (term) => this.isKnown(term) && this.desk.has(term));
    bus.handle(CLAIM, async (message) => this.claims.answer(message));
    bus.handle(CHECK, async (message) => this.claims.isClaiming(message));
    bus.handle(BYE, async ({ generation }, from) => {
      this.keepers.heardRetired(from.name, generation);
      return true;
    });
    bus.contribute({
      name: 'custody',
      collect: (peer) => this.collect(peer),
      absorb: (from, data) => this.absorb(from.name, sectionSchema.parse(data)),
    });
    this.task = this.runRounds();
  }

  bucketOf(key: string): number {
    return hash32(key) % this.buckets;
  }

  holding(bucket: number): CustodyTerm | undefined {
    const { term, handover } = this.state(bucket);
    if (term === undefined || !this.keepers.mayAct()) return undefined;
    return handover === undefined || isSameTerm(handover.next, term) ? term : undefined;
  }

  homeTerm(bucket: number): CustodyTerm | undefined {
    const term = this.holding(bucket);
    return term !== undefined && isSameKeeper(term.home, this.keepers.self) ? term : undefined;
  }

  locate(bucket: number): string | undefined {
    if (this.homeTerm(bucket) !== undefined) return this.options.bus.self.name;
    const { handover, passedTo } = this.state(bucket);
    return handover?.next.home.name ?? this.homes.find(bucket) ?? passedTo?.home.name;
  }

  hint(bucket: number, home: string): void {
    if (home !== this.options.bus.self.name) this.homes.hint(bucket, home);
  }

  carry(cargo: CustodyCargo): void {
    this.cargoCarried = cargo;
  }

  possible(): ReadonlySet<string> {
    return this.keepers.possible();
  }

  isStopped(name: string, incarnation: number): boolean {
    return this.keepers.isStopped(name, incarnation);
  }

  isFormed(): boolean {
    return this.homes.isAnyTold() || this.states.some((state) => state.term !== undefined);
  }

  status(): CustodyStatus {
    const { self } = this.keepers;
    const terms = this.states.map(standingTerm).filter((term) => term !== undefined);
    return {
      home: terms.filter((term) => isSameKeeper(term.home, self)).length,
      backup: terms.filter((term) => isSameKeeper(term.backup, self)).length,
      handovers: this.states.filter(({ handover }) => handover?.isDeputy === false).length,
      mayAct: this.keepers.mayAct(),
    };
  }

  isSettled(): boolean {
    const candidates = this.candidates();
    return this.states.every((state, bucket) => {
      if (state.handover !== undefined && !state.handover.isDeputy) return false;
      return standingTerm(state) !== undefined || !this.isMine(bucket, candidates);
    });
  }

  async leave(signal: AbortSignal): Promise<void> {
    const { timers, roundMs = DEFAULT_ROUND_MS } = this.options;
    this.leaving = true;
    while (this.states.some((state) => standingTerm(state) !== undefined))
      await timers.sleep(roundMs, signal);
  }

  async stop(): Promise<void> {
    await this.task.stop();
    this.keepers.retire();
    const { name, generation } = this.keepers.self;
    const peers = [...this.keepers.possible()].filter((peer) => peer !== name);
    const reachable = peers.filter((peer) => this.options.membership.isReachable(peer));
    await Promise.all(reachable.map((peer) => this.call(peer, BYE, { generation })));
  }

  state(bucket: number): BucketState {
    return this.states[bucket]!;
  }

  cargo(): CustodyCargo {
    return this.cargoCarried;
  }

  isLeaving(): boolean {
    return this.leaving;
  }

  async call<Input>(peer: string, procedure: PeerProcedure<Input, boolean>, input: Input): Promise<boolean> {
    const { bus, callTimeoutMs: timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.options;
    try {
      return await bus.call(peer, procedure, input, { timeoutMs });
    } catch {
      return false;
    }
  }

  private runRounds(): Task<void> {
    const { timers, log, roundMs = DEFAULT_ROUND_MS } = this.options;
    const work = (): Promise<void> => this.round();
    return runTask(function* rounds(signal) {
      for (;;) {
        yield timers.sleep(roundMs, signal);
        try {
          yield work();
        } catch (err) {
          if (signal.aborted) throw err;
          log.error(`A round of custody failed: ${toCeleryyokeError(err).message}`);
        }
      }
    });
  }

  private async round(): Promise<void> {
    this.keepers.refresh();
    const due = this.states.filter((state) => this.desk.isDue(state));
    await Promise.all(due.map((state) => this.desk.work(state)));
    if (!this.leaving) await this.claims.claim(this.unkept());
  }

  /** Buckets that this daemon should be the home of and that nobody is known to keep. */
  private unkept(): number[] {
    const candidates = this.candidates();
    if (!candidates.some(({ name }) => name === this.options.bus.self.name)) return [];
    const buckets = Array.from(this.states.keys());
    return buckets.filter((bucket) => {
      const { term, handover } = this.state(bucket);
      return (
        term === undefined &&
        handover === undefined &&
        !this.homes.isTold(bucket) &&
        this.isMine(bucket, candidates)
      );
    });
  }

  private candidates(): readonly KeeperCandidate[] {
    return this.keepers.candidates(!this.leaving);
  }

  private isMine(bucket: number, candidates: readonly KeeperCandidate[]): boolean {
    const pair = pairOf(bucket, candidates);
    return pair?.home.name === this.options.bus.self.name;
  }

  private isKnown(term: CustodyTerm): boolean {
    return term.bucket >= 0 && term.bucket < this.buckets;
  }

  private forgetAll(cause: string): void {
    this.options.log.warn(`Custody is given up because ${cause}.`);
    for (const [bucket, state] of this.states.entries()) {
      state.term = undefined;
      state.handover = undefined;
      state.passedTo = undefined;
      state.incoming = undefined;
      this.cargoCarried.drop(bucket);
    }
  }

  private collect(peer: string): CustodySection {
    const homes = this.homes.encode((bucket) => this.homeTerm(bucket) !== undefined);
    return { generation: this.keepers.self.generation, buried: this.keepers.buriedGeneration(peer), homes };
  }

  private absorb(peer: string, section: CustodySection): void {
    this.keepers.heard(peer, section.generation);
    if (section.buried !== undefined) this.keepers.heardBuried(section.buried);
    this.homes.absorb(peer, section.homes);
  }
}

/**
 * Makes custody that moves only by explicit hand-over.
 * @param options - Bus, membership, time and bounds.
 * @returns The custody, which has begun its rounds.
 */
export function createCustody(options: CustodyOptions): Custody {
  return new AgreedCustody(options);
}
