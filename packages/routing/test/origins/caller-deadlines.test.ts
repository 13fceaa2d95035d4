/** How long ago a stream that a caller resumes can have begun. */
import { CallerDeadlines } from '@celeryyoke/routing';
import test from 'ava';

const ROUTE = 'resume';
const TIMEOUT_MS = 25_000;
const NOW = 100_000;
/** Longest time in which a request arrives, in milliseconds; see PROTOCOL.md on requests that a daemon has not read. */
const TRANSIT_MS = 1000;

function beganAfter(deadlines: CallerDeadlines, waitMs: number | undefined, account?: string) {
  const request = { route: ROUTE, timeoutMs: TIMEOUT_MS, account, waitMs, arrivedAt: NOW };
  return deadlines.beganAfter(request);
}

test('what a caller has left, against the longest it can have begun with, bounds the age of its stream', (t) => {
  const deadlines = new CallerDeadlines();
  deadlines.record({ route: ROUTE, account: undefined, longestMs: 10_000 });
  t.is(beganAfter(deadlines, 20_000), NOW - 5000 - TRANSIT_MS);
  t.is(beganAfter(deadlines, 30_000), NOW - TRANSIT_MS);
});

// Guards against a stream of a caller with a longer deadline that is taken for a younger one.
test('where callers state more than the timeout of their route, the longest of them counts', (t) => {
  const deadlines = new CallerDeadlines();
  deadlines.record({ route: ROUTE, account: undefined, longestMs: 60_000 });
  deadlines.record({ route: ROUTE, account: undefined, longestMs: 5000 });
  t.is(beganAfter(deadlines, 20_000), NOW - 40_000 - TRANSIT_MS);
});

test('nothing is known of a route of which no caller has been seen, or of a caller that states nothing', (t) => {
  const deadlines = new CallerDeadlines();
  t.is(beganAfter(deadlines, 20_000), undefined);
  deadlines.record({ route: ROUTE, account: undefined, longestMs: 10_000 });
  t.is(beganAfter(deadlines, undefined), undefined);
  deadlines.retain(new Set());
  t.is(beganAfter(deadlines, 20_000), undefined);
});

// Guards against a caller whose deadline keeps the streams of other client accounts from going on.
test('a deadline that the callers of one account state counts for that account only', (t) => {
  const deadlines = new CallerDeadlines();
  deadlines.record({ route: ROUTE, account: 'a', longestMs: 3_600_000 });
  t.is(beganAfter(deadlines, 20_000, 'b'), NOW - 5000 - TRANSIT_MS);
  t.is(beganAfter(deadlines, 20_000, 'a'), NOW - 3_580_000 - TRANSIT_MS);
});
