/** Checks across a configuration. */
export { checkSite } from './check.js';
