/** What every part that passes HTTP on needs to know. */
export { isHopByHop } from './hop-by-hop.js';
