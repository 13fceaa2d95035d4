/** Client accounts: whose keys are accepted, how urgent their requests are, and how much they may ask for. */

/** What a quota counts. */
export enum QuotaUnit {
  Requests = 'requests',
  /** Tokens of the prompt and the most tokens of the answer. */
  Tokens = 'tokens',
}

/** Token bucket of an account, summed over all daemons. */
export interface AccountQuota {
  readonly unit: QuotaUnit;
  /** Refill, in units a second. */
  readonly ratePerSecond: number;
  /** Capacity of the bucket, in units. */
  readonly burst: number;
  /** Cost of a request that does not state its tokens, where tokens are counted. */
  readonly plainTokens: number;
}

/** A client account as the configuration declares it. */
export interface ClientAccount {
  readonly name: string;
  /** Digests of its keys, see {@link digestKey}; the keys themselves are not kept. */
  readonly keyDigests: readonly string[];
  /** Replaces the rank of the route; undefined where the route's own holds. */
  readonly rank: number | undefined;
  /** Undefined where the account is not limited. */
  readonly quota: AccountQuota | undefined;
}

/** What a request says of its key. */
export enum CredentialState {
  Absent = 'absent',
  /** Not one single key in the expected scheme. */
  Malformed = 'malformed',
  Present = 'present',
}

/** The key of a request; only its digest is kept. */
export type Credentials =
  | { readonly state: CredentialState.Absent }
  | { readonly state: CredentialState.Malformed }
  | { readonly state: CredentialState.Present; readonly keyDigest: string };
