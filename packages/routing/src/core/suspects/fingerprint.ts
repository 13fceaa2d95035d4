/**
 * Recognizes a request that is sent again: its id is another one each time, and it may come from any address. Recognizes
 * what different requests share, too.
 */
import type { SharedFeature } from '@celeryyoke/core';
import { createHash } from 'node:crypto';

/** Digits of a fingerprint, four bits each. */
const FINGERPRINT_DIGITS = 32;

/** What replicas see of a request, and what stays the same when it is sent again. */
export interface RequestIdentity {
  /** Name of the client account; undefined for an anonymous request. */
  readonly account: string | undefined;
  readonly method: string;
  /** Host without the port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer | undefined;
  /** What it shares with others. */
  readonly shared: readonly SharedFeature[];
}

/** Fingerprints of one request. */
export interface RequestFingerprints {
  /** Of the request as it is. */
  readonly exact: string;
  /** Of all requests that differ from it in the query only; undefined for a request without a query. */
  readonly anyQuery: string | undefined;
  /** What it shares with others, such as the parts of its prompt. */
  readonly shared: readonly SharedFeature[];
}

/**
 * Computes the fingerprints of a request. The hash is cryptographic, so that no client can make a request that
 * has the fingerprint of another account's.
 */
export function fingerprintsOf({
  account,
  method,
  host,
  target,
  body,
  shared,
}: RequestIdentity): RequestFingerprints {
  const digest = (scope: readonly (string | undefined)[]): string => {
    const hash = createHash('sha256').update(JSON.stringify([account, method, host, ...scope]));
    if (body !== undefined) hash.update(body);
    return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
  };
  const queryAt = target.indexOf('?');
  return {
    exact: digest(['exact', target]),
    anyQuery: queryAt < 0 ? undefined : digest(['any query', target.slice(0, queryAt)]),
    shared,
  };
}

/**
 * Lists what a request shares with others.
 * @param promptParts - Ids of the parts of its prompt that other requests may share.
 * @param account - Name of the client account; undefined for an anonymous request.
 */
export function sharedFeatures(
  promptParts: readonly string[],
  account: string | undefined,
): readonly SharedFeature[] {
  return promptParts.flatMap((part) => featuresOfPart(part, account));
}

/**
 * Features of a part of a prompt. What crashes replicas in requests of one account is refused to that account only; if
 * several accounts show it, to all.
 */
function featuresOfPart(part: string, account: string | undefined): SharedFeature[] {
  const feature = `part ${part}`;
  if (account === undefined) return [{ feature }];
  return [{ feature: `${feature} of ${account}` }, { feature, within: account }];
}

/** Lists the features of a request. */
export function* featureNames({ exact, anyQuery, shared }: RequestFingerprints): Generator<string> {
  yield exact;
  if (anyQuery !== undefined) yield anyQuery;
  for (const { feature } of shared) yield feature;
}
