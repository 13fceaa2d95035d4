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
