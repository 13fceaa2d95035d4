/** Writes every change to a log stream of its own, one JSON object a line. */
import type { Writable } from 'node:stream';

import winston from 'winston';

import type { AuditRecord, AuditTrail } from './types.js';

/** Options of the audit log. */
export interface AuditLogOptions {
  readonly trail: AuditTrail;
  /** Where lines go. */
  readonly stream: Writable;
}

/**
 * Writes out the changes that are kept, and from then on each new one.
 * @param options - The trail and the stream.
 * @returns Ends the writing; the stream stays open.
 */
export function createAuditLog(options: AuditLogOptions): () => void {
  const { trail, stream } = options;
  const logger = winston.createLogger({
    format: winston.format.printf(({ record }) => JSON.stringify(record)),
    transports: [new winston.transports.Stream({ stream })],
  });
  const write = (record: AuditRecord): void => {
    logger.log({ level: 'info', message: record.kind, record });
  };
  trail.read().forEach(write);
  return trail.subscribe(write);
}
