/** Messages between the run and the processes of its replicas. */

import type { PathCut } from '@celeryyoke/routing/testing';

/** Header in which a response names the incarnation of the replica that made it. */
export const REPLICA_HEADER = 'x-soak-replica';

/** What a replica does with most of its requests. */
export enum Behaviour {
  Serve = 'serve',
  Shed = 'shed',
  /** Refuses like {@link Behaviour.Shed}, and asks the daemon to send nothing for a while. */
  Backoff = 'backoff',
  Errors = 'errors',
  Reset = 'reset',
  Hang = 'hang',
  /** Serves, and sends one more response that names no request. */
  Extra = 'extra',
  /** Runs a request and answers with the status of a refusal, without denying the run. */
  Unproved = 'unproved',
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
  | { readonly type: 'leave'; readonly ids: readonly string[] }
  | { readonly type: 'replace'; readonly ids: readonly string[] }
  /** Replaces replicas at their addresses by new incarnations of another software version, which ends connections. */
  | { readonly type: 'upgrade'; readonly ids: readonly string[]; readonly softwareVersion: string }
  /** Has replicas say that they are brittle, and be so; or ends that. */
  | { readonly type: 'brittle'; readonly ids: readonly string[]; readonly isBrittle: boolean }
  | { readonly type: 'behave'; readonly ids: readonly string[]; readonly behaviour: Behaviour }
  /** Cuts hosts off from all replicas, or heals the cut. */
  | { readonly type: 'cut'; readonly hosts: readonly string[]; readonly cut: PathCut | undefined }
  | {
      readonly type: 'hold';
      readonly ids: readonly string[];
      readonly what: Holdable;
      readonly isHeld: boolean;
    };

/** A request or an order that a replica has read. */
export interface Arrival {
  /** Names the attempt of the caller; empty for an order. */
  readonly request: string;
  /** Address at which peers reach the daemon that sent an order; undefined for a request. */
  readonly holder?: string;
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Whether the replica began to work on it. */
  readonly hasRun: boolean;
  /** Whether it was meant for another incarnation. */
  readonly isMisdirected?: boolean;
  /** Time for which the replica wants nothing from the sender, as its immediate refusal says, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** A request whose connection was closed while a replica that was sound worked on it. */
export interface Abandonment {
  /** Names the attempt of the caller. */
  readonly request: string;
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Loopback address of the daemon that had sent it. */
  readonly host: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** A replica that has crashed while it ran a request. */
export interface ReplicaCrash {
  /** Names the attempt of the caller. */
  readonly request: string;
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  readonly end: EngineEnd;
}

/** A brittle replica that has fallen over, as it had to reject too many requests in a second. */
export interface ReplicaFall {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Names the attempts of callers that it rejected in that second. */
  readonly rejected: readonly string[];
}

/** Software version of all replicas at the start. */
export const FIRST_VERSION = 'v1';

/** Last part of the path of requests that crash each replica that runs them. */
export const CRASHING_PATH = 'crash';

/** Header that names the parts of a prompt, with the number of tokens of each. */
export const PROMPT_PARTS_HEADER = 'celeryyoke-prompt-prefix';

/** How an engine ends under a part of a prompt. */
export enum EngineEnd {
  /** Its connections are closed, and its port refuses new ones. */
  Closed = 'closed',
  /** It reads and sends nothing any more; its connections stay open until it has started again. */
  Silent = 'silent',
}

/** A part of prompts that ends each engine that answers a request with it. */
export interface CrashingPart {
  readonly end: EngineEnd;
  /** Time from the first event of an answer to the end, in milliseconds. */
  readonly afterMs: number;
}

/** Ids of parts that end engines, without the time after which they do; ids are hexadecimal. */
const CRASHING_PART_IDS: Readonly<Record<EngineEnd, string>> = {
  [EngineEnd.Closed]: 'deadc',
  [EngineEnd.Silent]: 'dead5',
};
const HEXADECIMAL = 16;

/** Id of a part that ends engines. */
export function nameCrashingPart({ end, afterMs }: CrashingPart): string {
  return `${CRASHING_PART_IDS[end]}${afterMs.toString(HEXADECIMAL)}`;
}

/** Finds a part that ends engines among those of a prompt. */
export function findCrashingPart(parts: string): CrashingPart | undefined {
  for (const end of Object.values(EngineEnd)) {
    const [, afterMs] = new RegExp(`${CRASHING_PART_IDS[end]}([0-9a-f]+):`).exec(parts) ?? [];
    if (afterMs !== undefined) return { end, afterMs: Number.parseInt(afterMs, HEXADECIMAL) };
  }
  return undefined;
}

/**
 * Names an incarnation of a replica.
 * @param id - Name of the replica throughout the run.
 * @param replacements - How often it was replaced.
 */
export function incarnationId(id: string, replacements: number): string {
  return replacements === 0 ? id : `${id}.${replacements}`;
}

/** Message from a process of replicas. */
export type ReplicaNews =
  | { readonly type: 'started'; readonly ports: readonly (readonly [id: string, port: number])[] }
  | { readonly type: 'arrivals'; readonly arrivals: readonly Arrival[] }
  | { readonly type: 'crashed'; readonly crash: ReplicaCrash }
  | { readonly type: 'fell'; readonly fall: ReplicaFall }
  | { readonly type: 'abandoned'; readonly abandonment: Abandonment }
  /** A replica that had crashed or fallen listens again, as a new incarnation. */
  | { readonly type: 'restarted'; readonly id: string };
