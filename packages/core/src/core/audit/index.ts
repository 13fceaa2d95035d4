/** The audit trail of changes. */
export { createAuditLog } from './log.js';
export type { AuditLogOptions } from './log.js';
export { createAuditTrail } from './trail.js';
export type { AuditOptions } from './trail.js';
export { AuditKind } from './types.js';
export type { AuditChange, AuditRecord, AuditTrail } from './types.js';
