/** The largest value of a window, as a plain search over all values would find it. */
import { SlidingMax } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

const WINDOW_MS = 1000;

test('the largest value that held within the window counts, and no older one', (t) => {
  const steps = fc.array(fc.tuple(fc.integer({ min: 1, max: 600 }), fc.nat(9)), { minLength: 1 });
  fc.assert(
    fc.property(steps, (changes) => {
      const window = new SlidingMax(WINDOW_MS);
      const held: { value: number; from: number }[] = [];
      let now = 0;
      for (const [waitMs, value] of changes) {
        now += waitMs;
        held.push({ value, from: now });
        const windowFrom = now - WINDOW_MS;
        const values = held
          .filter((_, index) => (held[index + 1]?.from ?? Number.POSITIVE_INFINITY) > windowFrom)
          .map((step) => step.value);
        t.is(window.note(value, now), Math.max(...values));
      }
    }),
  );
});
