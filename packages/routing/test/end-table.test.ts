/**
 * What ends replicas, by how they end, when, how often, and what goes on beside it: some of the cells; all of them with
 * CELERYYOKE_TABLE=whole.
 */
import test from 'ava';

import type { Scenario } from './crash-play.js';
import { Beside, BUSY, checkFound, Ending } from './crash-play.js';

/** Times from the first bytes of an answer to the end of its replica, in milliseconds. */
const AGES_MS = [-20, 0, 250, 500, 1000, 3000];
/** One request in so many has the part. */
const FREQUENCIES = [4, 12, 60];
/** Time for which answers go on beyond the end of their replica, in milliseconds. */
const LONGER_MS = 800;
/** Number of seeds of each cell; set the variable to play more than in CI. */
const SEEDS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 2);
const IS_WHOLE = process.env.CELERYYOKE_TABLE === 'whole';
/** Time from the first bytes to the end of the cells that are always played, in milliseconds. */
const SHORT_TABLE_AGE_MS = 500;

function nameOf({ ending, crashAfterMs, guiltyEvery, beside = Beside.Nothing }: Scenario): string {
  return `${ending}, ${crashAfterMs} ms after the first bytes, one in ${guiltyEvery}, beside ${beside}`;
}

function withAge(scenario: Scenario, crashAfterMs: number): Scenario {
  return { ...scenario, crashAfterMs, answerMs: Math.max(0, crashAfterMs) + LONGER_MS };
}

function* plainCells(): Generator<Scenario> {
  for (const ending of Object.values(Ending))
    for (const guiltyEvery of FREQUENCIES)
      for (const crashAfterMs of AGES_MS) yield withAge({ ...BUSY, ending, guiltyEvery }, crashAfterMs);
}

function* cellsBeside(): Generator<Scenario> {
  const causes: Partial<Scenario>[] = [{}, { hasTwoParts: true }];
  for (const beside of Object.values(Beside))
    for (const ending of Object.values(Ending))
      for (const crashAfterMs of [0, 500])
        for (const cause of causes) yield withAge({ ...BUSY, ...cause, ending, beside }, crashAfterMs);
}

/** Whether a cell beside disorder is always played. */
function isInShortTable({ crashAfterMs, hasTwoParts, ending, beside }: Scenario): boolean {
  if (crashAfterMs !== SHORT_TABLE_AGE_MS) return false;
  return hasTwoParts === true ? beside === Beside.Nothing : ending !== Ending.Replaced;
}

// Guards against a way to end, or something beside it, with which a part ends one replica after the other.
for (const cell of IS_WHOLE ? plainCells() : [])
  test(`a part is found: ${nameOf(cell)}`, (t) => checkFound(t, cell, SEEDS));

// Guards against the same while the fleet is in disorder itself.
for (const cell of [...cellsBeside()].filter((one) => IS_WHOLE || isInShortTable(one)))
  test(`${cell.hasTwoParts === true ? 'two parts are' : 'a part is'} found beside disorder: ${nameOf(cell)}`, (t) =>
    checkFound(t, cell, SEEDS));

// Guards against a request that ends one replica after the other, however these end.
for (const ending of Object.values(Ending))
  test(`a request that comes again and again is found: ${ending}`, (t) =>
    checkFound(t, { engines: 10, perSecond: 60, secondParts: 40, hasSameRequest: true, ending }, SEEDS));
