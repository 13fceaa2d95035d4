/** Messages between the run and the processes of its replicas. */

/** What a replica does with most of its requests. */
export enum Behaviour {
  Serve = 'serve',
  Shed = 'shed',
  Errors = 'errors',
  Reset = 'reset',
  Hang = 'hang',
}

/** What can be held up on its path to a replica. */
export enum Holdable {
  Everything = 'everything',
  Orders = 'orders',
}

/** A replica that is to be started. */
export interface ReplicaOptions {
  readonly id: string;
  readonly isEngine: boolean;
  /** Requests that it runs at once. */
  readonly slots: number;
}

/** An order of the run. */
export type ReplicaCommand =
  | { readonly type: 'start'; readonly replicas: readonly ReplicaOptions[] }
  | { readonly type: 'behave'; readonly ids: readonly string[]; readonly behaviour: Behaviour }
  | {
      readonly type: 'hold';
      readonly ids: readonly string[];
      readonly what: Holdable;
      readonly isHeld: boolean;
    };

/** A request that a replica has read. */
export interface Arrival {
  /** Names the attempt of the caller. */
  readonly request: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Whether the replica began to work on it. */
  readonly hasRun: boolean;
}

/** Message from a process of replicas. */
export type ReplicaNews =
  | { readonly type: 'started'; readonly ports: readonly (readonly [id: string, port: number])[] }
  | { readonly type: 'arrivals'; readonly arrivals: readonly Arrival[] };
