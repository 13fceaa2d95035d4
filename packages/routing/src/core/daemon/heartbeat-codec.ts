/** The compact form of a heartbeat: it goes to every other daemon several times a second, so names are left out. */
import type { LoadLine } from '../choice/index.js';

/** An engine as the daemon tells it that gives it orders. */
export interface EngineState {
  readonly replica: string;
  /** Fencing token of the speaker's claim. */
  readonly token: number;
  /** Adapter slots that are free or could be freed at once; below 0 when the engine can't be reached. */
  readonly room: number;
  /** Loads that wait for a slot. */
  readonly queued: number;
  /** Requests in progress there, over all daemons. */
  readonly running: number;
  /** Those of them without an answer yet. */
  readonly waiting: number;
}

/** What a heartbeat carries. */
export interface Heartbeat {
  /** Revision up to which the speaker's view is complete. */
  readonly upTo: number;
  /** How long ago that was confirmed, in milliseconds; below 0 when it never was. */
  readonly ageMs: number;
  /** The speaker's requests on replicas that nobody keeps. */
  readonly open: readonly LoadLine[];
  /** Engines that the speaker gives orders to. */
  readonly engines: readonly EngineState[];
}

/** A heartbeat on the wire: its fields in the order of {@link Heartbeat}, each engine's in that of {@link EngineState}. */
export type HeartbeatFrame = readonly [
  upTo: number,
  ageMs: number,
  open: readonly LoadLine[],
  engines: readonly (readonly [string, number, number, number, number, number])[],
];

/**
 * Encodes a heartbeat.
 * @param heartbeat - What it carries.
 * @returns Its compact form.
 */
export function encodeHeartbeat({ upTo, ageMs, open, engines }: Heartbeat): HeartbeatFrame {
  const states = engines.map(
    ({ replica, token, room, queued, running, waiting }) =>
      [replica, token, room, queued, running, waiting] as const,
  );
  return [upTo, ageMs, open, states];
}

/**
 * Decodes a heartbeat.
 * @param frame - Its compact form.
 * @returns What it carries.
 */
export function decodeHeartbeat([upTo, ageMs, open, states]: HeartbeatFrame): Heartbeat {
  const engines = states.map(([replica, token, room, queued, running, waiting]) => ({
    replica,
    token,
    room,
    queued,
    running,
    waiting,
  }));
  return { upTo, ageMs, open, engines };
}
