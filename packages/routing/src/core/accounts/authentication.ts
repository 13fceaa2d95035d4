/** Authenticates requests: finds the client account that a request's key belongs to. */
import type { Route } from '../catalog/index.js';
import type { ClientAccount, Credentials } from './types.js';
import { CredentialState } from './types.js';

/** Result of an authentication. */
export enum AuthOutcome {
  Accepted = 'accepted',
  /** The route requires a key and the request has none. */
  MissingKey = 'missingKey',
  MalformedKey = 'malformedKey',
  UnknownKey = 'unknownKey',
}

/** Result of an authentication, with the account that was found. */
export interface Authentication {
  readonly outcome: AuthOutcome;
  /** Undefined unless a key was accepted, so also on anonymous routes without a key. */
  readonly account: ClientAccount | undefined;
}

/** The accounts of the configuration in force. */
export interface AccountLookup {
  /** Whether the configuration declares any accounts. */
  readonly hasAccounts: boolean;
  /** Finds the account that a key belongs to. */
  accountOf(keyDigest: string): ClientAccount | undefined;
}

const ANONYMOUS: Authentication = { outcome: AuthOutcome.Accepted, account: undefined };

/**
 * Authenticates a request. If no accounts are declared, every request is accepted. A key that is sent on an
 * anonymous route must be valid as well.
 */
export function authenticate(
  accounts: AccountLookup,
  { isAnonymous }: Pick<Route, 'isAnonymous'>,
  credentials: Credentials,
): Authentication {
  if (!accounts.hasAccounts) return ANONYMOUS;
  if (credentials.state === CredentialState.Malformed)
    return { outcome: AuthOutcome.MalformedKey, account: undefined };
  if (credentials.state === CredentialState.Absent)
    return isAnonymous ? ANONYMOUS : { outcome: AuthOutcome.MissingKey, account: undefined };
  const account = accounts.accountOf(credentials.keyDigest);
  return { outcome: account === undefined ? AuthOutcome.UnknownKey : AuthOutcome.Accepted, account };
}
