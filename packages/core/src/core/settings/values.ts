/** Turns the text of a setting into its value. */
import { CeleryyokeError } from '../errors/index.js';
import type { RawSetting, SettingRow } from './types.js';
import { SettingType } from './types.js';

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 };
const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m|h)?$/;
const INTEGER = /^\d+$/;
const DECIMAL = /^\d+(?:\.\d+)?$/;
const SWITCHES: Readonly<Record<string, boolean>> = { true: true, false: false, on: true, off: false };
const HIDDEN = '(secret)';

type Row = SettingRow<unknown>;

/** Reads a value; undefined when the text is no such value. */
type Reader = (raw: string, row: Row) => unknown;

function inBounds(value: number, row: Row): number | undefined {
  return value >= (row.min ?? -Infinity) && value <= (row.max ?? Infinity) ? value : undefined;
}

function readDuration(raw: string, row: Row): number | undefined {
  const match = DURATION.exec(raw);
  if (match === null) return undefined;
  return inBounds(Number(match[1]) * UNIT_MS[match[2] ?? 'ms']!, row);
}

function readList(raw: string): readonly string[] {
  return raw
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
}

const READERS: Readonly<Record<SettingType, Reader>> = {
  [SettingType.Text]: (raw) => raw,
  [SettingType.Integer]: (raw, row) => (INTEGER.test(raw) ? inBounds(Number(raw), row) : undefined),
  [SettingType.Duration]: readDuration,
  [SettingType.Share]: (raw, row) => (DECIMAL.test(raw) ? inBounds(Number(raw), row) : undefined),
  [SettingType.Boolean]: (raw) => SWITCHES[raw.toLowerCase()],
  [SettingType.Choice]: (raw, row) => (row.choices?.includes(raw) ? raw : undefined),
  [SettingType.List]: readList,
};

function describeBounds(row: Row): string {
  if (row.max !== undefined) return ` from ${row.min ?? 0} to ${row.max}`;
  return row.min ? ` of at least ${row.min}` : '';
}

const EXPECTED: Readonly<Record<SettingType, (row: Row) => string>> = {
  [SettingType.Text]: () => 'text',
  [SettingType.Integer]: (row) => `a whole number${describeBounds(row)}`,
  [SettingType.Duration]: (row) => `a duration in ms, or with ms, s, m or h behind it,${describeBounds(row)}`,
  [SettingType.Share]: (row) => `a number${describeBounds(row)}`,
  [SettingType.Boolean]: () => 'true or false',
  [SettingType.Choice]: (row) => `one of ${row.choices?.join(', ')}`,
  [SettingType.List]: () => 'words between commas',
};

/**
 * Says what values a setting takes.
 * @param row - The setting's row.
 * @returns A phrase that goes on after "expected".
 */
export function describeValues(row: Row): string {
  return EXPECTED[row.type](row).replace(/,$/, '');
}

/**
 * Reads a setting's value.
 * @param row - The setting's row.
 * @param raw - The text and its place.
 * @returns The value.
 * @throws CeleryyokeError SettingInvalid when it is no such value.
 */
export function readValue(row: Row, raw: RawSetting): unknown {
  const isBare = typeof raw.value === 'boolean' && row.type !== SettingType.Boolean;
  const value = isBare ? undefined : READERS[row.type](String(raw.value), row);
  if (value !== undefined) return value;
  throw new CeleryyokeError('SettingInvalid', {
    place: raw.place,
    value: row.secret ? HIDDEN : String(raw.value),
    expected: describeValues(row),
  });
}
