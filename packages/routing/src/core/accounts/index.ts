/** Client accounts: authentication by API key, and quotas that are enforced across all daemons. */
export { AccountMetrics } from './account-metrics.js';
export type { AccountLookup, Authentication } from './authentication.js';
export { authenticate, AuthOutcome } from './authentication.js';
export type { AccountQuotasOptions, QuotaDecision } from './quotas.js';
export { AccountQuotas, QuotaDecider } from './quotas.js';
export { digestKey } from './key-digest.js';
export type { AccountQuota, ClientAccount, Credentials } from './types.js';
export { CredentialState, QuotaUnit } from './types.js';
export { AccountOwners } from './account-owners.js';
export { TokenBucket } from './token-bucket.js';
export { QuotaLedger, LedgerStart } from './quota-ledger.js';
export type { QuotaRow } from './quota-rows.js';
export { QuotaTable } from './quota-rows.js';
