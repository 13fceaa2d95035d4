/** Brings the table of an engine's slots in line with a report that was proved to be exact. */
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { isMoving, SlotState } from './slots.js';
import type { EngineReport } from './types.js';
import { adapterKey } from './types.js';

/** Adapters by `model/adapter`, and their versions. */
type Versions = ReadonlyMap<string, number>;

/**
 * Takes over what a report lists. A slot that an order of this keeper concerns is left to the task that follows that
 * order, and counts twice while the report lists another version beside it.
 * @param session - The engine's slots.
 * @param report - The report.
 * @param follow - Follows a load that this keeper does not follow yet.
 */
export function adoptReport(
  session: EngineSession,
  report: EngineReport,
  follow: (slot: Slot) => void,
): void {
  const { slots } = session.parts;
  const held = heldVersions(report);
  const coming = comingVersions(report);
  session.note(report);
  for (const slot of [...slots.all()]) {
    const { key } = slot;
    if (isMoving(slot)) slot.isReplacement ||= takesTwoSlots(slot, session, coming);
    else if (!held.has(key) && !coming.has(key)) session.free(key, 'not reported');
  }
  for (const [key, version] of held) if (!coming.has(key)) putHeld(session, key, version);
  for (const [key, version] of coming) {
    const known = slots.get(key);
    if (known !== undefined && isMoving(known)) continue;
    const slot = slots.put(key, version, SlotState.Loading);
    slot.isReplacement = held.has(key);
    follow(slot);
  }
}

function putHeld(session: EngineSession, key: string, version: number): void {
  const { slots } = session.parts;
  const known = slots.get(key);
  if (known === undefined) slots.put(key, version, SlotState.Held);
  else if (!isMoving(known))
    Object.assign(known, { version, state: SlotState.Held, isReplacement: false } satisfies Partial<Slot>);
}

/** Whether another version takes up room beside the one that a slot is about. */
function takesTwoSlots({ key, version, state }: Slot, session: EngineSession, coming: Versions): boolean {
  if (state === SlotState.Dropping) return coming.has(key);
  return (session.reportedVersion(key) ?? version) < version;
}

function heldVersions({ models }: EngineReport): Versions {
  const versions = new Map<string, number>();
  for (const { name, adapters } of models)
    for (const adapter of adapters) versions.set(adapterKey(name, adapter.name), adapter.version);
  return versions;
}

function comingVersions({ loading }: EngineReport): Versions {
  return new Map(loading.map(({ model, adapter, version }) => [adapterKey(model, adapter), version]));
}
