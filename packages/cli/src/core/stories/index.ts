/** The story of a request from the logs of several daemons. */
export type { LogLine } from './lines.js';
export { readLines } from './lines.js';
export { tellStory } from './story.js';
