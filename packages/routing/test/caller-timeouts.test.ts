/** The longest timeout of a route's callers tells which requests are retries. */
import { CallerTimeouts } from '@celeryyoke/routing';
import test from 'ava';

test('retries with less time left do not shorten the timeout of first attempts', (t) => {
  const timeouts = new CallerTimeouts();
  timeouts.record('r', 15_000);
  timeouts.record('r', 9000);
  t.true(timeouts.longestMs('r') > 14_900);
  t.is(timeouts.longestMs('other'), 0);
});

test('a shorter timeout of the callers is adopted after some hundred requests', (t) => {
  const timeouts = new CallerTimeouts();
  timeouts.record('r', 15_000);
  for (let index = 0; index < 400; index += 1) timeouts.record('r', 8000);
  t.is(timeouts.longestMs('r'), 8000);
});
