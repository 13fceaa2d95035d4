/** Makes the table of an engine's slots anew from a report that was proved to be exact. */
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { SlotState } from './slots.js';
import type { EngineReport } from './types.js';
import { adapterKey } from './types.js';

/** Adapters by `model/adapter`, and their versions. */
type Versions = ReadonlyMap<string, number>;

/**
 * Takes over what a report lists. Nothing of what was known before stays but the loads that requests wait for, and that the
 * engine has not accepted: they keep a slot.
 * @param session - The engine's slots.
 * @param report - The report; no order is under way that it does not cover.
 * @param follow - Follows a load that no task follows yet.
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
    if (coming.has(key) || isInPlace(slot, held)) continue;
    if (slot.watcher === undefined) session.free(key, 'not reported');
    else Object.assign(slot, { state: SlotState.Reserved, beneath: held.get(key) } satisfies Partial<Slot>);
  }
  for (const [key, version] of held) {
    const slot = slots.get(key);
    if (slot === undefined) slots.put(key, version, SlotState.Held);
    else if (isInPlace(slot, held))
      Object.assign(slot, { version, state: SlotState.Held, beneath: undefined } satisfies Partial<Slot>);
    // The report is some hundred milliseconds old.
    slots.get(key)!.isSeen = false;
  }
  for (const [key, version] of coming) {
    const slot = slots.put(key, version, SlotState.Loading);
    slot.beneath = held.get(key);
    if (slot.watcher === undefined) follow(slot);
  }
}

/**
 * Notes which adapters are known to be in place, where a report shows an order of this owner: then it is later than the
 * proof, and no unload of a former owner can still have waited.
 * @param session - The engine's slots.
 * @param report - The report.
 */
export function noteSeen(session: EngineSession, report: EngineReport): void {
  if (report.sequence <= session.provedSequence) return;
  for (const [key] of heldVersions(report)) {
    const slot = session.parts.slots.get(key);
    if (slot?.state === SlotState.Held) slot.isSeen = true;
  }
}

/** Whether a report shows what is wanted of a slot; an older version is not enough for a load that requests wait for. */
function isInPlace({ key, version, watcher }: Slot, held: Versions): boolean {
  const inPlace = held.get(key);
  if (inPlace === undefined) return false;
  return watcher === undefined || inPlace >= version;
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
