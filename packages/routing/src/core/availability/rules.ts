/** Which exchanges with a replica are allowed in each state of its availability. */
import { ExchangePurpose } from '../channels/index.js';
import type { Availability } from './types.js';
import { AvailabilityState } from './types.js';

/** Whether exchanges of one purpose are allowed in one state. */
enum Rule {
  Allowed,
  /** Allowed for a short time after the declaration, for requests that have no other replica. */
  Briefly,
  Refused,
}

/** Requests of callers and migrated streams end up in running work; orders prepare it; the rest winds work down. */
const WHILE_SHUTTING_DOWN: Readonly<Record<ExchangePurpose, Rule>> = {
  [ExchangePurpose.Request]: Rule.Briefly,
  [ExchangePurpose.Continuation]: Rule.Briefly,
  [ExchangePurpose.Order]: Rule.Refused,
  [ExchangePurpose.Report]: Rule.Allowed,
  [ExchangePurpose.RunCopy]: Rule.Allowed,
  [ExchangePurpose.StoreRead]: Rule.Allowed,
};

const ALL_ALLOWED: Readonly<Record<ExchangePurpose, Rule>> = {
  [ExchangePurpose.Request]: Rule.Allowed,
  [ExchangePurpose.Continuation]: Rule.Allowed,
  [ExchangePurpose.Order]: Rule.Allowed,
  [ExchangePurpose.Report]: Rule.Allowed,
  [ExchangePurpose.RunCopy]: Rule.Allowed,
  [ExchangePurpose.StoreRead]: Rule.Allowed,
};

/** The replica wants nothing at all from this daemon. */
const ALL_REFUSED: Readonly<Record<ExchangePurpose, Rule>> = {
  [ExchangePurpose.Request]: Rule.Refused,
  [ExchangePurpose.Continuation]: Rule.Refused,
  [ExchangePurpose.Order]: Rule.Refused,
  [ExchangePurpose.Report]: Rule.Refused,
  [ExchangePurpose.RunCopy]: Rule.Refused,
  [ExchangePurpose.StoreRead]: Rule.Refused,
};

const RULES: Readonly<Record<AvailabilityState, Readonly<Record<ExchangePurpose, Rule>>>> = {
  [AvailabilityState.Accepting]: ALL_ALLOWED,
  [AvailabilityState.Backoff]: ALL_REFUSED,
  [AvailabilityState.Unlisted]: WHILE_SHUTTING_DOWN,
  [AvailabilityState.Leaving]: WHILE_SHUTTING_DOWN,
};

/**
 * Decides whether an exchange may be sent to a replica.
 * @param graceMs - Time after the declaration for which requests are still allowed, in milliseconds.
 */
export function isAllowed(
  { state, forMs }: Availability,
  purpose: ExchangePurpose,
  graceMs: number,
): boolean {
  const rule = RULES[state][purpose];
  return rule === Rule.Allowed || (rule === Rule.Briefly && forMs < graceMs);
}
