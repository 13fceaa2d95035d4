/** Turns a repeating timer into a stream of `most`. */
import type { Stream } from 'most';
import { Stream as MostStream } from 'most';

import type { TimerHandle } from './types.js';

type Repeat = (ms: number, callback: (now: number) => void) => TimerHandle;

/**
 * Makes a stream that ticks as long as someone observes it.
 * @param repeat - Starts a repeating timer.
 * @param ms - Interval in milliseconds.
 * @returns A stream of the monotonic time of each tick.
 */
export function createTicks(repeat: Repeat, ms: number): Stream<number> {
  return new MostStream<number>({
    run(sink) {
      let count = 0;
      const handle = repeat(ms, (now) => {
        count += 1;
        sink.event(count, now);
      });
      return {
        dispose() {
          handle.cancel();
          return undefined;
        },
      };
    },
  });
}
