/**
 * Computes the load plan for scheduled events. Every daemon computes the same plan from the configuration and
 * the host list, and each engine owner applies the part for its engine.
 */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { AdapterKey, EventPlan, LoadWant } from '@celeryyoke/placement';
import { eventWants, planEvents, reservedKeys } from '@celeryyoke/placement';
import { HostRole } from '@celeryyoke/platform';

import type { SiteState } from '../leases/index.js';
import type { Membership } from '../membership/index.js';

const EMPTY_PLAN: EventPlan = { loads: [], unplaced: [] };
/** Time affects the plan only through overdue loads, so it is not recomputed at each tick. */
const PLAN_INTERVAL_MS = 5000;

export interface EventScheduleOptions {
  readonly config: ConfigHolder;
  readonly membership: Membership;
  readonly site: SiteState;
  readonly timers: TimerService;
  readonly audit: AuditTrail;
  readonly log: Log;
}

/** The loads and reserved slots that scheduled events require at this moment. */
export interface EventSchedule {
  /** Recomputes the plan when its inputs have changed or the interval has passed. */
  refresh(): void;
  /** Keys of adapters that must not be evicted now. */
  reserved(): ReadonlySet<AdapterKey>;
  /** Loads that are due now on an engine. */
  wants(engine: string): readonly LoadWant[];
}

/** Returns the plan as text, one line per entry, to detect changes. */
function describePlan({ loads, unplaced }: EventPlan): string {
  const placed = loads.map(({ event, key, engine, loadAtMs }) => `${event} ${key} ${engine} ${loadAtMs}`);
  return [...placed, ...unplaced.map(({ event, key, reason }) => `${event} ${key} ${reason}`)].join('\n');
}

class PlannedSchedule implements EventSchedule {
  private plan = EMPTY_PLAN;

  /** The plan as text, to detect changes. */
  private text = '';

  private planInputs = '';

  private plannedAt = -Infinity;

  constructor(private readonly options: EventScheduleOptions) {}

  refresh(): void {
    const { config, timers } = this.options;
    const snapshot = config.current();
    if (snapshot === undefined) return;
    const engines = this.liveEngines();
    const inputs = `${snapshot.digest} ${engines.join(' ')}`;
    if (inputs === this.planInputs && timers.now() < this.plannedAt + PLAN_INTERVAL_MS) return;
    this.planInputs = inputs;
    this.plannedAt = timers.now();
    const hasEvents = snapshot.config.events.length > 0;
    this.setPlan(hasEvents ? planEvents(snapshot.config, engines, timers.wall()) : EMPTY_PLAN);
  }

  reserved(): ReadonlySet<AdapterKey> {
    return reservedKeys(this.plan, this.options.timers.wall());
  }

  wants(engine: string): readonly LoadWant[] {
    const { timers, site } = this.options;
    return eventWants({
      plan: this.plan,
      engine,
      wallMs: timers.wall(),
      now: timers.now(),
      isHeld: (key) => site.holders(key).length > 0,
    });
  }

  private liveEngines(): string[] {
    const { membership } = this.options;
    const engines = membership.hosts(HostRole.Engine).filter(({ name }) => membership.isLive(name));
    return engines.map(({ name }) => name).sort();
  }

  private setPlan(plan: EventPlan): void {
    this.plan = plan;
    const text = describePlan(plan);
    if (text === this.text) return;
    const entriesBefore = this.text === '' ? 0 : this.text.split('\n').length;
    this.text = text;
    const { audit, log } = this.options;
    const late = plan.loads.filter((load) => load.lateMs > 0).length;
    const cause = `${plan.loads.length} adapters planned, ${late} late, ${plan.unplaced.length} without a slot`;
    log.info(`Event plan changed: ${cause}.`);
    audit.record({
      kind: AuditKind.EventPlanChanged,
      subject: 'events',
      cause,
      before: { adapters: entriesBefore },
      after: { adapters: plan.loads.length + plan.unplaced.length },
    });
  }
}

/** Creates the schedule; the plan is empty until the first `refresh`. */
export function createEventSchedule(options: EventScheduleOptions): EventSchedule {
  return new PlannedSchedule(options);
}
