/** Types of client accounts: their keys, the rank of their requests, and their quotas. */

/** What a quota counts. */
export enum QuotaUnit {
  Requests = 'requests',
  /** Tokens of the prompt plus the maximum number of output tokens. */
  Tokens = 'tokens',
}

/** Token bucket of an account; it limits the sum over all daemons. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Refill, in units per second. */
  readonly ratePerSecond: number;
  /** Capacity of the bucket, in units. */
  readonly burst: number;
  /** Cost of a request that does not state its number of tokens, where tokens are counted. */
  readonly plainTokens: number;
}

/** A client account as the configuration declares it. */
export interface ClientAccount {
  readonly name: string;
  /** Digests of its keys, see {@link digestKey}; the keys themselves are not stored. */
  readonly keyDigests: readonly string[];
  /** Overrides the rank of the route; undefined to use the route's. */
  readonly rank: number | undefined;
  /** Undefined if the account is not limited. */
  readonly quota: AccountQuota | undefined;
}

/** Whether a request carries a usable key. */
export enum CredentialState {
  Absent = 'absent',
  /** The request does not carry exactly one key in the expected scheme. */
  Malformed = 'malformed',
  Present = 'present',
}

/** Credentials of a request, with the digest of its key instead of the key. */
export type Credentials =
  | { readonly state: CredentialState.Absent }
  | { readonly state: CredentialState.Malformed }
  | { readonly state: CredentialState.Present; readonly keyDigest: string };
