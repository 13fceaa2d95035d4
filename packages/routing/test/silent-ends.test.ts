/** Parts of prompts under which replicas fall silent: how soon a fleet finds them, and what it refuses besides. */
import test from 'ava';

import type { Scenario } from './crash-play.js';
import { BUSY, checkFound, Ending, play, SEEDS } from './crash-play.js';

const SILENT_SCENARIOS: Readonly<Record<string, Scenario>> = {
  'a rare part that silences': {
    engines: 6,
    perSecond: 40,
    secondParts: 300,
    guiltyEvery: 60,
    ending: Ending.Silent,
  },
  'a part that silences': { ...BUSY, ending: Ending.Silent },
  'a part of each fourth request that silences': { ...BUSY, guiltyEvery: 4, ending: Ending.Silent },
  'a part that silences half a second after the first bytes': {
    ...BUSY,
    ending: Ending.Silent,
    crashAfterMs: 500,
  },
  'a part that silences a second after the first bytes': {
    ...BUSY,
    ending: Ending.Silent,
    crashAfterMs: 1000,
    answerMs: 1500,
  },
  'a part that silences beside replicas that pause': {
    ...BUSY,
    ending: Ending.Silent,
    pauses: [1000, 4000, 7000],
  },
  'a part that silences until another start': { ...BUSY, ending: Ending.Replaced },
  'a part that silences before the first bytes': { ...BUSY, ending: Ending.Silent, crashAfterMs: -20 },
};

// Guards against a part that ends one replica after the other, as none of them closes its connections.
for (const [name, scenario] of Object.entries(SILENT_SCENARIOS))
  test(`${name} is found after few crashes, and requests without it are served`, (t) =>
    checkFound(t, scenario));

// Guards against replicas of a quiet fleet that end before any answer on them has begun, so that nothing falls silent.
test('a part that silences idle replicas before the first bytes is found', (t) =>
  checkFound(t, {
    engines: 6,
    perSecond: 6,
    secondParts: 40,
    guiltyEvery: 6,
    ending: Ending.Silent,
    crashAfterMs: -20,
  }));

// Guards against refusing anything because replicas pause: they go on, and so do their answers.
test('replicas that are silent for a while and go on show nothing about what requests share', async (t) => {
  const scenario = { ...BUSY, guiltyEvery: undefined, pauses: [0, 2500, 5000, 7500] };
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const { refused } = await play(scenario, seed);
    t.is(refused, 0, `seed ${seed}`);
  }
});
