/** Asks peers whether they hear from replicas that this daemon does not, and answers the same question of theirs. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { Cluster, Member } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { PeerSource } from './reaching-peers.js';
import { reachingPeers } from './reaching-peers.js';
import type { PeerEvidence } from './types.js';

/** Peers that are asked at once. */
const MAX_PEERS = 5;
/** Replicas that a question names at most. */
const MAX_REPLICAS = 16;
/** Time in which a peer must answer, in milliseconds: it may connect to replicas before. */
const ASK_TIMEOUT_MS = 350;
/** Age up to which a peer says that it has heard from a replica, in milliseconds. */
const HEARD_MS = 1500;

/** Time after a pause of this process in which it reads what had arrived before, in milliseconds. */
const STALE_READ_MS = 300;

type QuestionFrame = readonly [service: string, replicas: readonly string[], mustConnect: boolean];
type HeardFrame = readonly [replica: string, agoMs: number];
type AnswerFrame = readonly [heard: readonly HeardFrame[], isReached: boolean];

/** Options of {@link PeerWitness}. */
export interface PeerWitnessOptions extends PeerSource {
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'state' | 'request' | 'handle'>;
  /** Time since this daemon has heard from a replica itself, in milliseconds; infinite if it has not. */
  readonly heardAgoMs: (replica: string) => number;
  /** Time since this process was paused, in milliseconds; infinite if it has not been. */
  readonly resumedAgoMs: () => number;
  /** Whether this daemon can establish a connection to a replica of a service itself. */
  readonly canReach: (service: string) => Promise<boolean>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Returns a new random number from 0 to 1 on each call. */
  readonly random: () => number;
}

/** Exchanges evidence on replicas with peers. */
export class PeerWitness {
  constructor(private readonly options: PeerWitnessOptions) {
    options.cluster.handle(MessageType.ReplicaEvidence, (_from: Member, question: QuestionFrame) =>
      this.answer(question),
    );
  }

  /**
   * Asks some peers about the replicas of a service.
   * @param replicas - Those that it is asked of when a peer has heard from them.
   * @param mustConnect - Whether peers are to establish a connection: what they have heard may have been before all
   *   replicas went down.
   */
  async ask(service: string, replicas: readonly string[], mustConnect: boolean): Promise<PeerEvidence> {
    const question: QuestionFrame = [service, replicas.slice(0, MAX_REPLICAS), mustConnect];
    const heardAt = new Map<string, number>();
    let isReached = false;
    await new Promise<void>((resolve) => {
      const questions = this.choosePeers(service).map(async (peer) => {
        const evidence = await this.askPeer(peer, question);
        for (const [id, at] of evidence.heardAt) heardAt.set(id, Math.max(at, heardAt.get(id) ?? at));
        isReached ||= evidence.isReached;
        // A peer that is stopped must not hold up what another one has shown.
        if (isReached) resolve();
      });
      void Promise.all(questions).then(() => resolve());
    });
    return { heardAt, isReached };
  }

  private async askPeer(peer: string, question: QuestionFrame): Promise<PeerEvidence> {
    const { cluster, timers, log } = this.options;
    const [service] = question;
    const askedAt = timers.now();
    try {
      const answer = await cluster.request(peer, MessageType.ReplicaEvidence, question, ASK_TIMEOUT_MS);
      const [heard, isReached] = answer as AnswerFrame;
      return { heardAt: new Map(heard.map(([id, agoMs]) => [id, askedAt - agoMs])), isReached };
    } catch (err) {
      log.debug(`${peer} did not tell what it hears from ${service}: ${String(err)}.`);
      return { heardAt: new Map(), isReached: false };
    }
  }

  private async answer([service, replicas, mustConnect]: QuestionFrame): Promise<AnswerFrame> {
    const { heardAgoMs, resumedAgoMs, canReach } = this.options;
    // What was read after a pause may have been sent before it.
    const maxAgoMs = Math.min(HEARD_MS, resumedAgoMs() - STALE_READ_MS);
    const heard = replicas
      .map((id): HeardFrame => [id, Math.ceil(heardAgoMs(id))])
      .filter(([, agoMs]) => agoMs <= maxAgoMs);
    return [heard, mustConnect ? await canReach(service) : heard.length > 0];
  }

  /** Draws peers that are not cut off themselves as far as they have said. */
  private choosePeers(service: string): string[] {
    const { random } = this.options;
    return reachingPeers(this.options, service)
      .map((address) => ({ address, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, MAX_PEERS)
      .map(({ address }) => address);
  }
}
