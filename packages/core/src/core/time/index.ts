/** Time: the timer service of a running process and its hand-driven twin. */
export { afterLateTurn } from './late-turn.js';
export { createManualTimers } from './manual.js';
export type { ManualTimersOptions } from './manual.js';
export { createSystemTimers } from './system.js';
export type { ManualTimerService, TimerHandle, TimerService } from './types.js';
export type { TurnTask } from './turn-share.js';
export { StepResult, TaskState, TurnShare } from './turn-share.js';
