/** The platform's host list: lagging, read only. */

/** What a host does. */
export enum HostRole {
  /** One of our own hosts. */
  Entry = 'entry',
  /** A model-serving replica. */
  Engine = 'engine',
  /** An upstream of a plain service. */
  Service = 'service',
}

/** Whether a host is staying. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One host of the list. */
export interface HostEntry {
  /** Name; for upstreams the name that the configuration declares. */
  readonly name: string;
  readonly role: HostRole;
  readonly state: HostState;
  readonly domain: string;
  /** IP number and port; for entry hosts the address where peers connect. */
  readonly address: string;
}

/** The list as one reader saw it. */
export interface HostListView {
  readonly hosts: readonly HostEntry[];
  /** Monotonic time in milliseconds when the read was begun. */
  readonly readAt: number;
  /** Version, if the platform gives one. */
  readonly version?: number | undefined;
}

/** A client of the host list. */
export interface HostListSource {
  /**
   * Reads the list.
   * @throws CeleryyokeError PlatformUnavailable.
   */
  read(timeoutMs: number): Promise<HostListView>;
  /** Closes its connections. */
  close(): Promise<void>;
}
