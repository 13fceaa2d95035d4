/**
 * Admits prompts to engines: for each generation, the sender asks the owner of the engine once.
 *
 * The owner knows which adapters are resident and what all daemons have in flight, so its decision is exact
 * where the sender's own view is slightly stale. From then on the owner counts the request, so that its
 * adapter is not evicted. Without a response from the owner, the prompt is sent at once.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineLeases } from '../ownership/index.js';
import type { RequestCounts, InFlightReport } from '../choice/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { AdmissionFrame, DecisionFrame } from './admission-codec.js';
import { decodeAdmission, decodeDecision, encodeAdmission, encodeDecision } from './admission-codec.js';
import { PromptPacer } from './prompt-pacer.js';
import { PrefillRate } from './prefill-rate.js';
import type { AdmissionDecision, AdmissionRequest, Prompt, PrefillSample } from './types.js';
import { AdmissionVerdict } from './types.js';

/** Timeout of the call to the owner. */
const OWNER_TIMEOUT_MS = 40;
/** Prefill time of a token until enough is measured. */
const INITIAL_MS_PER_TOKEN = 0.04;
/** Samples of one engine that are stored until the next admission request reports them to its owner. */
const MAX_UNREPORTED_SAMPLES = 8;
const ADMITTED_WITHOUT_OWNER: AdmissionDecision = {
  verdict: AdmissionVerdict.Admitted,
  delayMs: 0,
  counts: undefined,
};

/** Parts of the daemon that admission uses. */
export interface PromptAdmissionOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request' | 'handle'>;
  readonly leases: Pick<EngineLeases, 'leaseOf'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Returns this daemon's changes on an engine that are not reported yet, and marks them as reported. */
  readonly takeChanges: (replica: string) => InFlightReport;
  /** Merges a peer's report of its requests on an engine that this daemon owns. */
  readonly mergeReport: (peer: string, report: InFlightReport) => void;
  /**
   * Returns whether an adapter is resident on an engine that this daemon owns; undefined when that is
   * unknown.
   */
  readonly isResident: (replica: string, key: string) => boolean | undefined;
  /** Returns the requests of all daemons on an engine that this daemon owns. */
  readonly counts: (replica: string) => RequestCounts;
}

/** Decides on prompts for the engines that this daemon owns, and asks the owners of the others. */
export class PromptAdmission {
  private readonly pacers = new Map<string, PromptPacer>();

  /** Prefill samples of this daemon, by engine, that its owner does not have yet. */
  private readonly unreportedSamples = new Map<string, PrefillSample[]>();

  /** Prefill rates by service. */
  private readonly prefillRates = new Map<string, PrefillRate>();

  /** Registers the handler of admission requests, and drops the state of replicas that are removed. */
  constructor(private readonly options: PromptAdmissionOptions) {
    const { cluster, registry, mergeReport } = options;
    cluster.handle(MessageType.AdmitPrompt, ({ address }, frame: AdmissionFrame) => {
      const request = decodeAdmission(frame);
      mergeReport(address, request.inFlight);
      return encodeDecision(this.decide(request));
    });
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.pacers.delete(id);
      this.unreportedSamples.delete(id);
    });
  }

  /**
   * Asks the owner of an engine to admit a prompt.
   * @param key - `model/adapter`; undefined without an adapter.
   * @param maxInFlight - Highest number of requests that the engine may have in flight, this one included.
   * @returns The owner's decision; admitted without a delay when there is no owner or it does not respond.
   */
  async admit(
    replica: string,
    key: string | undefined,
    maxInFlight: number,
    prompt: Prompt,
  ): Promise<AdmissionDecision> {
    const { leases, self, cluster, log, takeChanges } = this.options;
    const owner = leases.leaseOf(replica)?.holder;
    if (owner === undefined) return ADMITTED_WITHOUT_OWNER;
    const prefillSamples = this.unreportedSamples.get(replica) ?? [];
    this.unreportedSamples.delete(replica);
    const inFlight = takeChanges(replica);
    const request: AdmissionRequest = { ...prompt, replica, key, maxInFlight, prefillSamples, inFlight };
    if (owner === self) return this.decide(request);
    try {
      const frame = encodeAdmission(request);
      const response = await cluster.request(owner, MessageType.AdmitPrompt, frame, OWNER_TIMEOUT_MS);
      return decodeDecision(response as DecisionFrame);
    } catch (err) {
      log.debug(`No admission decision for ${replica} from its owner ${owner}: ${String(err)}.`);
      return ADMITTED_WITHOUT_OWNER;
    }
  }

  /**
   * Records the time that an engine took to the first event, for this daemon's estimate and for the owner.
   */
  recordFirstEvent({ id, service }: ReplicaEntry, sample: PrefillSample): void {
    this.prefillRateOf(service).addSample(sample);
    const samples = this.unreportedSamples.get(id) ?? [];
    this.unreportedSamples.set(id, [...samples, sample].slice(-MAX_UNREPORTED_SAMPLES));
  }

  /**
   * Estimates the prefill time of a prompt on an engine of a service.
   * @returns Milliseconds.
   */
  prefillMs(service: string, tokens: number): number {
    return this.prefillRateOf(service).msPerToken * tokens;
  }

  private decide(request: AdmissionRequest): AdmissionDecision {
    const { registry, timers, isResident } = this.options;
    const { replica, key, maxInFlight } = request;
    const service = registry.replica(replica)?.service;
    if (service === undefined) return ADMITTED_WITHOUT_OWNER;
    const counts = this.options.counts(replica);
    if (key !== undefined && isResident(replica, key) === false)
      return { verdict: AdmissionVerdict.NotResident, delayMs: 0, counts };
    if (counts.running > maxInFlight) return { verdict: AdmissionVerdict.Full, delayMs: 0, counts };
    const pacer = this.pacers.get(replica) ?? new PromptPacer(() => this.prefillRateOf(service).msPerToken);
    this.pacers.set(replica, pacer);
    return {
      verdict: AdmissionVerdict.Admitted,
      delayMs: pacer.delayMs(request, counts.running, timers.now()),
      counts,
    };
  }

  private prefillRateOf(service: string): PrefillRate {
    const rate = this.prefillRates.get(service) ?? new PrefillRate(() => INITIAL_MS_PER_TOKEN);
    this.prefillRates.set(service, rate);
    return rate;
  }
}
