/** Finds out which process answers at the address of a replica: the one that is listed, another one, or none. */
import type { DecisionLog } from '@celeryyoke/core';
import { ListenerState } from '@celeryyoke/core';

import type { IdentityCheck } from '../adapters/index.js';
import { ChannelFailure, ExchangeError } from '../channels/index.js';
import type { ReplicaEntry } from '../view/index.js';

/** Timeout of a connection attempt, in milliseconds; hosts respond within some milliseconds. */
const CONNECT_TIMEOUT_MS = 100;

/** What answers at the address of a replica. */
export enum Presence {
  /** The incarnation that is listed. */
  Listed = 'listed',
  /** Another incarnation, or another replica. */
  Other = 'other',
  /** Nothing listens there. */
  Gone = 'gone',
  /** There was no answer. */
  Unknown = 'unknown',
}

/** What a check uses. */
export interface PresenceCheckOptions {
  readonly identities: IdentityCheck;
  /** Connects to a replica once. */
  readonly probe: (replica: ReplicaEntry, timeoutMs: number) => Promise<ListenerState>;
  /** Whether the listed incarnation of a replica that states its start still runs; undefined if there is no word of it. */
  readonly isRunning: (replica: ReplicaEntry) => Promise<boolean | undefined>;
  readonly log: DecisionLog;
}

const PRESENCE_BY_STATE: Readonly<Record<ListenerState, Presence>> = {
  [ListenerState.Listening]: Presence.Listed,
  [ListenerState.Refused]: Presence.Gone,
  [ListenerState.Unknown]: Presence.Unknown,
};

/** Whether nothing was sent, as the replica takes no requests for a while. */
function isWithheld(err: unknown): boolean {
  return err instanceof ExchangeError && err.failure === ChannelFailure.Withheld;
}

/** Asks replicas. */
export class PresenceCheck {
  constructor(private readonly options: PresenceCheckOptions) {}

  /** Finds out what answers at the address of a replica now; never rejects. */
  async presenceOf(replica: ReplicaEntry): Promise<Presence> {
    return replica.models === undefined ? this.presenceOfPlain(replica) : this.presenceOfEngine(replica);
  }

  private async presenceOfEngine(replica: ReplicaEntry): Promise<Presence> {
    const { identities, log } = this.options;
    try {
      return (await identities.isListed(replica)) ? Presence.Listed : Presence.Other;
    } catch (err) {
      log.debug(`Replica ${replica.id} did not say which one it is: ${String(err)}.`);
      const presence = await this.connect(replica);
      // What accepts a connection and says nothing may be another process; one that was asked nothing can't say more.
      const mayBeOther = presence === Presence.Listed && !isWithheld(err);
      return mayBeOther ? Presence.Unknown : presence;
    }
  }

  /** A replica that is no engine has no report that names it. */
  private async presenceOfPlain(replica: ReplicaEntry): Promise<Presence> {
    const presence = await this.connect(replica);
    if (presence !== Presence.Listed) return presence;
    const isRunning = await this.options.isRunning(replica);
    if (isRunning === undefined) return Presence.Unknown;
    return isRunning ? Presence.Listed : Presence.Other;
  }

  private async connect(replica: ReplicaEntry): Promise<Presence> {
    return PRESENCE_BY_STATE[await this.options.probe(replica, CONNECT_TIMEOUT_MS)];
  }
}
