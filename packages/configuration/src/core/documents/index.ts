/** Base documents and overlays. */
export { mergeSources } from './merge.js';
export type { MergedSource } from './merge.js';
export { nearestHint, nearestName } from './nearest.js';
export { formatProblem, loadSite, readSite } from './read.js';
export type { SiteReading } from './read.js';
