/** The plan as a table. */
import type { EventPlan } from '@celeryyoke/placement';
import { UnplacedReason } from '@celeryyoke/placement';
import Table from 'cli-table3';

const MS_PER_SECOND = 1000;

const REASONS: Readonly<Record<UnplacedReason, string>> = {
  [UnplacedReason.NoSlot]: 'no slot is left that events may reserve',
  [UnplacedReason.NoEngine]: 'no engine serves its base model',
  [UnplacedReason.Unknown]: 'the adapter or its version is not declared',
};

function formatTime(ms: number): string {
  return new Date(ms).toISOString().replace('T', ' ').slice(0, -1);
}

function formatLate(ms: number): string {
  return `${(ms / MS_PER_SECOND).toFixed(1)} s`;
}

/**
 * Makes the table of the loads.
 * @param plan - The plan.
 * @returns Text; times are UTC.
 */
export function planTable(plan: EventPlan): string {
  if (plan.loads.length === 0) return 'No event needs a load.';
  const table = new Table({
    head: ['load at (UTC)', 'ready', 'event', 'adapter', 'engine', 'requests/s', 'start', 'late'],
    style: { head: [], border: [] },
  });
  for (const load of plan.loads) {
    const late = load.lateMs === 0 ? '' : formatLate(load.lateMs);
    const { event, key, engine, rps, startMs } = load;
    const times = [formatTime(load.loadAtMs), formatTime(load.readyAtMs)];
    table.push([...times, event, key, engine, rps, formatTime(startMs), late]);
  }
  return table.toString();
}

/**
 * Names what is not ready at the start of its event.
 * @param plan - The plan.
 * @returns A line for each load that is late.
 */
export function lateLines(plan: EventPlan): readonly string[] {
  const late = plan.loads.filter(({ lateMs }) => lateMs > 0);
  return late.map(
    ({ event, key, engine, lateMs }) => `${event}: ${key} is ready ${formatLate(lateMs)} late on ${engine}.`,
  );
}

/**
 * Names what gets no slot.
 * @param plan - The plan.
 * @returns A line for each adapter.
 */
export function unplacedLines(plan: EventPlan): readonly string[] {
  return plan.unplaced.map(({ event, key, reason }) => `${event}: ${key} is not loaded: ${REASONS[reason]}.`);
}
