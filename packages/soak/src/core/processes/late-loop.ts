/**
 * Preloaded into the process of a daemon: on a signal, makes its event loop late while the process stays in touch.
 *
 * What to do is read from the file that an environment variable names.
 */
import { readFileSync } from 'node:fs';

/** Environment variable with the path of the file. */
export const LATE_LOOP_VARIABLE = 'CELERYYOKE_SOAK_LATE_LOOP';
/** Signal at which the file is read. */
export const LATE_LOOP_SIGNAL = 'SIGUSR2';

/** Phase of the event loop that takes the time. */
export enum LatePhase {
  /** Before sockets are read. */
  Timers = 'timers',
  /** After sockets were read. */
  Check = 'check',
}

/** How late a loop is. */
export interface LateLoop {
  /** Time that each turn of the loop takes, in milliseconds. */
  readonly turnMs: number;
  /** Time for which it is late, in milliseconds; 0 for one turn. */
  readonly forMs: number;
  readonly phase: LatePhase;
}

const NEXT_TURN: Readonly<Record<LatePhase, (callback: () => void) => void>> = {
  [LatePhase.Timers]: (callback) => {
    setTimeout(callback, 1);
  },
  [LatePhase.Check]: (callback) => {
    setImmediate(callback);
  },
};

function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

function delayTurns({ turnMs, forMs, phase }: LateLoop): void {
  const end = performance.now() + forMs;
  const delayTurn = (): void => {
    block(turnMs);
    if (performance.now() < end) NEXT_TURN[phase](delayTurn);
  };
  NEXT_TURN[phase](delayTurn);
}

const file = process.env[LATE_LOOP_VARIABLE];
if (file !== undefined)
  process.on(LATE_LOOP_SIGNAL, () => delayTurns(JSON.parse(readFileSync(file, 'utf8')) as LateLoop));
