/** The operators' listener. */
import type { AuditTrail, Log, Metrics } from '@celeryyoke/core';

import type { FleetQuestions } from '../status/index.js';

/** Options of the operators' listener. */
export interface AdminServerOptions {
  readonly log: Log;
  /** Metrics to show; none when the settings leave them out. */
  readonly metrics: Metrics | undefined;
  readonly audit: AuditTrail;
  readonly questions: FleetQuestions;
  /** Whether the daemon may get requests now; the reason when it may not. */
  readonly unready: () => string | undefined;
}

/** The operators' listener. */
export interface AdminServer {
  /**
   * Listens.
   * @param address - IP number.
   * @param port - Port; 0 for any.
   * @returns The port.
   */
  listen(address: string, port: number): Promise<number>;
  /** Closes every connection. */
  close(): Promise<void>;
}
