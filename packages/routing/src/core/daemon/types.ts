/** Settings and dependencies of a router daemon. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EngineControl, IdentityCheck } from '../adapters/index.js';
import type { BudgetBounds } from '../budget/index.js';
import type { ChannelPool } from '../channels/index.js';
import type { RequestDialect, RunStateCopier } from '../requests/index.js';
import type { RecordSource } from '../view/index.js';

/** Settings of a router daemon; the adapter to the platform maps the platform's settings to them. */
export interface RouterSettings {
  /** Name of the daemon, for logs and for orders to engines. */
  readonly name: string;
  /** Address of its host. */
  readonly host: string;
  /** Failure domain. */
  readonly zone: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  /** Port on which the metrics are served; undefined to not serve them. */
  readonly metricsPort: number | undefined;
  /** Peers to contact first, as `host:port`; they may be outdated or down. */
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts for the first time, before any caller. */
  readonly isFirstStart: boolean;
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly graceMs: number;
  /** Time after which a replica that leaves gets no request, in milliseconds. */
  readonly drainMs: number;
  /** Duration of the lease with which a daemon owns an engine, in milliseconds. */
  readonly leaseMs: number;
  /** Interval at which replicas write their entries in the platform's registry, in milliseconds; 0 if it is not known. */
  readonly replicaWriteIntervalMs: number;
  /** Whether engines refuse an order whose fencing token is lower than one they have seen. */
  readonly isFenced: boolean;
  readonly budget: BudgetBounds;
  /** Window in which a client account may use its rate over the window plus its burst, in milliseconds. */
  readonly quotaWindowMs: number;
  /** Most descriptors that the process may have open. */
  readonly maxDescriptors: number;
}

/** Dependencies of a router daemon, besides its settings. */
export interface RouterOptions {
  readonly settings: RouterSettings;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Number of log lines that were dropped because the output did not accept them. */
  readonly droppedLines: () => number;
  readonly dialect: RequestDialect;
  readonly source: RecordSource;
  /** Creates the client that sends orders to engines over the daemon's connection pool. */
  readonly control: (pool: ChannelPool) => EngineControl & RunStateCopier & IdentityCheck;
  /** Whether a path on the readiness port is the readiness probe. */
  readonly isReadinessPath: (path: string) => boolean;
}
