/** `celeryyoke audit`: the audit trail of a daemon. */
export { runAudit } from './audit.js';
export type { AuditOptions } from './audit.js';
