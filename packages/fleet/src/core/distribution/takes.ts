/** Takes offered sets whole or not at all. */
import type { ConfigHolder, ConfigSnapshot, PartRef, RootDocument } from '@celeryyoke/configuration';
import { decodeRoot, digestOf, peekSchema } from '@celeryyoke/configuration';
import type { Task, TimerService } from '@celeryyoke/core';
import { CeleryyokeError, runTask } from '@celeryyoke/core';

import type { DecodedParts } from './gather.js';
import { assemble, Gatherer } from './gather.js';
import type { Parts } from './parts.js';
import type { PeerBook } from './peer-book.js';
import type { Refusals } from './refusals.js';
import type { DistributionSettings, Offer } from './types.js';
import { Origin } from './types.js';

/** Sets that are being fetched at once; the oldest gives way. */
const TAKES_LIMIT = 4;

/** Rounds without a part after which operators are told. */
const ROUNDS_BEFORE_REPORT = 3;

/** Options of the takes. */
export interface TakesOptions {
  readonly site: string;
  readonly holder: ConfigHolder;
  readonly parts: Parts;
  readonly book: PeerBook;
  readonly refusals: Refusals;
  readonly timers: TimerService;
  readonly settings: DistributionSettings;
  /** Called with a set that is whole and newer; it puts it in force. */
  readonly onWhole: (set: WholeSet) => void;
}

/** A set that is whole. */
export interface WholeSet {
  readonly root: RootDocument;
  readonly text: string;
  readonly offer: Offer;
  readonly snapshot: ConfigSnapshot;
}

/** Names a set in the memory of refusals; its digest fixes the contents. */
export function setKey(revision: number, digest: string): string {
  return `${revision}:${digest}`;
}

interface Take {
  readonly root: RootDocument;
  readonly origin: Origin;
  readonly task: Task<void>;
}

/**
 * Names where an offer came from.
 * @param offer - The offer.
 * @returns Such as `service` or `peer entry-3`.
 */
export function describeOrigin({ origin, peer }: Offer): string {
  return peer === undefined ? origin : `${origin} ${peer}`;
}

/** The takes of one daemon. */
export class Takes {
  private readonly takes = new Map<string, Take>();

  /** Offers that wait until every peer can read them. */
  private readonly held = new Map<string, Offer>();

  private readonly gatherer: Gatherer;

  /**
   * Makes the takes of a daemon that has nothing in force.
   * @param options - Where parts come from, and what becomes of whole sets.
   */
  constructor(private readonly options: TakesOptions) {
    this.gatherer = new Gatherer(options.parts, options.settings.lanes);
  }

  /**
   * Considers an offer, and begins to fetch its parts if it may be put in force.
   * @param offer - A root document.
   * @returns Whether it is newer than what is in force and not refused.
   */
  consider(offer: Offer): boolean {
    const { refusals } = this.options;
    const textKey = digestOf(offer.text);
    if (refusals.has(textKey)) return false;
    let root: RootDocument;
    try {
      root = this.read(offer.text);
    } catch (err) {
      const from = describeOrigin(offer);
      refusals.refuse({ key: textKey, revision: undefined, from, reason: (err as Error).message });
      return false;
    }
    const key = setKey(root.revision, root.digest);
    if (refusals.has(key) || !this.isWanted(key, root, offer)) return false;
    if (!this.takes.has(key)) this.begin(key, root, offer);
    return true;
  }

  /** Considers again what was held back. */
  reconsider(): void {
    const offers = [...this.held.values()];
    this.held.clear();
    for (const offer of offers) this.consider(offer);
  }

  /** Whether a set is being fetched or held back. */
  isTaking(key: string): boolean {
    return this.takes.has(key) || this.held.has(key);
  }

  /** Root documents of the sets that are being fetched. */
  roots(): RootDocument[] {
    return [...this.takes.values()].map(({ root }) => root);
  }

  /**
   * Tells whether an offer is what was announced; a peer may have moved on since.
   * @param offer - What the peer gave.
   * @param announced - What it announced.
   * @returns Whether it may be believed.
   */
  matches(offer: Offer, announced: { readonly revision: number; readonly digest: string }): boolean {
    try {
      const { revision, digest } = this.read(offer.text);
      return (
        revision > announced.revision || (revision === announced.revision && digest === announced.digest)
      );
    } catch {
      // What can't be read is refused with its own reason.
      return true;
    }
  }

  /** Ends takes that can no longer come in force. */
  dropUpTo(revision: number): void {
    for (const [key, take] of this.takes) if (take.root.revision <= revision) this.drop(key, take);
  }

  /** Ends every take. */
  async stop(): Promise<void> {
    const tasks = [...this.takes.values()].map(({ task }) => task.stop());
    this.takes.clear();
    await Promise.all(tasks);
  }

  private read(text: string): RootDocument {
    const root = decodeRoot(text);
    if (root.site === this.options.site) return root;
    const reason = `is "${root.site}", expected "${this.options.site}"`;
    throw new CeleryyokeError('ConfigInvalid', { place: 'root.site', reason });
  }

  private isWanted(key: string, root: RootDocument, offer: Offer): boolean {
    const { holder, refusals } = this.options;
    const inForce = holder.current();
    const from = describeOrigin(offer);
    if (inForce !== undefined && root.revision <= inForce.revision) {
      if (key === setKey(inForce.revision, inForce.digest)) return false;
      const what = root.revision === inForce.revision ? 'has other contents than' : 'is older than';
      const reason = `it ${what} revision ${inForce.revision} with digest ${inForce.digest}, which is in force`;
      refusals.refuse({ key, revision: root.revision, from, reason });
      return false;
    }
    const reason = this.reasonToHold(root, offer.text);
    if (reason === undefined) return true;
    this.held.set(key, offer);
    if (this.held.size > TAKES_LIMIT) this.held.delete(this.held.keys().next().value!);
    refusals.refuse({ key: `${key} ${reason}`, revision: root.revision, from, reason });
    return false;
  }

  /**
   * Holds a set back while a peer runs a release that can't read its schema, so that daemons of two releases
   * refuse alike. A set that is in force at a peer is past that point.
   */
  private reasonToHold({ digest }: RootDocument, text: string): string | undefined {
    const { book } = this.options;
    const schema = peekSchema(text) ?? 0;
    const least = book.leastSchema();
    if (least === undefined || least.schema >= schema) return undefined;
    if (book.announced().some((one) => one.digest === digest)) return undefined;
    return `root.schema: schema ${schema} is not known to ${least.peer}, which reads up to ${least.schema}`;
  }

  private begin(key: string, root: RootDocument, offer: Offer): void {
    if (offer.origin === Origin.Service) this.dropOthersOfService();
    const [oldest] = this.takes;
    if (this.takes.size >= TAKES_LIMIT && oldest !== undefined) this.drop(...oldest);
    const { takes } = this;
    const body = this.run.bind(this, key, root, offer);
    const task = runTask(function* take(signal) {
      try {
        yield* body(signal);
      } finally {
        if (takes.get(key)?.task === task) takes.delete(key);
      }
    });
    takes.set(key, { root, origin: offer.origin, task });
  }

  /** What the service no longer shows need not be fetched; a peer that has it in force offers it again. */
  private dropOthersOfService(): void {
    for (const [key, take] of this.takes) if (take.origin === Origin.Service) this.drop(key, take);
  }

  private drop(key: string, take: Take): void {
    this.takes.delete(key);
    void take.task.stop();
  }

  private *run(key: string, root: RootDocument, offer: Offer, signal: AbortSignal): Generator<unknown, void> {
    const { timers, settings, refusals, onWhole } = this.options;
    const decoded: DecodedParts = new Map();
    const from = describeOrigin(offer);
    let pause = settings.retryMinMs;
    for (let round = 1; ; round++) {
      try {
        const missing = (yield this.gatherer.gather(root, decoded, signal)) as PartRef | undefined;
        if (missing === undefined) {
          onWhole({ root, text: offer.text, offer, snapshot: assemble(root, decoded) });
          this.gatherer.keep(decoded);
          return;
        }
        if (round === ROUNDS_BEFORE_REPORT) {
          const reason = `${missing.section}[${missing.index}]: part ${missing.digest} can't be had; still trying`;
          refusals.refuse({ key: `${key} incomplete`, revision: root.revision, from, reason });
        }
      } catch (err) {
        if (signal.aborted) return;
        refusals.refuse({ key, revision: root.revision, from, reason: (err as Error).message });
        return;
      }
      yield timers.sleep(pause, signal);
      pause = Math.min(settings.retryMaxMs, pause * 2);
    }
  }
}
