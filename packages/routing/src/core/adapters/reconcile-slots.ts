/** Updates the slot table of an engine from its reports. */
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { SlotState } from './slots.js';
import type { EngineReport } from './types.js';
import { adapterKey } from './types.js';

/** Adapter versions by `model/adapter`. */
type Versions = ReadonlyMap<string, number>;

/**
 * Rebuilds the slot table from a report that was verified to be current. Discards all earlier state except
 * loads that requests wait for and the engine has not accepted; those keep their slot.
 * @param report - The report; it covers every order sent so far.
 * @param follow - Starts a task for a load that no task follows yet.
 */
export function reconcileSlots(
  session: EngineSession,
  report: EngineReport,
  follow: (slot: Slot) => void,
): void {
  const { slots } = session.context;
  const resident = residentVersions(report);
  const loading = loadingVersions(report);
  session.recordReport(report);
  for (const slot of [...slots.all()]) {
    const { key } = slot;
    if (loading.has(key) || isResident(slot, resident)) continue;
    if (slot.loadTask === undefined) session.releaseSlot(key, 'not reported');
    else
      Object.assign(slot, {
        state: SlotState.Reserved,
        replacedVersion: resident.get(key),
      } satisfies Partial<Slot>);
  }
  for (const [key, version] of resident) {
    const slot = slots.get(key);
    if (slot === undefined) slots.put(key, version, SlotState.Resident);
    else if (isResident(slot, resident))
      Object.assign(slot, {
        version,
        state: SlotState.Resident,
        replacedVersion: undefined,
      } satisfies Partial<Slot>);
    // The report lags by some hundred milliseconds.
    slots.get(key)!.isConfirmedResident = false;
  }
  for (const [key, version] of loading) {
    const slot = slots.put(key, version, SlotState.Loading);
    slot.replacedVersion = resident.get(key);
    if (slot.loadTask === undefined) follow(slot);
  }
}

/**
 * Marks the resident adapters as confirmed when a report covers an order of this owner. Such a report is
 * later than the verification, so no unload of a former owner can still have been pending.
 */
export function markConfirmed(session: EngineSession, report: EngineReport): void {
  if (report.sequence <= session.verifiedSequence) return;
  for (const [key] of residentVersions(report)) {
    const slot = session.context.slots.get(key);
    if (slot?.state === SlotState.Resident) slot.isConfirmedResident = true;
  }
}

/**
 * Returns whether a report shows the adapter of a slot as resident. For a load that requests wait for, an
 * older version is not sufficient.
 */
function isResident({ key, version, loadTask }: Slot, resident: Versions): boolean {
  const residentVersion = resident.get(key);
  if (residentVersion === undefined) return false;
  return loadTask === undefined || residentVersion >= version;
}

function residentVersions({ models }: EngineReport): Versions {
  const versions = new Map<string, number>();
  for (const { name, adapters } of models)
    for (const adapter of adapters) versions.set(adapterKey(name, adapter.name), adapter.version);
  return versions;
}

function loadingVersions({ loading }: EngineReport): Versions {
  return new Map(loading.map(({ model, adapter, version }) => [adapterKey(model, adapter), version]));
}
