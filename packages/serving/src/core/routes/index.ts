/** Routes of the callers' API. */
export { findRoute } from './table.js';
export type { Route, RouteHandler, RouteServices } from './types.js';
