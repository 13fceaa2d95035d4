/**
 * One exchange that a peer carries out with a replica, on a connection to the peer of its own.
 *
 * It promises what a direct exchange does: a failure says whether the replica may have received the request, the end
 * of this side ends the exchange at the replica, and each byte is passed on when it arrives. A peer gets the request
 * when it has responded on the connection: the system of one that is stopped accepts connections for it.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { afterLateTurn } from '@celeryyoke/core';

import type { ExchangeHandle, ResponseSink } from '../channels/index.js';
import { ChannelFailure } from '../channels/index.js';
import type { Cluster, PeerLink } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import { decodeRelayEvent, encodeRelayRequest } from './relay-codec.js';
import type { RelayEvent, RelayRequest } from './types.js';
import { RelayError, RelayEventKind } from './types.js';

/** Time in which the peer must have accepted the request, in milliseconds: what it was told of the deadline ages. */
const ACCEPT_TIMEOUT_MS = 300;

/** What a relayed exchange needs. */
export interface RelayedExchangeOptions {
  readonly cluster: Pick<Cluster, 'openLink'>;
  readonly timers: TimerService;
  /** Address of the peer. */
  readonly peer: string;
  readonly request: RelayRequest;
  readonly sink: ResponseSink;
  /** Called when the peer has not accepted the request. */
  readonly onRefused: () => void;
  /** Called once, when the exchange has ended. */
  readonly onEnded: () => void;
}

/** An exchange over a peer; starts on construction. */
export class RelayedExchange implements ExchangeHandle {
  private readonly link: PeerLink;

  private readonly acceptTimer: TimerHandle;

  private wasRequested = false;

  private isAccepted = false;

  private hasReportedSent = false;

  private hasEnded = false;

  constructor(private readonly options: RelayedExchangeOptions) {
    const { cluster, timers, peer } = options;
    this.link = cluster.openLink(peer, {
      onPush: (body) => this.handle(decodeRelayEvent(body)),
      onEnd: () => this.handleLinkEnd(),
    });
    this.acceptTimer = timers.after(ACCEPT_TIMEOUT_MS, () => this.giveUp());
    this.link.request(MessageType.Clock, null, ACCEPT_TIMEOUT_MS).then(
      () => afterLateTurn(timers, () => this.request()),
      // The timer and the end of the link give the exchange up.
      () => undefined,
    );
  }

  /** From the moment at which the peer may have received it, the replica may have too. */
  mayHaveArrived(): boolean {
    return this.hasReportedSent || this.wasRequested;
  }

  cancel(reason: string): void {
    if (this.hasEnded) return;
    const mayHaveArrived = this.mayHaveArrived();
    // What the peer has not received yet must not arrive later.
    if (this.isAccepted) this.link.close();
    else this.link.abort();
    if (mayHaveArrived) this.reportSent();
    this.fail(mayHaveArrived ? ChannelFailure.Cancelled : ChannelFailure.NotSent, reason);
  }

  pause(): void {
    if (!this.hasEnded) this.link.pause();
  }

  resume(): void {
    if (!this.hasEnded) this.link.resume();
  }

  private request(): void {
    if (this.hasEnded) return;
    this.wasRequested = true;
    this.link.send(MessageType.Relay, encodeRelayRequest(this.options.request));
  }

  private handle(event: RelayEvent): void {
    if (this.hasEnded) return;
    this.handlers[event.kind](event as never);
  }

  private readonly handlers: {
    readonly [Kind in RelayEventKind]: (event: Extract<RelayEvent, { kind: Kind }>) => void;
  } = {
    [RelayEventKind.Accepted]: () => {
      this.isAccepted = true;
      this.acceptTimer.cancel();
    },
    [RelayEventKind.Sent]: () => this.reportSent(),
    [RelayEventKind.Head]: ({ status, headers }) => this.options.sink.onHead(status, headers),
    [RelayEventKind.Data]: ({ chunk }) => this.options.sink.onData(chunk),
    [RelayEventKind.End]: () => {
      this.end();
      this.link.close();
      this.options.sink.onEnd();
    },
    [RelayEventKind.Failed]: ({ failure, reason, hasCrashed }) => {
      this.link.close();
      this.noteRefusal();
      this.fail(failure, reason, hasCrashed);
    },
  };

  private handleLinkEnd(): void {
    if (this.hasEnded) return;
    const mayHaveArrived = this.mayHaveArrived();
    if (mayHaveArrived) this.reportSent();
    this.noteRefusal();
    this.fail(
      mayHaveArrived ? ChannelFailure.Broken : ChannelFailure.NotSent,
      `The link to ${this.options.peer} has ended.`,
    );
  }

  private giveUp(): void {
    if (this.hasEnded) return;
    const mayHaveArrived = this.mayHaveArrived();
    this.link.abort();
    if (mayHaveArrived) this.reportSent();
    this.noteRefusal();
    const failure = mayHaveArrived ? ChannelFailure.Broken : ChannelFailure.NotSent;
    this.fail(failure, `${this.options.peer} did not accept the request within ${ACCEPT_TIMEOUT_MS} ms.`);
  }

  private noteRefusal(): void {
    if (!this.isAccepted) this.options.onRefused();
  }

  private reportSent(): void {
    if (this.hasReportedSent || this.hasEnded) return;
    this.hasReportedSent = true;
    this.options.sink.onSent();
  }

  private fail(failure: ChannelFailure, reason: string, hasCrashed = false): void {
    if (this.hasEnded) return;
    this.end();
    this.options.sink.onFail(failure, new RelayError(reason, hasCrashed));
  }

  private end(): void {
    this.hasEnded = true;
    this.acceptTimer.cancel();
    this.options.onEnded();
  }
}
