/** How long callers wait at first tells those that come back. */
import { CallerTimes } from '@celeryyoke/routing';
import test from 'ava';

test('callers that come back with less time do not shorten what is known of the first tries', (t) => {
  const times = new CallerTimes();
  times.note('r', 15_000);
  times.note('r', 9000);
  t.true(times.of('r') > 14_900);
  t.is(times.of('other'), 0);
});

test('callers that have become less patient are believed after some hundred requests', (t) => {
  const times = new CallerTimes();
  times.note('r', 15_000);
  for (let index = 0; index < 400; index += 1) times.note('r', 8000);
  t.is(times.of('r'), 8000);
});
