/**
 * Admits prompts to engines: one question to the owner of the engine for each generation.
 *
 * The owner knows which adapters are resident and what all daemons have in flight, so its answer is exact where the
 * sender's own view is a little old. The request counts at the owner from then on, so that its adapter stays. Without
 * an answer the prompt goes at once.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineLeases } from '../ownership/index.js';
import type { Counts, InFlightReport } from '../choice/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { AdmissionFrame, DecisionFrame } from './admission-codec.js';
import { decodeAdmission, decodeDecision, encodeAdmission, encodeDecision } from './admission-codec.js';
import { PromptPacer } from './pacer.js';
import { ReadingRate } from './reading-rate.js';
import type { AdmissionDecision, AdmissionRequest, Prompt, Reading } from './types.js';
import { Verdict } from './types.js';

/** Longest wait for the owner's answer, in milliseconds. */
const ANSWER_MS = 40;
/** Milliseconds for a token before anything is measured. */
const FIRST_GUESS_MS = 0.04;
/** Readings kept of an engine until it is next asked for. */
const MAX_READINGS = 8;
const UNHEARD: AdmissionDecision = { verdict: Verdict.Admitted, delayMs: 0, counts: undefined };

/** What admission uses of the daemon. */
export interface PromptAdmissionOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request' | 'handle'>;
  readonly leases: Pick<EngineLeases, 'of'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Takes the changes of this daemon's requests on an engine out, to be sent along. */
  readonly takeChanges: (replica: string) => InFlightReport;
  /** Takes what a peer told of its requests on an engine that this daemon owns. */
  readonly takeReport: (peer: string, report: InFlightReport) => void;
  /** Tells whether an adapter is resident on an engine that this daemon owns; undefined when it does not know. */
  readonly isResident: (replica: string, key: string) => boolean | undefined;
  /** Counts the requests of all daemons on an engine that this daemon owns. */
  readonly counts: (replica: string) => Counts;
}

/** Admits prompts to the engines that this daemon owns, and asks for those of the others. */
export class PromptAdmission {
  private readonly pacers = new Map<string, PromptPacer>();

  /** What this daemon has seen of engines and has not told yet. */
  private readonly readings = new Map<string, Reading[]>();

  /** How fast the engines of each service read. */
  private readonly rates = new Map<string, ReadingRate>();

  /**
   * Makes one that knows nothing yet.
   * @param options - The daemon's parts.
   */
  constructor(private readonly options: PromptAdmissionOptions) {
    const { cluster, registry, takeReport } = options;
    cluster.handle(MessageType.AdmitPrompt, ({ address }, frame: AdmissionFrame) => {
      const request = decodeAdmission(frame);
      takeReport(address, request.inFlight);
      return encodeDecision(this.decide(request));
    });
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.pacers.delete(id);
      this.readings.delete(id);
    });
  }

  /**
   * Asks the owner of an engine to admit a prompt.
   * @param replica - The engine.
   * @param key - `model/adapter`, where the prompt needs an adapter.
   * @param places - Most requests that the engine may have in flight with this one.
   * @param prompt - The prompt.
   * @returns The owner's decision; at once when nobody answers.
   */
  async admit(
    replica: string,
    key: string | undefined,
    places: number,
    prompt: Prompt,
  ): Promise<AdmissionDecision> {
    const { leases, self, cluster, log, takeChanges } = this.options;
    const owner = leases.of(replica)?.holder;
    if (owner === undefined) return UNHEARD;
    const readings = this.readings.get(replica) ?? [];
    this.readings.delete(replica);
    const inFlight = takeChanges(replica);
    const request: AdmissionRequest = { ...prompt, replica, key, places, readings, inFlight };
    if (owner === self) return this.decide(request);
    try {
      const frame = encodeAdmission(request);
      const answer = await cluster.request(owner, MessageType.AdmitPrompt, frame, ANSWER_MS);
      return decodeDecision(answer as DecisionFrame);
    } catch (err) {
      log.debug(`No admission to ${replica} from ${owner}: ${String(err)}.`);
      return UNHEARD;
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

  private decide(request: AdmissionRequest): AdmissionDecision {
    const { registry, timers, isResident } = this.options;
    const { replica, key, places } = request;
    const service = registry.replica(replica)?.service;
    if (service === undefined) return UNHEARD;
    const counts = this.options.counts(replica);
    if (key !== undefined && isResident(replica, key) === false)
      return { verdict: Verdict.NotResident, delayMs: 0, counts };
    if (counts.running > places) return { verdict: Verdict.Full, delayMs: 0, counts };
    const pacer = this.pacers.get(replica) ?? new PromptPacer(() => this.rate(service).msPerToken);
    this.pacers.set(replica, pacer);
    return { verdict: Verdict.Admitted, delayMs: pacer.delayMs(request, timers.now()), counts };
  }

  private rate(service: string): ReadingRate {
    const rate = this.rates.get(service) ?? new ReadingRate(() => FIRST_GUESS_MS);
    this.rates.set(service, rate);
    return rate;
  }
}
