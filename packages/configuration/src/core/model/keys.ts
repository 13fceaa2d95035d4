/** The key of an adapter in one version, as requests, engines and policies name it: `ADAPTER@VERSION`. */

const VERSION_SEPARATOR = '@';

/** The parts of a key, or of the name that a request gives. */
export interface AdapterKeyParts {
  readonly adapter: string;
  /** Undefined where none is named. */
  readonly version: string | undefined;
}

/**
 * Makes a key.
 * @param adapter - Name of the adapter.
 * @param version - Its version.
 * @returns The key.
 */
export function joinAdapterKey(adapter: string, version: string): string {
  return `${adapter}${VERSION_SEPARATOR}${version}`;
}

/**
 * Takes a key apart; what stands behind the first separator is the version.
 * @param key - The key, or an adapter's name alone.
 * @returns Its parts.
 */
export function splitAdapterKey(key: string): AdapterKeyParts {
  const [adapter = '', ...rest] = key.split(VERSION_SEPARATOR);
  return { adapter, version: rest.length === 0 ? undefined : rest.join(VERSION_SEPARATOR) };
}
