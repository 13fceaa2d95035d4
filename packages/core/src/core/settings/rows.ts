/** Short makers for rows of the settings table. */
import type { SettingRow } from './types.js';
import { SettingType } from './types.js';

/** What most rows share. */
interface RowOptions<T> {
  readonly doc: string;
  readonly default?: T;
  readonly unit?: string;
}

/** What rows of numbers add. */
interface NumberRowOptions extends RowOptions<number> {
  readonly min?: number;
  readonly max?: number;
}

/** What rows of choices add. */
interface ChoiceRowOptions<T> extends RowOptions<T> {
  readonly choices: readonly T[];
}

/** What rows of lists add. */
interface ListRowOptions extends RowOptions<readonly string[]> {
  readonly secret?: boolean;
}

const HIGHEST_PORT = 65_535;

/**
 * Makes a row for text.
 * @param options - Doc comment and default.
 * @returns The row.
 */
export function text(options: RowOptions<string>): SettingRow<string> {
  return { type: SettingType.Text, ...options, default: options.default };
}

/**
 * Makes a row for a whole number.
 * @param options - Doc comment, default and bounds; the least is 0 when left out.
 * @returns The row.
 */
export function integer(options: NumberRowOptions): SettingRow<number> {
  return { type: SettingType.Integer, min: 0, ...options, default: options.default };
}

/**
 * Makes a row for a TCP port.
 * @param options - Doc comment and default.
 * @returns The row.
 */
export function port(options: RowOptions<number>): SettingRow<number> {
  return integer({ max: HIGHEST_PORT, ...options });
}

/**
 * Makes a row for a duration; its key ends in `Ms`.
 * @param options - Doc comment, default and bounds in milliseconds.
 * @returns The row.
 */
export function duration(options: NumberRowOptions): SettingRow<number> {
  return { type: SettingType.Duration, unit: 'ms', min: 0, ...options, default: options.default };
}

/**
 * Makes a row for a share between 0 and 1.
 * @param options - Doc comment and default.
 * @returns The row.
 */
export function share(options: RowOptions<number>): SettingRow<number> {
  return { type: SettingType.Share, min: 0, max: 1, ...options, default: options.default };
}

/**
 * Makes a row for a switch.
 * @param options - Doc comment and default.
 * @returns The row.
 */
export function boolean(options: RowOptions<boolean>): SettingRow<boolean> {
  return { type: SettingType.Boolean, ...options, default: options.default };
}

/**
 * Makes a row for one of several words.
 * @param options - Doc comment, default and the words.
 * @returns The row.
 */
export function choice<T extends string>(options: ChoiceRowOptions<T>): SettingRow<T> {
  return { type: SettingType.Choice, ...options, default: options.default };
}

/**
 * Makes a row for words between commas.
 * @param options - Doc comment, default and whether the words are secret.
 * @returns The row.
 */
export function list(options: ListRowOptions): SettingRow<readonly string[]> {
  return { type: SettingType.List, ...options, default: options.default };
}
