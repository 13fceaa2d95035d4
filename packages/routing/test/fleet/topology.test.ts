/** Where a daemon subscribes: one root, one feed into each failure domain, few children each. */
import { chooseParent, FAN_OUT, readingRank } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

const nameOf = (zone: number, index: number): string => `10.${zone}.0.${100 + index}:1`;
const zoneOf = (address: string): string => address.split('.')[1]!;

function parentsOf(alive: readonly string[], excluded: ReadonlySet<string> = new Set()) {
  const isExcluded = (address: string): boolean => excluded.has(address);
  return new Map(alive.map((self) => [self, chooseParent({ self, alive, zoneOf, isExcluded })]));
}

const fleets = fc
  .array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 6 })
  .map((sizes) =>
    sizes.flatMap((size, zone) => Array.from({ length: size }, (_, index) => nameOf(zone, index))).sort(),
  );

test('every daemon hangs on one root, over few steps, and no daemon has many children', (t) => {
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
        let steps = 1;
        for (let at: string = parent; at !== alive[0]; steps += 1) at = parents.get(at)!;
        t.true(steps <= 6, `${steps} steps`);
      }
      for (const [address, count] of children)
        t.true(count <= FAN_OUT + (address === alive[0] ? zones - 1 : 0));
    }),
  );
});

test('a row crosses into each failure domain once', (t) => {
  fc.assert(
    fc.property(fleets, (alive) => {
      const crossing = [...parentsOf(alive)].filter(
        ([self, parent]) => parent !== undefined && zoneOf(self) !== zoneOf(parent),
      );
      t.is(crossing.length, new Set(alive.map(zoneOf)).size - 1);
    }),
  );
});

test('where the root failed, another failure domain is tried before its neighbours', (t) => {
  const alive = [nameOf(1, 0), nameOf(1, 1), nameOf(2, 0), nameOf(2, 1)];
  const parents = parentsOf(alive, new Set([nameOf(1, 0)]));
  t.is(parents.get(nameOf(2, 0)), undefined);
  t.is(parents.get(nameOf(1, 1)), nameOf(2, 0));
  t.is(parents.get(nameOf(2, 1)), nameOf(2, 0));
});

test('a daemon that is leaving is still fed', (t) => {
  const alive = [nameOf(1, 0), nameOf(1, 1)];
  const parent = chooseParent({ self: nameOf(1, 2), alive, zoneOf, isExcluded: () => false });
  t.is(parent, nameOf(1, 0));
});

test('those that feed a failure domain read the platform before all others, the root first', (t) => {
  fc.assert(
    fc.property(fleets, (alive) => {
      const ranks = alive.map((self) => readingRank(self, alive, zoneOf));
      t.deepEqual(
        [...ranks].sort((left, right) => left - right),
        alive.map((_, index) => index),
      );
      const zones = new Set(alive.map(zoneOf)).size;
      const firsts = alive.filter((_, index) => ranks[index]! < zones);
      t.is(new Set(firsts.map(zoneOf)).size, zones);
      t.is(ranks[0], 0);
    }),
  );
  t.is(readingRank('10.9.0.1:1', ['10.1.0.1:1'], zoneOf), -1);
});
