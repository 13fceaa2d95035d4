/** Decides whose request it is. */
import type { Route } from '../catalog/index.js';
import type { ClientAccount, Credentials } from './types.js';
import { CredentialState } from './types.js';

/** Result of an authentication. */
export enum AuthOutcome {
  Accepted = 'accepted',
  /** The route asks for a key and there is none. */
  MissingKey = 'missingKey',
  MalformedKey = 'malformedKey',
  UnknownKey = 'unknownKey',
}

/** An authentication and the account that it found. */
export interface Authentication {
  readonly outcome: AuthOutcome;
  /** Undefined where there is none, also on anonymous routes without a key. */
  readonly account: ClientAccount | undefined;
}

/** The accounts of the configuration in force. */
export interface AccountLookup {
  /** Whether the configuration declares accounts at all. */
  readonly hasAccounts: boolean;
  /** Finds the account that holds a key. */
  accountOf(keyDigest: string): ClientAccount | undefined;
}

const ANONYMOUS: Authentication = { outcome: AuthOutcome.Accepted, account: undefined };

/**
 * Authenticates a request. A key that is sent on an anonymous route must be valid as well.
 * @param accounts - The accounts in force; where none are declared, every request is accepted.
 * @param route - Route of the request.
 * @param credentials - Its key.
 * @returns The account, or why the request is refused.
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
