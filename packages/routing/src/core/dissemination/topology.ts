/**
 * Topology of the dissemination tree. Every daemon computes its position from the list of living members.
 *
 * The first living member is the root. The first member of each other failure domain subscribes to the root,
 * so that a change crosses into a domain once; the other members of a domain form a tree below it with at
 * most {@link FAN_OUT} children each.
 */

/** Most children of a daemon within its failure domain. */
export const FAN_OUT = 4;

/** Input from which a daemon's position in the tree is computed. */
export interface TopologyInput {
  readonly self: string;
  /** Living members in an order that is the same on all daemons, `self` included. */
  readonly alive: readonly string[];
  /** Failure domain of a member. */
  readonly zoneOf: (address: string) => string | undefined;
  /** Whether a member recently failed as the parent of this daemon. */
  readonly isExcluded: (address: string) => boolean;
}

/**
 * Chooses the daemon to subscribe to.
 *
 * The root is taken from a failure domain without a recently failed member, if there is one: where one member
 * fails, others of its domain may have failed with it.
 * @returns Address of the parent; undefined when this daemon is the root.
 */
export function chooseParent({ self, alive, zoneOf, isExcluded }: TopologyInput): string | undefined {
  const excluded = alive.filter((address) => address !== self && isExcluded(address));
  const usable = alive.filter((address) => !excluded.includes(address));
  const suspectZones = new Set(excluded.map(zoneOf));
  const root = usable.find((address) => !suspectZones.has(zoneOf(address))) ?? usable[0];
  if (root === undefined || root === self) return undefined;
  const zone = zoneOf(self);
  const zoneMembers = usable.filter((address) => zoneOf(address) === zone);
  const index = zoneMembers.indexOf(self);
  return index <= 0 ? root : zoneMembers[Math.floor((index - 1) / FAN_OUT)];
}

/**
 * Returns a daemon's rank in the order in which daemons take over reading the platform's store.
 *
 * The first member of each failure domain ranks before all others, as what it reads reaches its whole domain
 * at once.
 * @param self - Address of the daemon.
 * @param alive - Living members in an order that is the same on all daemons.
 * @param zoneOf - Failure domain of a member.
 * @returns The rank, from 0 for the root; below 0 when the daemon is not among the living.
 */
export function storeReaderRank(
  self: string,
  alive: readonly string[],
  zoneOf: (address: string) => string | undefined,
): number {
  const selfIndex = alive.indexOf(self);
  if (selfIndex < 0) return selfIndex;
  const zones = new Set<string | undefined>();
  let zonesBefore = 0;
  let isZoneFeeder = false;
  for (const [index, address] of alive.entries()) {
    const zonesSeen = zones.size;
    zones.add(zoneOf(address));
    if (index === selfIndex) isZoneFeeder = zones.size > zonesSeen;
    else if (index < selfIndex) zonesBefore = zones.size;
  }
  return isZoneFeeder ? zonesBefore : zones.size + selfIndex - zonesBefore;
}
