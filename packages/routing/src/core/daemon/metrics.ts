/** The sampled metrics of a daemon, and the HTTP server that exposes all metrics as text. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Metrics } from '@celeryyoke/core';
import { registerProcessCost, startListening } from '@celeryyoke/core';

import type { EngineLeases, PauseDetector } from '../ownership/index.js';
import type { ChannelPool } from '../channels/index.js';
import type { PacingOptions } from '../input/index.js';
import { paceServer } from '../input/index.js';
import type { Cluster } from '../cluster/index.js';
import type { DisseminationTree } from '../dissemination/index.js';
import type { RecordSource, ReplicatedStore } from '../view/index.js';
import { ItemRefusal } from '../view/index.js';

const OK = 200;

/** Parts of the daemon from which metrics are sampled. */
export interface MetricSources {
  readonly metrics: Metrics;
  readonly view: ReplicatedStore;
  readonly source: Pick<RecordSource, 'refusedCounts'>;
  readonly cluster: Cluster;
  readonly tree: DisseminationTree;
  readonly leases: EngineLeases;
  readonly channels: ChannelPool;
  readonly pauses: PauseDetector;
  readonly requests: { readonly running: number };
  readonly suspects: { readonly quarantinedCount: number };
  readonly origins: { readonly size: number; readonly droppedCount: number };
  readonly droppedLines: () => number;
  readonly configVersion: () => number;
}

/** Registers the metrics whose values are sampled when the metrics are requested. */
export function registerMetrics(sources: MetricSources): void {
  const { metrics, view, cluster, tree, leases, channels, pauses, requests, suspects } = sources;
  const { origins, source, droppedLines, configVersion } = sources;
  const counter = { isCounter: true };
  metrics.sample('router_requests_running', 'Requests in progress.', () => requests.running);
  metrics.sample(
    'router_requests_quarantined',
    'Requests that are refused because replicas crashed under them.',
    () => suspects.quarantinedCount,
  );
  metrics.sample(
    'router_stream_origins',
    'Records of the software versions that began streams.',
    () => origins.size,
  );
  metrics.sample(
    'router_stream_origins_dropped_total',
    'Such records that were dropped before their time, so that their streams can’t be resumed.',
    () => origins.droppedCount,
    counter,
  );
  metrics.sample('router_view_age_ms', 'Age of what is known of the platform.', () => view.ageMs);
  for (const reason of Object.values(ItemRefusal))
    metrics.sample(
      'router_items_refused_total',
      'Versions of items of the platform’s store that this daemon has read and refused.',
      () => source.refusedCounts?.[reason] ?? 0,
      { ...counter, labels: { reason } },
    );
  metrics.sample('router_config_version', 'Version of the configuration in force.', configVersion);
  metrics.sample(
    'router_peers_alive',
    'Living daemons, this one included.',
    () => cluster.aliveAddresses().length,
  );
  metrics.sample(
    'router_peer_links',
    'Links that this daemon has open to others.',
    () => cluster.openLinkCount,
  );
  metrics.sample('router_state_age_ms', 'Age of the last batch of shared state.', () => tree.rootBatchAgeMs);
  metrics.sample(
    'router_state_subscribers',
    'Daemons that get the shared state from this one.',
    () => tree.subscriberCount,
  );
  metrics.sample(
    'router_engines_owned',
    'Engines that this daemon gives orders to.',
    () => leases.ownLeases().length,
  );
  metrics.sample(
    'router_connections_total',
    'Connections opened to replicas.',
    () => channels.openedCount,
    counter,
  );
  metrics.sample(
    'router_log_lines_dropped_total',
    'Log lines that the output did not take.',
    droppedLines,
    counter,
  );
  metrics.sample(
    'router_event_loop_delay_ms',
    'Longest delay of the event loop since the last reading.',
    () => pauses.takeLongestDelayMs(),
  );
  registerProcessCost(metrics);
}

/** Starts an HTTP server that exposes the metrics at every path. */
export async function startMetricsServer(
  host: string,
  port: number,
  metrics: Metrics,
  pacing: PacingOptions,
): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
    res.end(metrics.render());
  });
  paceServer(server, pacing);
  await startListening(server, { host, port });
  return server;
}
