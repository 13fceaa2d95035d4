/** The configuration of routes, services and client accounts. */
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
