/** Client accounts: authentication by key, and quotas that hold for the whole fleet. */
export type { AccountLookup, Authentication } from './authentication.js';
export { authenticate, AuthOutcome } from './authentication.js';
export { digestKey } from './key-digest.js';
export type { AccountQuota, ClientAccount, Credentials } from './types.js';
export { CredentialState, QuotaUnit } from './types.js';
