/** Replicas that end together: nothing that their requests share is the cause. */
import { Suspicion } from '@celeryyoke/core';
import test from 'ava';

import type { RequestFingerprints } from '../src/index.js';
import { AttemptEnd, sharedFeatures } from '../src/index.js';
import { createRandom } from './orders/random.js';
import { SuspectFleet } from './suspect-fleet.js';

const DAEMONS = 20;
const REPLICAS = 12;
/** Requests that each daemon has run before, none of them of the class: its callers are few. */
const COUNTED = 16;
/** Share of all requests that are of the class, whose requests share a part. */
const CLASS_SHARE = 0.4;
const IN_FLIGHT = { from: 3, to: 11 };
/** Longest time for which an answer has gone on, in milliseconds. */
const OLDEST_MS = 4000;
/** Time in which the ends are found, in milliseconds. */
const SPREAD_MS = 80;
const WEIGHED_WITHIN_MS = 3000;
const SEEDS = 50;

function requestOf(number: number, part: string): RequestFingerprints {
  return { exact: `request ${number}`, anyQuery: undefined, shared: sharedFeatures([part], undefined) };
}

/** Has replicas end together with requests of two classes in flight; returns the suspicion of the larger class. */
async function endTogether(seed: number): Promise<Suspicion[]> {
  const random = createRandom(`coincident-${seed}`);
  const fleet = new SuspectFleet(DAEMONS);
  for (const registry of fleet.registries)
    for (let number = 0; number < COUNTED; number += 1)
      registry.countRun('route', sharedFeatures(['other'], undefined), `counted ${number}`);
  const replicas = Array.from({ length: REPLICAS }, (_, index) => `e${index}`);
  let count = 0;
  const attempts = replicas.flatMap((replica) =>
    Array.from({ length: Math.floor(random.between(IN_FLIGHT.from, IN_FLIGHT.to)) }, () => {
      count += 1;
      const daemon = Math.floor(random.between(0, DAEMONS));
      const request = requestOf(count, random.chance(CLASS_SHARE) ? 'class' : 'other');
      const attempt = fleet.begin(daemon, replica, request);
      fleet.timers.after(random.between(0, OLDEST_MS), () => attempt.recordBody(fleet.timers.now()));
      return { replica, daemon, attempt };
    }),
  );
  await fleet.timers.advance(OLDEST_MS);
  for (const replica of replicas)
    fleet.timers.after(random.between(0, SPREAD_MS), () => {
      for (const one of attempts.filter((each) => each.replica === replica)) {
        one.attempt.end(AttemptEnd.Unanswered, fleet.timers.now());
        void fleet.registries[one.daemon]!.attemptCut({ id: replica } as never);
      }
    });
  await fleet.timers.advance(WEIGHED_WITHIN_MS);
  return fleet.registries.map((registry) => registry.suspicionOf(() => requestOf(0, 'class')));
}

// Guards against a class of requests that is refused as replicas have ended together, by the daemon that has seen the least of it.
test('what requests share is not refused because many replicas end at one moment', async (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const suspicions = await endTogether(seed);
    t.is(suspicions.filter((one) => one === Suspicion.Quarantined).length, 0, `seed ${seed}`);
  }
});
