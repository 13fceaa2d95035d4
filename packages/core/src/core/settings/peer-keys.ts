/** Reads the keys that peers prove to each other. */
import { readFileSync } from 'node:fs';

import { CeleryyokeError } from '../errors/index.js';
import { flagOf, variableOf } from './names.js';
import type { Settings } from './table.js';

/** Two keys are valid at once while an operator replaces one by the other. */
const MOST_KEYS = 2;

const LIST_PLACE = variableOf('peerKeys');
const FILE_PLACE = `--${flagOf('peerKeysFile')}`;

function readKeysFile(path: string): readonly string[] {
  let content: string;
  try {
    content = readFileSync(path, 'utf8');
  } catch (err) {
    const params = { place: FILE_PLACE, value: path, expected: 'a file that can be read' };
    throw new CeleryyokeError('SettingInvalid', params, { cause: err });
  }
  return content
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '');
}

/**
 * Reads the shared keys from the environment, or else from their file.
 * @param settings - The settings.
 * @returns One or two keys; the first is the one to use, all of them are to be accepted.
 * @throws CeleryyokeError SettingMissing or SettingInvalid.
 */
export function readPeerKeys(settings: Pick<Settings, 'peerKeys' | 'peerKeysFile'>): readonly string[] {
  const { peerKeys, peerKeysFile } = settings;
  const keys = peerKeys.length === 0 && peerKeysFile !== '' ? readKeysFile(peerKeysFile) : peerKeys;
  const places = `${LIST_PLACE} or ${FILE_PLACE}`;
  if (keys.length === 0) throw new CeleryyokeError('SettingMissing', { place: places });
  if (keys.length > MOST_KEYS)
    throw new CeleryyokeError('SettingInvalid', {
      place: places,
      value: `${keys.length} keys`,
      expected: `at most ${MOST_KEYS}`,
    });
  return keys;
}
