/** The rule for every way in which a stream goes on: only at the software version that began it. */
import type { StreamOrigin } from './types.js';
import { OriginState } from './types.js';

/** What is known of a stream that is to go on. */
export interface ContinuationFacts {
  /** What is recorded of the stream. */
  readonly origin: StreamOrigin;
  /** The only version that can have begun the stream; undefined if there may be several. */
  readonly onlyVersion: string | undefined;
}

/**
 * Returns the software version at which a stream may go on.
 * @returns Undefined if it must not go on anywhere, as the version that began it is not known.
 */
export function continuationVersion({ origin, onlyVersion }: ContinuationFacts): string | undefined {
  if (origin.state === OriginState.Known) return origin.softwareVersion;
  return origin.state === OriginState.Ambiguous ? undefined : onlyVersion;
}
