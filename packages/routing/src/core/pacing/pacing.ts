/**
 * When a daemon may send a prompt to an engine: the daemon that gives the engine its orders spaces the prompts of all.
 *
 * One question for each generation, whatever the number of daemons; without an answer the prompt goes at once.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Claims } from '../authority/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Directory } from '../view/index.js';
import { PromptPacer } from './pacer.js';
import { ReadingRate } from './reading-rate.js';
import type { PromptTurn } from './types.js';

/** Longest wait for the answer of the daemon that spaces an engine's prompts, in milliseconds: some ways between failure domains. */
const ANSWER_MS = 40;

/** What pacing uses of the daemon. */
export interface PromptPacingParts {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request' | 'handle'>;
  readonly claims: Pick<Claims, 'of'>;
  readonly directory: Pick<Directory, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Spaces prompts, for the engines that this daemon gives orders to, and asks for those of the others. */
export class PromptPacing {
  private readonly pacers = new Map<string, PromptPacer>();

  /** How fast the engines of each service read. */
  private readonly rates = new Map<string, ReadingRate>();

  /**
   * Makes one that knows nothing yet.
   * @param parts - The daemon's parts.
   */
  constructor(private readonly parts: PromptPacingParts) {
    parts.cluster.handle(MessageType.PromptTurn, (_from, turn: PromptTurn) => this.decide(turn));
    parts.directory.onReplica((id, entry) => {
      if (entry === undefined) this.pacers.delete(id);
    });
  }

  /**
   * Asks how long to hold a prompt back.
   * @param turn - The prompt.
   * @returns Milliseconds; 0 when nobody tells.
   */
  async delayMs(turn: PromptTurn): Promise<number> {
    const { claims, self, cluster, log } = this.parts;
    const holder = claims.of(turn.replica)?.holder;
    if (holder === undefined) return 0;
    if (holder === self) return this.decide(turn);
    try {
      return Number(await cluster.request(holder, MessageType.PromptTurn, turn, ANSWER_MS));
    } catch (err) {
      log.debug(`No turn for a prompt on ${turn.replica}: ${String(err)}.`);
      return 0;
    }
  }

  /**
   * Notes how long an engine took to its first event.
   * @param service - Its service.
   * @param tokens - Tokens of the prompt.
   * @param ms - Milliseconds from the send on.
   */
  noteFirstEvent(service: string, tokens: number, ms: number): void {
    this.rate(service).note(tokens, ms);
  }

  /**
   * Tells how long a prompt takes to be read.
   * @param service - Service of the engine.
   * @param tokens - Its tokens.
   * @returns Milliseconds.
   */
  readingMs(service: string, tokens: number): number {
    return this.rate(service).msPerToken * tokens;
  }

  private decide(turn: PromptTurn): number {
    const { directory, timers } = this.parts;
    const service = directory.replica(turn.replica)?.service;
    if (service === undefined) return 0;
    const pacer = this.pacers.get(turn.replica) ?? new PromptPacer();
    this.pacers.set(turn.replica, pacer);
    return pacer.delayMs(turn, this.rate(service).msPerToken, timers.now());
  }

  private rate(service: string): ReadingRate {
    const rate = this.rates.get(service) ?? new ReadingRate();
    this.rates.set(service, rate);
    return rate;
  }
}
