/** Types of the event plan. */
import type { SiteConfig } from '@celeryyoke/configuration';

import type { AdapterKey } from '../policy/index.js';

/** The parts of a configuration that the plan depends on. */
export type PlanConfig = Pick<SiteConfig, 'engines' | 'stores' | 'adapters' | 'families' | 'events'>;

/** Why an adapter of an event gets no slot. */
export enum UnplacedReason {
  /** The event needs more slots than the engines of its base model can reserve. */
  NoSlot = 'no-slot',
  /** No live engine serves its base model. */
  NoEngine = 'no-engine',
  /** The adapter or the version is not declared. */
  Unknown = 'unknown',
}

/** An adapter that an event needs, and where it goes; times are milliseconds since the epoch. */
export interface PlannedLoad {
  readonly event: string;
  readonly key: AdapterKey;
  readonly model: string;
  readonly engine: string;
  readonly store: string;
  /** Expected requests a second. */
  readonly rps: number;
  /** When its load is due; its slot is reserved from then on. */
  readonly loadAtMs: number;
  /** When it is ready at the latest, if nothing fails. */
  readonly readyAtMs: number;
  readonly startMs: number;
  /** When its slot is given back. */
  readonly endMs: number;
  /** How long after the start it is ready; 0 when it is in time. */
  readonly lateMs: number;
}

/** An adapter that an event needs and that gets no slot. */
export interface UnplacedLoad {
  readonly event: string;
  readonly key: AdapterKey;
  readonly rps: number;
  readonly reason: UnplacedReason;
}

/** The plan of all events that have not ended. */
export interface EventPlan {
  /** In the order in which they are loaded. */
  readonly loads: readonly PlannedLoad[];
  readonly unplaced: readonly UnplacedLoad[];
}
