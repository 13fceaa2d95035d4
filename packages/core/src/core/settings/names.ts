/** Names of a setting: its flag and its variable follow from its key. */

/** Prefix of every environment variable that is a setting. */
export const VARIABLE_PREFIX = 'CELERYYOKE_';

/**
 * Gives a setting's flag.
 * @param key - The setting's key, such as `heartbeatMs`.
 * @returns The flag without its dashes, such as `heartbeat`.
 */
export function flagOf(key: string): string {
  return key.replace(/Ms$/, '').replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/**
 * Gives a setting's environment variable.
 * @param key - The setting's key, such as `heartbeatMs`.
 * @returns The variable, such as `CELERYYOKE_HEARTBEAT`.
 */
export function variableOf(key: string): string {
  return `${VARIABLE_PREFIX}${flagOf(key).replaceAll('-', '_').toUpperCase()}`;
}
