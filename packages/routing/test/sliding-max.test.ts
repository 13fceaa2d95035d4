/** Compares the sliding maximum with a search over all values. */
import { SlidingMax } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

const WINDOW_MS = 1000;

test('the result is the largest value that was current within the window', (t) => {
  const changeLists = fc.array(fc.tuple(fc.integer({ min: 1, max: 600 }), fc.nat(9)), { minLength: 1 });
  fc.assert(
    fc.property(changeLists, (changes) => {
      const window = new SlidingMax(WINDOW_MS);
      const steps: { value: number; from: number }[] = [];
      let now = 0;
      for (const [waitMs, value] of changes) {
        now += waitMs;
        steps.push({ value, from: now });
        const windowFrom = now - WINDOW_MS;
        const values = steps
          .filter((_, index) => (steps[index + 1]?.from ?? Number.POSITIVE_INFINITY) > windowFrom)
          .map((step) => step.value);
        t.is(window.add(value, now), Math.max(...values));
      }
    }),
  );
});
