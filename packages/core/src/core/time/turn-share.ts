/** Shares the turns of the event loop among tasks, so that one with much to do holds up nothing else. */
import { performance } from 'node:perf_hooks';

/** Time after which no further step is begun in a turn, in milliseconds. */
const MIN_TURN_BUDGET_MS = 5;
/** Steps of one task after which it is the turn of the next one. */
const STEPS_AT_ONCE = 16;

/** What the step of a task leaves behind. */
export enum StepResult {
  /** More is to be done. */
  Continue = 'continue',
  /** Something else must happen first; whoever runs the task runs it again then. */
  Blocked = 'blocked',
}

/** Work in steps. */
export type TurnTask = Iterator<StepResult, void>;

/** Outcome of a task that was run. */
export enum TaskState {
  Done = 'done',
  Blocked = 'blocked',
  /** It goes on in a later turn. */
  Waiting = 'waiting',
}

/** Runs tasks within a budget of time for each turn; those that are left go on in the next ones, in turn. */
export class TurnShare {
  /** Tasks that wait, and what is called when they don't any more. */
  private readonly waiting = new Map<TurnTask, (state: TaskState) => void>();

  /** Monotonic time at which the budget of this turn is used up, in milliseconds. */
  private endAt = 0;

  private isScheduled = false;

  /**
   * Runs a task as far as the budget of this turn allows.
   * @param onSettled - Called in a later turn when the task is done or blocked, if it waits for one.
   * @returns Its state; it is called back only if it waits.
   */
  run(task: TurnTask, onSettled: (state: TaskState) => void): TaskState {
    if (!this.isScheduled) this.schedule();
    let state = TaskState.Waiting;
    while (state === TaskState.Waiting && this.waiting.size === 0 && this.hasTime) state = runSteps(task);
    if (state === TaskState.Waiting) this.waiting.set(task, onSettled);
    return state;
  }

  /** Drops a task that waits. */
  cancel(task: TurnTask): void {
    this.waiting.delete(task);
  }

  private get hasTime(): boolean {
    return performance.now() < this.endAt;
  }

  private schedule(): void {
    this.isScheduled = true;
    const scheduledAt = performance.now();
    this.endAt = scheduledAt + MIN_TURN_BUDGET_MS;
    setImmediate(() => {
      this.isScheduled = false;
      if (this.waiting.size === 0) return;
      const now = performance.now();
      // Tasks get half of a long turn, so that they are not put off by other work again and again.
      const endAt = now + Math.max(MIN_TURN_BUDGET_MS, now - scheduledAt);
      this.runWaiting(endAt);
      if (this.waiting.size > 0) this.schedule();
    });
  }

  private runWaiting(endAt: number): void {
    for (const [task, onSettled] of this.waiting) {
      this.waiting.delete(task);
      const state = runSteps(task);
      // A task that is added again comes last in this iteration.
      if (state === TaskState.Waiting) this.waiting.set(task, onSettled);
      else onSettled(state);
      if (performance.now() >= endAt) return;
    }
  }
}

function runSteps(task: TurnTask): TaskState {
  for (let steps = 0; steps < STEPS_AT_ONCE; steps += 1) {
    const { done = false, value } = task.next();
    if (done) return TaskState.Done;
    if (value === StepResult.Blocked) return TaskState.Blocked;
  }
  return TaskState.Waiting;
}
