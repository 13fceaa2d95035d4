/** Spaces prompts out, so that reading them does not stretch the pauses of the streams beside. */
export { PromptPacer } from './pacer.js';
export { PromptPacing } from './pacing.js';
export { ReadingRate } from './reading-rate.js';
export type { PromptTurn, Reading } from './types.js';
