/**
 * What the store's history shows of the replicas before this fleet started.
 *
 * Revisions have no times, but each replica writes its entry at a known interval. The number of its writes in the
 * history bounds from below how long the history is.
 */
import type { EntryWrite, RecordSource, ReplicaEntry } from '../view/index.js';
import { ANY_SERVICE, UNKNOWN_VERSION } from './version-table.js';

/** Shortest time between two writes of a replica, as a share of its interval, on the average of many. */
const MIN_INTERVAL_SHARE = 0.8;
/** Largest error of the clocks by which starts are stated and compared, in milliseconds: they may jump by seconds. */
const CLOCK_TOLERANCE_MS = 10_000;
/** First step back from the newest revision in the search for the oldest one that the store still has. */
const FIRST_STEP = 64;
/** Share of the history that may be left out, as each further step of the search is a call. */
const SEARCH_TOLERANCE = 1 / 32;

/** Writes to the entries of replicas, from a revision on without a gap. */
export interface StoreHistory {
  /** Revision after which nothing is missing; 0 if the store has its whole history. */
  readonly from: number;
  readonly writes: readonly EntryWrite[];
}

/** A version that a replica had, or may have had, in the history. */
export interface PastVersion {
  readonly service: string;
  readonly softwareVersion: string;
  /** Time for which its replica has been gone at least, in milliseconds; 0 if it is not gone. */
  readonly removedAgoMs: number;
}

/**
 * Reads as much of the history as the store still has.
 * @param upTo - Latest revision that is known.
 * @returns Undefined if it has none.
 */
export async function readStoreHistory(
  source: Pick<RecordSource, 'hasHistory' | 'replicaWrites'>,
  upTo: number,
  signal: AbortSignal,
): Promise<StoreHistory | undefined> {
  const whole = await source.replicaWrites(0, signal);
  if (whole !== undefined) return { from: 0, writes: whole };
  const oldest = await findOldest(source, upTo, signal);
  if (oldest === undefined) return undefined;
  // The store discards its history while it is searched.
  for (let from = oldest, step = 1; from <= upTo; from += step, step *= 2) {
    const writes = await source.replicaWrites(from, signal);
    if (writes !== undefined) return { from, writes };
  }
  return undefined;
}

/** Finds about the oldest revision after which the store still has all changes; it does not have those after 0. */
async function findOldest(
  source: Pick<RecordSource, 'hasHistory'>,
  upTo: number,
  signal: AbortSignal,
): Promise<number | undefined> {
  if (!(await source.hasHistory(upTo, signal))) return undefined;
  let present = upTo;
  let missing = 0;
  for (let step = FIRST_STEP; upTo - step > 0; step *= 2) {
    if (!(await source.hasHistory(upTo - step, signal))) {
      missing = upTo - step;
      break;
    }
    present = upTo - step;
  }
  while (present - missing > Math.max(1, (upTo - present) * SEARCH_TOLERANCE)) {
    const middle = Math.floor((present + missing) / 2);
    if (await source.hasHistory(middle, signal)) present = middle;
    else missing = middle;
  }
  return present;
}

/**
 * Returns how long writes took at least.
 *
 * A single replica proves it only where no other has written: its count of writes may be wrong.
 * @param intervalMs - Interval at which each replica writes, in milliseconds.
 */
export function shortestSpanMs(writes: readonly EntryWrite[], intervalMs: number): number {
  const intervals = new Map<string, number>();
  const latest = new Map<string, EntryWrite>();
  for (const write of writes) {
    const { name } = write;
    intervals.set(name, (intervals.get(name) ?? 0) + intervalsBetween(latest.get(name), write));
    latest.set(name, write);
  }
  const [most = 0, second = most] = [...intervals.values()].sort((left, right) => right - left);
  return second * intervalMs * MIN_INTERVAL_SHARE;
}

/** Returns the intervals that have passed between two writes of a replica: a change may be written early. */
function intervalsBetween(before: EntryWrite | undefined, { replica, writeCount }: EntryWrite): number {
  if (before?.replica === undefined || replica === undefined || before.replica.id !== replica.id) return 0;
  const counted = Math.max(0, (writeCount ?? 0) - (before.writeCount ?? 0));
  const isRegular = lastingFields(before.replica) === lastingFields(replica);
  return isRegular ? Math.max(1, counted) : Math.max(0, counted - 1);
}

/** What an entry states beside the adapters, which change without a write of their own. */
function lastingFields({ models, ...rest }: ReplicaEntry): string {
  return JSON.stringify([rest, models?.map(({ name, version }) => [name, version])]);
}

/** What a history is compared with. */
export interface HistoryContext {
  /** Interval at which each replica writes, in milliseconds. */
  readonly intervalMs: number;
  /** Wall clock, in Unix milliseconds. */
  readonly wall: number;
}

/** Returns the versions that replicas had in a history, or may have had where that is not known. */
export function pastVersions(
  { from, writes }: StoreHistory,
  { intervalMs, wall }: HistoryContext,
): PastVersion[] {
  const startsWithin = wall - shortestSpanMs(writes, intervalMs) - CLOCK_TOLERANCE_MS;
  const latest = new Map<string, EntryWrite>();
  const versions: PastVersion[] = [];
  for (const [index, write] of writes.entries()) {
    const { name } = write;
    const before = latest.get(name);
    const isFirst = from > 0 && before === undefined && !write.isCreation;
    latest.set(name, write);
    const former = isFirst ? unknownBefore(write, startsWithin) : versionReplaced(before?.replica, write);
    if (former !== undefined)
      versions.push({ ...former, removedAgoMs: shortestSpanMs(writes.slice(index), intervalMs) });
  }
  for (const { replica } of latest.values()) if (replica !== undefined) versions.push(versionOf(replica));
  return versions;
}

/**
 * Returns what an entry may have stated before the first write to it that the history has.
 * @param startsWithin - Unix milliseconds since which a replica has started within the history.
 * @returns Undefined if it stated the same version.
 */
function unknownBefore({ replica }: EntryWrite, startsWithin: number): PastVersion | undefined {
  const unknown = { softwareVersion: UNKNOWN_VERSION, removedAgoMs: 0 };
  if (replica === undefined) return { service: ANY_SERVICE, ...unknown };
  const mayHaveRestarted = replica.bornAt !== undefined && replica.bornAt > startsWithin;
  return mayHaveRestarted ? { service: replica.service, ...unknown } : undefined;
}

/** Returns the version that a write replaces or removes; undefined if it leaves it as it is. */
function versionReplaced(
  before: ReplicaEntry | undefined,
  { replica: after }: EntryWrite,
): PastVersion | undefined {
  if (before === undefined) return undefined;
  const isSame = before.service === after?.service && before.softwareVersion === after.softwareVersion;
  return isSame ? undefined : versionOf(before);
}

function versionOf({ service, softwareVersion = UNKNOWN_VERSION }: ReplicaEntry): PastVersion {
  return { service, softwareVersion, removedAgoMs: 0 };
}
