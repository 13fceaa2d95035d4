/** Keys of the values in the configuration service. */

/**
 * Gives the key of a site's root document.
 * @param site - The site's name.
 * @returns The key.
 */
export function rootKey(site: string): string {
  return `celeryyoke/${site}/root`;
}

/**
 * Gives the key of a part. It holds the part's digest, so that a new part never replaces one that a reader of
 * the root document before still needs.
 * @param site - The site's name.
 * @param digest - The part's digest.
 * @returns The key.
 */
export function partKey(site: string, digest: string): string {
  return `celeryyoke/${site}/parts/${digest}`;
}
