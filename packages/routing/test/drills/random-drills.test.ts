/** Random series of drills beside changes, starts, ends, pauses and cuts of daemons. */
import { ReplicaState } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { DrillRun } from './drill-fleet.js';

const DAEMONS = 6;
/** Time after the last step in which what holds is observed, in milliseconds. */
const AFTER_MS = 8000;
/** Number of random runs and their first seed; set the variables to run more than in CI. */
const RUNS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 15);
const SEED = Number(process.env.CELERYYOKE_SOAK_SEED ?? 1);

/** A run, and what its steps have left behind. */
class RandomRun extends DrillRun {
  private joined = 0;

  private readonly ready: string[] = [];

  private readonly leaving: string[] = [];

  private readonly down = new Set<number>();

  private readonly frozen = new Set<number>();

  join(): void {
    this.joined += 1;
    const id = `j${this.joined}`;
    this.ready.push(id);
    this.writeReplica(id);
  }

  leave(): void {
    const id = this.ready.shift();
    if (id === undefined) return;
    this.leaving.push(id);
    this.writeReplica(id, ReplicaState.Leaving);
  }

  remove(): void {
    const id = this.leaving.shift() ?? this.ready.shift();
    if (id !== undefined) this.removeReplica(id);
  }

  /** Ends a daemon, or starts one that has ended. */
  async endOrStart(index: number): Promise<void> {
    if (this.frozen.has(index)) return;
    if (this.down.delete(index)) await this.fleet.start(index);
    else if (this.down.size < DAEMONS / 2) {
      this.down.add(index);
      this.kill(index);
    }
  }

  /** Freezes a daemon, or thaws it. */
  freezeOrThaw(index: number): void {
    const address = this.fleet.addressOf(index);
    if (this.down.has(index)) return;
    if (this.frozen.delete(index)) {
      this.fleet.network.thaw(address);
      this.disturbed(index);
    } else if (this.frozen.size < DAEMONS / 2) {
      this.frozen.add(index);
      this.fleet.network.freeze(address);
    }
  }

  /** Cuts a daemon off from the store, or ends that. */
  cutOrHeal(index: number): void {
    const { unreachable } = this.store;
    const address = this.fleet.addressOf(index);
    if (!unreachable.delete(address)) {
      unreachable.clear();
      unreachable.add(address);
    }
  }

  async drillAndRewrite(lost: number, rewriteMs: number): Promise<void> {
    const count = Math.min(lost, this.store.history.length - 3);
    const changes = await this.drill(count, 300 + lost * 40);
    await this.run(rewriteMs);
    this.rewrite(changes);
  }
}

/** What a step of a random run does. */
const STEPS = {
  drill: (run, target, waitMs) => run.drillAndRewrite(target * 4, waitMs % 1500),
  config: (run) => run.writeConfig(),
  join: (run) => run.join(),
  leave: (run) => run.leave(),
  remove: (run) => run.remove(),
  endOrStart: (run, target) => run.endOrStart(target),
  freezeOrThaw: (run, target) => run.freezeOrThaw(target),
  cutOrHeal: (run, target) => run.cutOrHeal(target),
} satisfies Record<string, (run: RandomRun, target: number, waitMs: number) => unknown>;

// Guards against any other series after which a change is not in force in time, or what was in force goes back.
test('what was acknowledged stays in force, and what follows comes into force, through series of drills', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom(...(Object.keys(STEPS) as (keyof typeof STEPS)[])),
    target: fc.nat(DAEMONS - 1),
    waitMs: fc.integer({ min: 0, max: 2500 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 14 }), async (steps) => {
      const run = new RandomRun();
      try {
        await run.settle(DAEMONS);
        for (const { kind, target, waitMs } of steps) {
          await STEPS[kind](run, target, waitMs);
          await run.run(waitMs);
        }
        await run.run(AFTER_MS);
      } finally {
        run.stop();
      }
      if (run.violations.size > 0) throw new Error([...run.violations].slice(0, 4).join('; '));
    }),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass();
});
