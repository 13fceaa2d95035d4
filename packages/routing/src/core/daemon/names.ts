/** Names of the parts of a router daemon. */

/** Names under which the parts find each other. */
export const PART = {
  view: 'view',
  directory: 'directory',
  pauses: 'pauses',
  cluster: 'cluster',
  claims: 'claims',
  channels: 'channels',
  control: 'control',
  holdings: 'holdings',
  inFlight: 'inFlight',
  standings: 'standings',
  admission: 'admission',
  reporter: 'reporter',
  loader: 'loader',
  protocol: 'protocol',
  tree: 'tree',
  follower: 'follower',
  requests: 'requests',
  readiness: 'readiness',
  metrics: 'metrics',
  figures: 'figures',
  reviews: 'reviews',
} as const;
