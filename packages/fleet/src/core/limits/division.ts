/** Divides a caller's limits over the daemons by the demand at each. */

/** Part of a limit that is kept for daemons that had no demand until now. */
export const RESERVE_SHARE = 0.02;

/** What each daemon should have of an amount: its demand and an equal part of what is to spare, if there is. */
function divide(spendable: number, demands: ReadonlyMap<string, number>): Map<string, number> {
  const wanting = [...demands].filter(([, demand]) => demand > 0);
  const total = wanting.reduce((sum, [, demand]) => sum + demand, 0);
  const spare = Math.max(0, spendable - total) / wanting.length;
  const scale = Math.min(1, spendable / total);
  return new Map(wanting.map(([name, demand]) => [name, demand * scale + spare]));
}

/**
 * Divides a rate.
 * @param limit - The whole.
 * @param demands - Demand at each daemon, by name.
 * @returns Each daemon's part; their sum leaves the reserve.
 */
export function divideRate(limit: number, demands: ReadonlyMap<string, number>): Map<string, number> {
  return divide(limit * (1 - RESERVE_SHARE), demands);
}

/**
 * Divides whole places by the largest remainder.
 * @param limit - The whole.
 * @param demands - Demand at each daemon, by name.
 * @returns Each daemon's places; their sum leaves the reserve.
 */
export function dividePlaces(limit: number, demands: ReadonlyMap<string, number>): Map<string, number> {
  const spendable = limit - Math.floor(limit * RESERVE_SHARE);
  const exact = [...divide(spendable, demands)].map(([name, part]) => ({ name, part }));
  const parts = new Map(exact.map(({ name, part }) => [name, Math.floor(part)]));
  let left = spendable - [...parts.values()].reduce((sum, part) => sum + part, 0);
  const byRemainder = exact.toSorted((a, b) => (b.part % 1) - (a.part % 1) || (a.name < b.name ? -1 : 1));
  for (const { name } of byRemainder) {
    if (left < 1) break;
    parts.set(name, (parts.get(name) ?? 0) + 1);
    left -= 1;
  }
  return parts;
}
