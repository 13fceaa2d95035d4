/** Names of the parts of a router daemon. */

/** Names under which the parts find each other. */
export const PART = {
  view: 'view',
  registry: 'directory',
  pauses: 'pauses',
  cluster: 'cluster',
  leases: 'leases',
  channels: 'channels',
  control: 'control',
  residency: 'holdings',
  inFlight: 'inFlight',
  health: 'health',
  admission: 'admission',
  reporter: 'reporter',
  loader: 'loader',
  protocol: 'protocol',
  tree: 'tree',
  settling: 'settling',
  quotas: 'quotas',
  limits: 'limits',
  watcher: 'follower',
  requests: 'requests',
  readiness: 'readiness',
  metrics: 'metrics',
  figures: 'figures',
  reviews: 'reviews',
} as const;
