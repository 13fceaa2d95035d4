/** Replicas that end under no request: nothing may be refused for it. */
import test from 'ava';

import { playSound } from './sound-play.js';

/** Number of plays; set the variable to play more than in CI. */
const PLAYS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 4);
const FIRST_SEED = 12;

// Guards against refusing a class of requests that was in flight at ends of replicas by chance.
test('what requests share is not refused while replicas end for other reasons', async (t) => {
  t.timeout(PLAYS * 60_000);
  for (let seed = FIRST_SEED; seed < FIRST_SEED + PLAYS; seed += 1) {
    const { ends, refusedByPart } = await playSound(seed);
    t.is(refusedByPart, 0, `seed ${seed}: ${refusedByPart} requests refused after ${ends} ends`);
  }
});
