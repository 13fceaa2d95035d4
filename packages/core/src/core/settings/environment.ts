/** Reads environment variables. */
import { VARIABLE_PREFIX, variableOf } from './names.js';
import { unknownSetting } from './nearest.js';
import type { Environment, RawSetting, SettingRows } from './types.js';

/**
 * Reads the variables that are settings.
 * @param env - The environment.
 * @param rows - The settings table.
 * @returns What was given, by key.
 * @throws CeleryyokeError SettingUnknown.
 */
export function readEnvironment(env: Environment, rows: SettingRows): Map<string, RawSetting> {
  const keys = new Map(Object.keys(rows).map((key) => [variableOf(key), key]));
  const raws = new Map<string, RawSetting>();
  for (const [place, value] of Object.entries(env)) {
    if (!place.startsWith(VARIABLE_PREFIX) || value === undefined) continue;
    const key = keys.get(place);
    if (key === undefined) throw unknownSetting(place, [...keys.keys()]);
    raws.set(key, { place, value });
  }
  return raws;
}
