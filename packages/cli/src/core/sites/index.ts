/** Sites that a command works on. */
export { loadArgument, loadDocuments, readDocuments } from './read.js';
export type { NamedSite } from './read.js';
