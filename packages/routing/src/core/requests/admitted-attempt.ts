/** What an attempt holds from its admission at a replica until its end. */
import type { Suspicion } from '@celeryyoke/core';

import type { RetryPermit } from '../budget/index.js';
import type { Choice, InFlightHandle } from '../choice/index.js';
import type { SlotPermit } from '../limits/index.js';

/** An attempt that may be sent now. */
export interface AdmittedAttempt {
  readonly choice: Choice;
  /** Identifies the copied run state from which a migrated stream goes on. */
  readonly continuation: string | undefined;
  readonly handle: InFlightHandle;
  readonly permit: SlotPermit;
  /** What was known of its request. */
  readonly suspicion: Suspicion;
  /** Permit of the retry budget; undefined if the request holds it itself, or needs none. */
  readonly retryPermit?: RetryPermit;
}

/**
 * Gives back what an attempt holds, other than its retry permit.
 * @param wasRejected - Whether its replica has rejected it.
 */
export function endAdmission({ handle, permit }: AdmittedAttempt, wasRejected = false): void {
  permit.release(wasRejected);
  handle.requestEnded();
}

/** Gives back all that an attempt holds that is not made. */
export function discardAdmission(admitted: AdmittedAttempt): void {
  admitted.retryPermit?.release();
  endAdmission(admitted);
}
