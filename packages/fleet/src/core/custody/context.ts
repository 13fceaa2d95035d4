/** Context shared by the parts of custody. */
import type { PeerProcedure } from '../peers/index.js';
import type { BucketState } from './bucket.js';
import type { DaemonTracker } from './daemon-tracker.js';
import type { CustodyCargo, CustodyOptions } from './types.js';

/** Options, state and calls that handovers and claims need from the custody of this daemon. */
export interface CustodyContext {
  readonly options: CustodyOptions;
  readonly daemons: DaemonTracker;
  state(bucket: number): BucketState;
  /** The records that move with a bucket. */
  cargo(): CustodyCargo;
  /** Whether this daemon is shutting down and hands over all its buckets. */
  isShuttingDown(): boolean;
  /** Calls a peer; false if the call fails or the peer refuses. */
  call<Input>(peer: string, procedure: PeerProcedure<Input, boolean>, input: Input): Promise<boolean>;
}
