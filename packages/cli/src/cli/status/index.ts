/** `celeryyoke status`: the fleet as any one daemon sees it. */
export { runStatus } from './status.js';
export type { StatusOptions } from './status.js';
