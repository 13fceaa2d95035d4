/** Idempotency keys. */
export { readKeyTime } from './identity.js';
export { createKeyLedger } from './ledger.js';
export { KeyOutcome } from './types.js';
export type { KeyAdmission, KeyLedger, KeyLedgerOptions } from './types.js';
