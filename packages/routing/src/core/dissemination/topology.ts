/**
 * The shape of the tree over which changes of the shared state reach all daemons.
 *
 * The first living member is the root. The first of each failure domain is fed by the root, so that a change crosses
 * into a domain once; the others of a domain form a tree below it with a bounded number of children each.
 */

/** Children of a daemon within its failure domain. */
export const FAN_OUT = 4;

/** What a daemon's place in the tree follows from. */
export interface TopologyInput {
  readonly self: string;
  /** Living members in the fixed order, `self` included. */
  readonly alive: readonly string[];
  readonly zoneOf: (address: string) => string | undefined;
  /** Whether a member failed as a parent of late. */
  readonly isExcluded: (address: string) => boolean;
}

/**
 * Chooses the daemon to subscribe to.
 *
 * Failure domains with a member that failed of late come last as places of the root: where one member fails, the
 * others of its domain may be lost as well.
 * @param input - The members.
 * @returns Its address; undefined when this daemon is the root.
 */
export function chooseParent({ self, alive, zoneOf, isExcluded }: TopologyInput): string | undefined {
  const excluded = alive.filter((address) => address !== self && isExcluded(address));
  const usable = alive.filter((address) => !excluded.includes(address));
  const doubtful = new Set(excluded.map(zoneOf));
  const root = usable.find((address) => !doubtful.has(zoneOf(address))) ?? usable[0];
  if (root === undefined || root === self) return undefined;
  const zone = zoneOf(self);
  const neighbours = usable.filter((address) => zoneOf(address) === zone);
  const place = neighbours.indexOf(self);
  return place <= 0 ? root : neighbours[Math.floor((place - 1) / FAN_OUT)];
}

/**
 * Tells a daemon's place among those that read the platform in place of each other.
 *
 * Those that feed a failure domain come first, as what they read goes to all of it at once.
 * @param self - The daemon.
 * @param alive - Living members in the fixed order.
 * @param zoneOf - Failure domain of a member.
 * @returns The place, from 0 for the root; below 0 when the daemon does not live.
 */
export function readingRank(
  self: string,
  alive: readonly string[],
  zoneOf: (address: string) => string | undefined,
): number {
  const place = alive.indexOf(self);
  if (place < 0) return place;
  const zones = new Set<string | undefined>();
  let firstsBefore = 0;
  let isFirst = false;
  for (const [index, address] of alive.entries()) {
    const known = zones.size;
    zones.add(zoneOf(address));
    if (index === place) isFirst = zones.size > known;
    else if (index < place) firstsBefore = zones.size;
  }
  return isFirst ? firstsBefore : zones.size + place - firstsBefore;
}
