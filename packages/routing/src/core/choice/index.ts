/** Which replica a request goes to. */
export type { Choice, ChooserOptions, Need } from './chooser.js';
export { Chooser, useKey } from './chooser.js';
export type { LoadLine, RunningNote, UseLine } from './load.js';
export { LoadBook } from './load.js';
export { Standings } from './standing.js';
