/** Binds the response to one request to the software version at which its stream may go on. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ClientAccount } from '../accounts/index.js';
import type { Route } from '../catalog/index.js';
import type {
  BeginBounds,
  CallerDeadlines,
  LookUpResult,
  NamedStreamKey,
  RunningStream,
  StreamKey,
  StreamOrigin,
  StreamOrigins,
} from '../origins/index.js';
import {
  continuationVersion,
  OriginState,
  streamKey,
  UNKNOWN_ORIGIN,
  VersionDoubt,
} from '../origins/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import type { RequestHead } from './types.js';

/** Parts of the daemon that a binding uses. */
export interface StreamBindingDependencies {
  readonly origins: StreamOrigins;
  readonly registry: Pick<ReplicaRegistry, 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly callerDeadlines: CallerDeadlines;
  /** Age of this daemon's view of the platform, in milliseconds. */
  readonly viewAgeMs: () => number;
}

/** The request whose response is bound. */
export interface BoundRequest {
  readonly head: Pick<RequestHead, 'id' | 'lastEventId' | 'firstAttempt' | 'waitMs'>;
  readonly route: Pick<Route, 'name' | 'timeoutMs'>;
  readonly account: Pick<ClientAccount, 'name'> | undefined;
  readonly service: string;
  /** Monotonic time at which it was read, in milliseconds. */
  readonly arrivedAt: number;
  /** Longest time for which it can have been waiting to be read, in milliseconds. */
  readonly unreadMs: number;
  /** Fingerprint of the request, computed when it is needed. */
  readonly fingerprint: () => string;
  /** Time until which a replica must be sent the request to serve it, in milliseconds; 0 when the request has ended. */
  readonly lastCallMs: () => number;
}

/** Longest wait for the end of doubts that end soon in most cases, in milliseconds; the others end a request at once. */
const MAX_WAIT_MS: ReadonlyMap<VersionDoubt | undefined, number> = new Map([
  [VersionDoubt.Starting, 1000],
  [VersionDoubt.StaleView, 1000],
  // Until then the view is confirmed, or stale; callers wait for two seconds at least.
  [VersionDoubt.EarlierView, 1500],
  [VersionDoubt.UnknownVersion, 1000],
  [VersionDoubt.UnknownAge, 1000],
  [VersionDoubt.NewVersion, 1000],
]);
const POLL_INTERVAL_MS = 100;

const NOT_ASKED: LookUpResult = { origin: UNKNOWN_ORIGIN, askedCount: 0, answeredCount: 0 };

/** What was found out of a stream that is resumed. */
interface Finding extends LookUpResult {
  readonly doubt: VersionDoubt | undefined;
  /** Longest time since the stream began, in milliseconds; Infinity if it is not known. */
  readonly maxAgeMs: number;
  /** Time from the take-up in which the doubt may end, in milliseconds. */
  readonly maxWaitMs: number;
}

/** What one response knows of the origin of its stream. */
export class StreamBinding {
  /** Whether the caller has a part of the stream: it may then go on at one version only. */
  isBound = false;

  private origin: StreamOrigin = UNKNOWN_ORIGIN;

  /** Incarnation of the replica that began the stream in this response. */
  private firstReplica: string | undefined;

  private readonly stream: RunningStream;

  /** Settles when it is known whether the first replica is proved. */
  private proof: Promise<void> = Promise.resolve();

  constructor(
    private readonly parts: StreamBindingDependencies,
    private readonly request: BoundRequest,
  ) {
    const { service, head, arrivedAt } = request;
    this.stream = {
      service,
      key: () => this.recordKey(),
      softwareVersion: () => this.softwareVersion,
      deadlineAt: head.waitMs === undefined ? undefined : arrivedAt + head.waitMs,
    };
  }

  /** Version at which the stream may go on; undefined while it is not bound, or if it must not go on anywhere. */
  get softwareVersion(): string | undefined {
    if (!this.isBound) return undefined;
    if (this.origin.state === OriginState.Unknown) this.learnOrigin();
    return continuationVersion({ origin: this.origin, onlyVersion: undefined });
  }

  /** Whether the stream must not go on anywhere. */
  get isStuck(): boolean {
    return this.isBound && this.softwareVersion === undefined;
  }

  /**
   * Returns the version that a replica must prove to have before anything of its response is passed on, as a restart that
   * this daemon has not heard of may have changed it: always where a stream goes on, also while this daemon knows one
   * version only.
   * @param isRelayed - Whether a peer holds the connection, for which this daemon can't prove anything later.
   * @returns Undefined where nothing follows from its version, or it can be proved while the stream is passed on.
   */
  versionToProve({ softwareVersion }: ReplicaEntry, isRelayed = false): string | undefined {
    const isStale = this.parts.origins.doubtOf(this.request.service) === VersionDoubt.StaleView;
    return this.isBound || isStale || isRelayed ? softwareVersion : undefined;
  }

  /** Finds out at which version a stream goes on that the caller resumes; does nothing for a new one. */
  async resume(): Promise<void> {
    const { head } = this.request;
    if (head.lastEventId === undefined) return;
    const { timers } = this.parts;
    const startedAt = timers.now();
    const waitedMs = (): number => timers.now() - startedAt;
    let finding = await this.findOrigin(startedAt);
    while (waitedMs() < finding.maxWaitMs && this.request.lastCallMs() > POLL_INTERVAL_MS) {
      await timers.sleep(POLL_INTERVAL_MS);
      finding = await this.findOrigin(startedAt);
    }
    this.origin = finding.origin;
    this.isBound = true;
    this.logResumed(finding, waitedMs());
  }

  /**
   * @param resumedAt - Monotonic time at which the caller has resumed the stream, in milliseconds.
   */
  private async findOrigin(resumedAt: number): Promise<Finding> {
    const { origins } = this.parts;
    const { service } = this.request;
    const bounds = this.beginBounds(resumedAt);
    const doubt = this.doubtOf(bounds);
    const onlyVersion = origins.onlyVersion(service, bounds);
    // As long as this daemon knows of one version only for its own streams, nothing is recorded.
    const isRecorded = origins.doubtOf(service) !== undefined;
    const asked = isRecorded ? await origins.lookUp(this.wantedKey()) : NOT_ASKED;
    const softwareVersion = continuationVersion({ origin: asked.origin, onlyVersion });
    const finding = { ...asked, doubt, maxAgeMs: resumedAt - bounds.after };
    if (softwareVersion === undefined) return { ...finding, maxWaitMs: MAX_WAIT_MS.get(doubt) ?? 0 };
    return { ...finding, maxWaitMs: 0, origin: { state: OriginState.Known, softwareVersion } };
  }

  /** When the stream that the caller resumes can have begun. */
  private beginBounds(resumedAt: number): BeginBounds {
    const { head, route, account, arrivedAt, unreadMs } = this.request;
    const after = this.parts.callerDeadlines.beganAfter({
      route: route.name,
      timeoutMs: route.timeoutMs,
      account: account?.name,
      waitMs: head.waitMs,
      arrivedAt: arrivedAt - unreadMs,
    });
    return { after: after ?? Number.NEGATIVE_INFINITY, before: resumedAt };
  }

  private doubtOf(bounds: BeginBounds): VersionDoubt | undefined {
    const doubt = this.parts.origins.doubtOf(this.request.service, bounds);
    const isAgeUnknown = bounds.after === Number.NEGATIVE_INFINITY;
    return doubt === VersionDoubt.NoHistory && isAgeUnknown ? VersionDoubt.UnknownAge : doubt;
  }

  /**
   * Binds a new stream to the version of its first replica, before the caller gets anything of it.
   * @param proof - Whether the listed incarnation of the replica has sent it, which nothing shows yet; until then its
   *   version is not known. Undefined if that is proved.
   */
  begin(replica: ReplicaEntry, proof?: Promise<boolean>): void {
    if (!this.isBound) {
      this.isBound = true;
      if (proof === undefined) this.recordFirst(replica);
      else this.proof = this.recordProved(replica, proof);
    }
    this.parts.origins.begin(this.stream);
  }

  /** Waits until it is known whether the version of a stream that has begun can be told. */
  settle(): Promise<void> {
    return this.proof;
  }

  private recordFirst({ id, softwareVersion }: ReplicaEntry): void {
    this.firstReplica = id;
    if (softwareVersion !== undefined) this.origin = { state: OriginState.Known, softwareVersion };
  }

  private async recordProved(replica: ReplicaEntry, proof: Promise<boolean>): Promise<void> {
    if (await proof) {
      this.recordFirst(replica);
      return;
    }
    this.parts.log.decide('stream.unproved', `Another start of ${replica.name} may have begun the stream.`, {
      request: this.request.head.id,
      replica: replica.id,
      softwareVersion: replica.softwareVersion,
    });
  }

  /**
   * Ends the binding with its response.
   * @param isComplete - Whether the caller got the whole stream.
   */
  end(isComplete: boolean): void {
    this.parts.origins.end(this.stream, isComplete);
  }

  /** The version of a replica that has restarted is known only when its entry is. */
  private learnOrigin(): void {
    if (this.firstReplica === undefined) return;
    const softwareVersion = this.parts.registry.replica(this.firstReplica)?.softwareVersion;
    if (softwareVersion !== undefined) this.origin = { state: OriginState.Known, softwareVersion };
  }

  /** Key of the stream that the caller resumes, or of all that it can mean if it names none. */
  private wantedKey(): StreamKey {
    const { head, fingerprint } = this.request;
    if (head.firstAttempt !== undefined) return streamKey(fingerprint(), head.firstAttempt);
    return { request: fingerprint(), attempt: undefined };
  }

  private recordKey(): NamedStreamKey {
    const { head, fingerprint } = this.request;
    const firstAttempt = head.lastEventId === undefined ? head.id : (head.firstAttempt ?? head.id);
    return streamKey(fingerprint(), firstAttempt);
  }

  private logResumed({ origin, doubt, maxAgeMs, askedCount, answeredCount }: Finding, tookMs: number): void {
    const { head } = this.request;
    const version = this.softwareVersion;
    const text = version === undefined ? 'must not go on' : `goes on at version ${version}`;
    this.parts.log.decide('stream.resumed', `The stream that the caller resumes ${text}.`, {
      request: head.id,
      firstAttempt: head.firstAttempt,
      lastEventId: head.lastEventId,
      softwareVersion: version,
      origin: OriginState[origin.state].toLowerCase(),
      doubt: doubt ?? 'none',
      asked: askedCount,
      answered: answeredCount,
      maxAgeMs: Math.round(maxAgeMs),
      knownForMs: Math.round(this.parts.origins.knownForMs),
      tookMs: Math.round(tookMs),
      viewAgeMs: this.parts.viewAgeMs(),
    });
  }
}
