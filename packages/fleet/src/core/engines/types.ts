/**
 * Types of the engine owners, which manage an engine's adapter slots, grant leases on them and send it
 * orders.
 */
import type { AuditTrail, Log, Metrics, TimerService } from '@celeryyoke/core';
import type { ConfigHolder, EngineConfig } from '@celeryyoke/configuration';
import type { PlacementPolicy, SlotView } from '@celeryyoke/placement';
import type { EngineClient } from '@celeryyoke/platform';

import type { LeaseTimes, SiteState } from '../leases/index.js';
import type { Membership } from '../membership/index.js';
import type { Authority, Ownership } from '../ownership/index.js';
import type { PeerBus } from '../peers/index.js';
import type { PermitDesk } from '../permits/index.js';

/** Dependencies and settings of the engine owners. */
export interface EngineOwnersOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly audit: AuditTrail;
  readonly config: ConfigHolder;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly policy: PlacementPolicy;
  /** Requests load permits from the owner of the engine's weight store. */
  readonly permits: PermitDesk;
  /** Where owners publish the state of their engines. */
  readonly site: SiteState;
  /** Returns the client of an engine; the owners do not close it. */
  readonly clients: (engine: EngineConfig) => EngineClient;
  readonly times?: Partial<LeaseTimes> | undefined;
}

/** State of an engine that this daemon owns, for the status command. */
export interface OwnedEngine {
  readonly engine: string;
  readonly authority: Authority;
  /** Whether the owner has taken the resident adapters over from a report of the engine. */
  readonly adopted: boolean;
  readonly healthy: boolean;
  readonly slots: readonly SlotView[];
  /** Outstanding slot leases. */
  readonly leases: number;
  readonly running: number;
  readonly waiting: number;
}

/** Runs one owner for each engine that this daemon owns. */
export interface EngineOwners {
  /** Registers the lease procedures on the bus and creates the owners. */
  start(): void;
  /** Stops all owners; waiting lease requests are refused. */
  stop(): Promise<void>;
  /** State of the engines that this daemon owns at this moment. */
  ownedEngines(): readonly OwnedEngine[];
}
