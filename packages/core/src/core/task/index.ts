/** Tasks: generators that are written straight down, one for each connection and each peer. */
export { runTask } from './run.js';
export type { Task, TaskBody } from './types.js';
