/** Groups crashes that came about together, so that they have one cause. */
import type { Crash } from './crash-log.js';

/** Time within which crashes of several upstreams count as coincident, in milliseconds: their reports differ by as much. */
const COINCIDENT_MS = 100;
/** Number of coincident crashes from which on they count as one: two requests may crash an upstream each at one moment. */
const MIN_COINCIDENT = 3;

/**
 * Groups crashes. A request runs on one upstream, so what requests share crashes upstreams at moments that are independent
 * of each other; many that end together have a cause of their own, such as a restart or a loss of power.
 * @param crashes - Crashes in any order.
 * @returns Crashes that coincide together, and each other one by itself.
 */
export function groupCoincident(crashes: readonly Crash[]): Crash[][] {
  const groups: Crash[][] = [];
  for (const crash of [...crashes].sort((left, right) => left.at - right.at)) {
    const group = groups.at(-1);
    if (group !== undefined && crash.at - group[0]!.at <= COINCIDENT_MS) group.push(crash);
    else groups.push([crash]);
  }
  return groups.flatMap((group) =>
    group.length >= MIN_COINCIDENT ? [group] : group.map((crash) => [crash]),
  );
}
