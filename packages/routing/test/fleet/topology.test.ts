/**
 * Topology of the dissemination tree: one root, one subscription into each failure domain, bounded fan-out.
 */
import { chooseParent, FAN_OUT, storeReaderRank } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

const addressOf = (zone: number, index: number): string => `10.${zone}.0.${100 + index}:1`;
const zoneOf = (address: string): string => address.split('.')[1]!;

function parentsOf(alive: readonly string[], excluded: ReadonlySet<string> = new Set()) {
  const isExcluded = (address: string): boolean => excluded.has(address);
  return new Map(alive.map((self) => [self, chooseParent({ self, alive, zoneOf, isExcluded })]));
}

const fleets = fc
  .array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 6 })
  .map((sizes) =>
    sizes.flatMap((size, zone) => Array.from({ length: size }, (_, index) => addressOf(zone, index))).sort(),
  );

test('all daemons reach one root over few levels, and no daemon has many children', (t) => {
  fc.assert(
    fc.property(fleets, (alive) => {
      const parents = parentsOf(alive);
      const zones = new Set(alive.map(zoneOf)).size;
      const children = new Map<string, number>();
      for (const [self, parent] of parents) {
        if (parent === undefined) {
          t.true(self === alive[0]);
          continue;
        }
        children.set(parent, (children.get(parent) ?? 0) + 1);
        let depth = 1;
        for (let at: string = parent; at !== alive[0]; depth += 1) at = parents.get(at)!;
        t.true(depth <= 6, `${depth} levels`);
      }
      for (const [address, count] of children)
        t.true(count <= FAN_OUT + (address === alive[0] ? zones - 1 : 0));
    }),
  );
});

test('a row crosses between failure domains once for each domain besides the root’s', (t) => {
  fc.assert(
    fc.property(fleets, (alive) => {
      const crossing = [...parentsOf(alive)].filter(
        ([self, parent]) => parent !== undefined && zoneOf(self) !== zoneOf(parent),
      );
      t.is(crossing.length, new Set(alive.map(zoneOf)).size - 1);
    }),
  );
});

test('after the root has failed, a root in another failure domain is preferred', (t) => {
  const alive = [addressOf(1, 0), addressOf(1, 1), addressOf(2, 0), addressOf(2, 1)];
  const parents = parentsOf(alive, new Set([addressOf(1, 0)]));
  t.is(parents.get(addressOf(2, 0)), undefined);
  t.is(parents.get(addressOf(1, 1)), addressOf(2, 0));
  t.is(parents.get(addressOf(2, 1)), addressOf(2, 0));
});

test('a leaving daemon still has a parent', (t) => {
  const alive = [addressOf(1, 0), addressOf(1, 1)];
  const parent = chooseParent({ self: addressOf(1, 2), alive, zoneOf, isExcluded: () => false });
  t.is(parent, addressOf(1, 0));
});

test('the root ranks first for reading the store, then one daemon of each other failure domain', (t) => {
  fc.assert(
    fc.property(fleets, (alive) => {
      const ranks = alive.map((self) => storeReaderRank(self, alive, zoneOf));
      t.deepEqual(
        [...ranks].sort((left, right) => left - right),
        alive.map((_, index) => index),
      );
      const zones = new Set(alive.map(zoneOf)).size;
      const feeders = alive.filter((_, index) => ranks[index]! < zones);
      t.is(new Set(feeders.map(zoneOf)).size, zones);
      t.is(ranks[0], 0);
    }),
  );
  t.is(storeReaderRank('10.9.0.1:1', ['10.1.0.1:1'], zoneOf), -1);
});
