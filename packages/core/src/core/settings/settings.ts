/** The central settings object of a process. */
import { CeleryyokeError } from '../errors/index.js';
import { readCommandLine } from './command-line.js';
import { readEnvironment } from './environment.js';
import { flagOf, variableOf } from './names.js';
import type { Settings } from './table.js';
import { SETTINGS_TABLE } from './table.js';
import type { Environment, RawSetting, SettingRow, SettingRows, SettingValues } from './types.js';
import { readValue } from './values.js';

function placesOf(key: string, row: SettingRow<unknown>): string {
  return row.secret ? variableOf(key) : `--${flagOf(key)} or ${variableOf(key)}`;
}

function settle(key: string, row: SettingRow<unknown>, raw: RawSetting | undefined): unknown {
  if (raw !== undefined) return readValue(row, raw);
  if (row.default !== undefined) return row.default;
  throw new CeleryyokeError('SettingMissing', { place: placesOf(key, row) });
}

/**
 * Reads the settings of any table; flags go before variables, and variables before defaults.
 * @param rows - The table.
 * @param argv - Arguments after the program's name.
 * @param env - The environment.
 * @returns The values, by key.
 * @throws CeleryyokeError SettingUnknown, SettingInvalid or SettingMissing.
 */
export function readSettings<Rows extends SettingRows>(
  rows: Rows,
  argv: readonly string[],
  env: Environment,
): SettingValues<Rows> {
  const raws = new Map([...readEnvironment(env, rows), ...readCommandLine(argv, rows)]);
  const entries = Object.entries(rows).map(([key, row]) => [key, settle(key, row, raws.get(key))]);
  return Object.freeze(Object.fromEntries(entries)) as SettingValues<Rows>;
}

/**
 * Reads the settings of a daemon.
 * @param argv - Arguments after the program's name.
 * @param env - The environment.
 * @returns The central settings object, which never changes.
 * @throws CeleryyokeError SettingUnknown, SettingInvalid or SettingMissing.
 */
export function createSettings(argv: readonly string[], env: Environment): Settings {
  return readSettings(SETTINGS_TABLE, argv, env);
}
