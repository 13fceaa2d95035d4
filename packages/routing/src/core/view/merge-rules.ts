/**
 * How a record that arrives is merged with the one that is known, by kind of record.
 *
 * The store may come back from a copy that lacks acknowledged changes. What has an order of its own is never replaced
 * by an earlier state, whatever the store says.
 */
import type { ViewRecord } from './types.js';
import { RecordKind } from './types.js';

/**
 * Decides between two records of one key.
 * @param isLater - Whether the record that arrives was written at a later position of the store.
 * @returns The record that is in force.
 */
type MergeRule<Kind extends RecordKind> = (
  known: ViewRecord & { kind: Kind },
  next: ViewRecord & { kind: Kind },
  isLater: boolean,
) => ViewRecord;

/** Keeps the later version; of the same version, the contents that were written later. */
function isNewer(known: number, next: number, isLater: boolean): boolean {
  return next > known || (next === known && isLater);
}

const MERGE_RULES: { readonly [Kind in RecordKind]: MergeRule<Kind> } = {
  [RecordKind.Document]: (known, next, isLater) =>
    isNewer(known.document.version, next.document.version, isLater) ? next : known,
  [RecordKind.AdapterVersion]: (known, next, isLater) =>
    isNewer(known.declared.version, next.declared.version, isLater) ? next : known,
  // The registry of replicas keeps those that have left from coming back.
  [RecordKind.Replica]: (known, next, isLater) => (isLater ? next : known),
};

/** Kinds whose records have a version of their own, so that a copy of the store can't take them back. */
const VERSIONED: ReadonlySet<RecordKind> = new Set([RecordKind.Document, RecordKind.AdapterVersion]);

/** Whether a record has a version of its own, by which it is in order also across sequences of revisions. */
export function isVersioned(record: ViewRecord | undefined): boolean {
  return record !== undefined && VERSIONED.has(record.kind);
}

/**
 * Merges two states of one key.
 * @param known - State that is known; undefined if the record was removed.
 * @param next - State that arrives; undefined if the record was removed.
 * @param isLater - Whether the state that arrives was written at a later position of the store.
 * @returns The state that is in force.
 */
export function mergeRecords(
  known: ViewRecord | undefined,
  next: ViewRecord | undefined,
  isLater: boolean,
): ViewRecord | undefined {
  if (known === undefined || next === undefined || known.kind !== next.kind) return isLater ? next : known;
  const rule = MERGE_RULES[known.kind] as MergeRule<RecordKind>;
  return rule(known, next, isLater);
}
