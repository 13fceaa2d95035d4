/** Finds the name that was probably meant. */
import { distance } from 'fastest-levenshtein';

/** Names compared at most; a site's adapters can be very many. */
const COMPARED_LIMIT = 200_000;

/**
 * Finds the nearest of the names there are.
 * @param name - What was written.
 * @param known - The names there are.
 * @returns The nearest, or undefined when none is near.
 */
export function nearestName(name: string, known: Iterable<string>): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.max(2, Math.floor(name.length / 3)) + 1;
  let compared = 0;
  for (const candidate of known) {
    compared += 1;
    if (compared > COMPARED_LIMIT) break;
    if (Math.abs(candidate.length - name.length) < bestDistance) {
      const found = distance(name, candidate);
      if (found < bestDistance) {
        best = candidate;
        bestDistance = found;
      }
    }
  }
  return best;
}

/**
 * Makes the end of a message that names the nearest right name.
 * @param name - What was written.
 * @param known - The names there are.
 * @returns The hint, or an empty text.
 */
export function nearestHint(name: string, known: Iterable<string>): string {
  const nearest = nearestName(name, known);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}
