/** The configuration of routes and services. */
export { RouteTable } from './table.js';
export type {
  CallerBounds,
  EngineModel,
  EngineSpec,
  Route,
  RouteTarget,
  RoutingDocument,
  UpstreamService,
} from './types.js';
export { RouteKind } from './types.js';
