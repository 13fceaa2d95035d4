/**
 * Time bounds of an ownership take-over, derived from `OwnershipTimes`.
 *
 * An owner acts on a view of the host list that is at most one lease old, and the list may already have
 * lagged when it was read. An owner that has been removed from the list therefore acts for at most
 * `lag + lease` afterwards. This is the authority span.
 */
import type { OwnershipTimes } from './types.js';

/** Extends a duration so that it suffices when this clock runs fastest and the other daemon's slowest. */
function addDriftMargin(ms: number, driftShare: number): number {
  return (ms * (1 + driftShare)) / (1 - driftShare);
}

/**
 * Returns the longest time for which an owner may still act after it has been removed from the host list.
 * @returns `(hostListLag + lease) * (1 + drift) / (1 - drift)` in milliseconds.
 */
export function authoritySpanMs(times: OwnershipTimes): number {
  return addDriftMargin(times.hostListLagMs + times.leaseMs, times.driftShare);
}

/**
 * Returns the time that a new owner waits before its first removal order when the engine does not check
 * fencing tokens and the previous owner did not hand over. It counts from the first view that shows the new
 * owner, and every view since then must show it.
 *
 * The previous owner acts for one authority span, and its last order may execute as late as the order's
 * timeout. The second term is at least another span, so that the wait also covers a list that changes and
 * changes back within one span, which the new owner may miss between two reads.
 * @returns `span + max(removal, span)` in milliseconds, with drift.
 */
export function takeOverBoundMs(times: OwnershipTimes): number {
  const span = authoritySpanMs(times);
  return span + Math.max(addDriftMargin(times.removalTimeoutMs, times.driftShare), span);
}

/**
 * Returns the age up to which an engine's report shows that the engine still accepts this owner's orders.
 * @returns Two polls and the lag, in milliseconds.
 */
export function reportFreshMs(times: OwnershipTimes): number {
  return 2 * times.reportPollMs + times.reportLagMs;
}

/**
 * Returns the time that a new owner waits after an engine that checks fencing tokens has reported the new
 * owner's token. From then on the engine refuses orders of the previous owner, but one that it accepted
 * earlier may still be in flight. The previous owner may also grant slot leases until it sees the new token
 * in a report, and their holders use them until they expire.
 * @returns `max(removal, reportFresh + reportLag + slotLease)` in milliseconds, with drift.
 */
export function claimBoundMs(times: OwnershipTimes): number {
  const leases = reportFreshMs(times) + times.reportLagMs + times.slotLeaseMs;
  return addDriftMargin(Math.max(times.removalTimeoutMs, leases), times.driftShare);
}
