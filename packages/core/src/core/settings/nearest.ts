/** Refuses a name that is no setting, with the name that was probably meant. */
import { closest, distance } from 'fastest-levenshtein';

import { CeleryyokeError } from '../errors/index.js';

/** A name further away than this share of its length is no hint. */
const HINT_SHARE = 0.5;

/**
 * Makes the error for an unknown name.
 * @param place - The name as it was given.
 * @param known - The names there are.
 * @returns The error, naming the nearest if it is near.
 */
export function unknownSetting(place: string, known: readonly string[]): CeleryyokeError {
  const nearest = closest(place, known);
  const isNear = distance(place, nearest) <= place.length * HINT_SHARE;
  return new CeleryyokeError('SettingUnknown', { place, nearest: isNear ? nearest : '' });
}
