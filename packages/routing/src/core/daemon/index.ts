/** The router daemon. */
export { Router } from './router.js';
export type { RouterOptions, RouterSettings } from './types.js';
