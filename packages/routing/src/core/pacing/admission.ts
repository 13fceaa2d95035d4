/**
 * When a daemon may send a prompt to an engine: the daemon that gives the engine its orders spaces the prompts of all.
 *
 * One question for each generation, whatever the number of daemons; without an answer the prompt goes at once.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Claims } from '../authority/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Directory, ReplicaEntry } from '../view/index.js';
import { PromptPacer } from './pacer.js';
import { ReadingRate } from './reading-rate.js';
import type { PromptTurn, Reading } from './types.js';

/** Longest wait for the answer of the daemon that spaces an engine's prompts, in milliseconds: some ways between failure domains. */
const ANSWER_MS = 40;
/** Milliseconds for a token before anything is measured: engines of this kind read 19 to 39 tokens in one. */
const FIRST_GUESS_MS = 0.04;
/** Readings kept of an engine until it is next asked for. */
const MAX_READINGS = 8;

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

  /** What this daemon has seen of engines and has not told yet. */
  private readonly readings = new Map<string, Reading[]>();

  /** How fast the engines of each service read. */
  private readonly rates = new Map<string, ReadingRate>();

  /**
   * Makes one that knows nothing yet.
   * @param parts - The daemon's parts.
   */
  constructor(private readonly parts: PromptPacingParts) {
    parts.cluster.handle(MessageType.PromptTurn, (_from, turn: PromptTurn) => this.decide(turn));
    parts.directory.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.pacers.delete(id);
      this.readings.delete(id);
    });
  }

  /**
   * Asks how long to hold a prompt back.
   * @param prompt - The prompt.
   * @returns Milliseconds; 0 when nobody tells.
   */
  async delayMs(prompt: Omit<PromptTurn, 'readings'>): Promise<number> {
    const { claims, self, cluster, log } = this.parts;
    const holder = claims.of(prompt.replica)?.holder;
    if (holder === undefined) return 0;
    const turn: PromptTurn = { ...prompt, readings: this.readings.get(prompt.replica) ?? [] };
    this.readings.delete(prompt.replica);
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
   * @param replica - The engine.
   * @param reading - The prompt and its first event.
   */
  noteFirstEvent({ id, service }: ReplicaEntry, reading: Reading): void {
    this.rate(service).note(reading);
    const readings = this.readings.get(id) ?? [];
    this.readings.set(id, [...readings, reading].slice(-MAX_READINGS));
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
    const pacer = this.pacers.get(turn.replica) ?? new PromptPacer(() => this.rate(service).msPerToken);
    this.pacers.set(turn.replica, pacer);
    return pacer.delayMs(turn, timers.now());
  }

  private rate(service: string): ReadingRate {
    const rate = this.rates.get(service) ?? new ReadingRate(() => FIRST_GUESS_MS);
    this.rates.set(service, rate);
    return rate;
  }
}
