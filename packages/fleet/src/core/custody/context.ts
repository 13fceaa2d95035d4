/** What the parts of custody share. */
import type { PeerProcedure } from '../peers/index.js';
import type { BucketState } from './bucket.js';
import type { Keepers } from './daemon-tracker.js';
import type { CustodyCargo, CustodyOptions } from './types.js';

/** What the parts of custody share. */
export interface CustodyContext {
  readonly options: CustodyOptions;
  readonly keepers: Keepers;
  /** Finds the state of a bucket. */
  state(bucket: number): BucketState;
  /** What travels with custody. */
  cargo(): CustodyCargo;
  /** Whether this daemon hands everything over. */
  isLeaving(): boolean;
  /** Calls a peer; false when it can't be reached or refuses. */
  call<Input>(peer: string, procedure: PeerProcedure<Input, boolean>, input: Input): Promise<boolean>;
}
