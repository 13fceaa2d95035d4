/** Types of stream origins: which software version began a stream. */
import type { NamedStreamKey } from './stream-key.js';

/** Why streams of a service may have begun at more than one software version, as far as a daemon knows. */
export enum VersionDoubt {
  /** Replicas of several versions serve, or did while streams that are still alive began. */
  Several = 'several',
  /** The same, and one version is so new that peers may not have reported their running streams yet. */
  NewVersion = 'new-version',
  /** A replica has started whose version is not known yet, or no replica is known. */
  UnknownVersion = 'unknown-version',
  /** The view is too old, or older than a pause of this process. */
  StaleView = 'stale-view',
  /** The view is older than what is asked about, so a version that has appeared since may be missing. */
  EarlierView = 'earlier-view',
  /** This daemon does not know its peers yet, which may know. */
  Starting = 'starting',
  /**
   * This daemon, and all peers that it has asked, are too new to know which versions have served since the stream began,
   * and the platform's store does not show it.
   */
  NoHistory = 'no-history',
  /** The same, and it is not known how long ago the stream can have begun, as no caller of its route has been seen. */
  UnknownAge = 'unknown-age',
  /**
   * By what its caller states, the stream began since the fleet started, which records all streams while it does not know
   * all versions. It is not recorded, so it is older than that.
   */
  Unrecorded = 'unrecorded',
}

/** Times between which a stream began, in monotonic milliseconds. */
export interface BeginBounds {
  readonly after: number;
  readonly before: number;
}

/** A software version that replicas have had. */
export interface ServedVersion {
  /** Empty if it is not known. */
  readonly service: string;
  /** Empty for replicas whose version never became known. */
  readonly softwareVersion: string;
  /** Monotonic time at which its last replica was removed, in milliseconds; undefined if one is listed. */
  readonly removedAt: number | undefined;
}

/** A time in which a daemon has known all versions that served. */
export interface KnownTime {
  /** Monotonic milliseconds; minus Infinity if it knows all that have ever served. */
  readonly since: number;
  /** Monotonic milliseconds; later versions may be missing. */
  readonly until: number;
}

/** The longest deadline that callers of a route have stated. */
export interface CallerDeadline {
  /** Name of the route. */
  readonly route: string;
  /** Name of the client account; undefined for callers without one. */
  readonly account: string | undefined;
  readonly longestMs: number;
}

/** What a daemon tells a peer that has started later. */
export interface SharedHistory {
  readonly versions: readonly ServedVersion[];
  /** Undefined while the daemon can't tell. */
  readonly time: KnownTime | undefined;
  /** Monotonic time at which the first daemon of the fleet started, as far as it is known, in milliseconds. */
  readonly fleetStartedAt: number;
  readonly deadlines: readonly CallerDeadline[];
}

/** What a daemon has recorded of a stream. */
export enum OriginState {
  Unknown = 0,
  Known = 1,
  /** Two streams that can't be told apart began at different versions. */
  Ambiguous = 2,
}

/** The software version that began a stream, as far as it is known. */
export type StreamOrigin =
  | { readonly state: OriginState.Known; readonly softwareVersion: string }
  | { readonly state: OriginState.Unknown | OriginState.Ambiguous };

export const UNKNOWN_ORIGIN: StreamOrigin = { state: OriginState.Unknown };

/** A stream that began at a software version. */
export interface OriginRecord extends NamedStreamKey {
  readonly softwareVersion: string;
  /** Time for which it is kept, in milliseconds. */
  readonly retentionMs: number;
}
