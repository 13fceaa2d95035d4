/** Reads idempotency keys: a caller's name and a UUIDv7 that carries the time when it was made. */
import { CeleryyokeError } from '@celeryyoke/core';
import { parse, validate, version } from 'uuid';

const UUID_LENGTH = 36;
const UUID_VERSION = 7;
const TIME_BYTES = 6;

/**
 * Reads the time when a key was made.
 * @param key - The caller's name and the UUIDv7.
 * @returns Milliseconds since the epoch by the caller's clock.
 * @throws CeleryyokeError KeyRequired when it ends in no UUIDv7.
 */
export function readKeyTime(key: string): number {
  const uuid = key.slice(-UUID_LENGTH);
  if (!validate(uuid) || version(uuid) !== UUID_VERSION) throw new CeleryyokeError('KeyRequired');
  return Buffer.from(parse(uuid)).readUIntBE(0, TIME_BYTES);
}
