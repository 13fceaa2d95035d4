/** What a router daemon is given. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineControl } from '../adapters/index.js';
import type { BudgetBounds } from '../budget/index.js';
import type { ChannelPool } from '../channels/index.js';
import type { RequestDialect, RunMover } from '../requests/index.js';
import type { RecordSource } from '../view/index.js';

/** Settings of a router daemon; an adapter to a platform reads them from the platform's own. */
export interface RouterSettings {
  /** Name of the daemon, for logs and orders. */
  readonly name: string;
  /** Address of its host. */
  readonly host: string;
  /** Failure domain. */
  readonly zone: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  /** Port on which the figures are served; undefined for none. */
  readonly metricsPort: number | undefined;
  /** Peers to ask first, as `host:port`; they may be stale or down. */
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts for the first time, before any caller. */
  readonly isFirstStart: boolean;
  /** Time for a graceful shutdown in milliseconds. */
  readonly graceMs: number;
  /** Lease of the right to give orders, in milliseconds. */
  readonly leaseMs: number;
  /** Whether engines refuse an order with a fencing token that is lower than one they have seen. */
  readonly isFenced: boolean;
  readonly budget: BudgetBounds;
  /** Window in which a client account may use its rate over the window and its burst, in milliseconds. */
  readonly quotaWindowMs: number;
}

/** Options of a router daemon. */
export interface RouterOptions {
  readonly settings: RouterSettings;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Log lines that the output did not take. */
  readonly droppedLines: () => number;
  readonly dialect: RequestDialect;
  readonly source: RecordSource;
  /** Makes the client for orders over the daemon's own connections. */
  readonly control: (pool: ChannelPool) => EngineControl & RunMover;
  /** Whether a path on the readiness port is the question. */
  readonly isReadinessPath: (path: string) => boolean;
}
