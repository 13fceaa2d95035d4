/** Chooses the peers to which a daemon keeps links: all in a small fleet, a limited number in a large one. */
import { hash32 } from '@celeryyoke/core';

const RING_SIZE = 2 ** 32;
const SUCCESSOR_COUNT = 4;

/**
 * Multiples of the halving distances at which fingers are placed; the later ones only while neighbours are
 * missing.
 */
const FINGER_SHARES = [1, 0.75, 0.625, 0.875];

/** A daemon at its point on the ring. */
interface RingEntry {
  readonly name: string;
  readonly point: number;
}

function compareByPoint(left: RingEntry, right: RingEntry): number {
  if (left.point !== right.point) return left.point - right.point;
  return left.name < right.name ? -1 : 1;
}

/** Finds the first entry at or after a point; wraps around at the end of the ring. */
function indexAtOrAfter(ring: readonly RingEntry[], point: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (ring[middle]!.point < point) low = middle + 1;
    else high = middle;
  }
  return low % ring.length;
}

/**
 * Chooses the neighbours of a daemon: its successors on a ring of hashed names, and fingers at halving
 * distances, as in a Chord ring. Any two daemons are then a logarithmic number of links apart, and a change
 * of the list moves few links. If these are fewer than `max`, further successors are added.
 * @param names - All daemons; may include this one.
 * @param max - Most neighbours to choose.
 */
export function chooseNeighbours(self: string, names: readonly string[], max: number): ReadonlySet<string> {
  const others = names.filter((name) => name !== self);
  if (others.length <= max) return new Set(others);
  const ring = others.map((name) => ({ name, point: hash32(name) })).sort(compareByPoint);
  const own = hash32(self);
  const start = indexAtOrAfter(ring, own);
  const chosen = new Set<string>();
  for (let step = 0; step < Math.min(SUCCESSOR_COUNT, max); step += 1) {
    chosen.add(ring[(start + step) % ring.length]!.name);
  }
  for (const share of FINGER_SHARES) {
    for (let distance = RING_SIZE / 2; distance >= 1 && chosen.size < max; distance /= 2) {
      chosen.add(ring[indexAtOrAfter(ring, (own + distance * share) % RING_SIZE)]!.name);
    }
  }
  for (let step = SUCCESSOR_COUNT; chosen.size < max; step += 1) {
    chosen.add(ring[(start + step) % ring.length]!.name);
  }
  return chosen;
}
