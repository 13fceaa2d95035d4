/** The figures of a daemon, and the listener that serves them as text. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import type { Metrics } from '@celeryyoke/core';
import { registerProcessCost, startListening } from '@celeryyoke/core';

import type { EngineLeases, PauseDetector } from '../ownership/index.js';
import type { ChannelPool } from '../channels/index.js';
import type { Cluster } from '../cluster/index.js';
import type { DisseminationTree } from '../dissemination/index.js';
import type { ReplicatedStore } from '../view/index.js';

const OK = 200;

/** What the figures are read from. */
export interface FigureParts {
  readonly metrics: Metrics;
  readonly view: ReplicatedStore;
  readonly cluster: Cluster;
  readonly tree: DisseminationTree;
  readonly leases: EngineLeases;
  readonly channels: ChannelPool;
  readonly pauses: PauseDetector;
  readonly requests: { readonly running: number };
  readonly droppedLines: () => number;
  readonly configVersion: () => number;
}

/**
 * Registers the figures that are read when they are asked for.
 * @param parts - What they are read from.
 */
export function registerFigures(parts: FigureParts): void {
  const { metrics, view, cluster, tree, leases, channels, pauses, requests, droppedLines, configVersion } =
    parts;
  const counter = { isCounter: true };
  metrics.sample('router_requests_running', 'Requests in progress.', () => requests.running);
  metrics.sample('router_view_age_ms', 'Age of what is known of the platform.', () => view.ageMs);
  metrics.sample('router_config_version', 'Version of the configuration in force.', configVersion);
  metrics.sample('router_peers_alive', 'Living daemons, this one included.', () => cluster.alive().length);
  metrics.sample('router_peer_links', 'Links that this daemon has open to others.', () => cluster.links);
  metrics.sample('router_state_age_ms', 'Age of the last batch of shared state.', () => tree.ageMs);
  metrics.sample(
    'router_state_subscribers',
    'Daemons that get the shared state from this one.',
    () => tree.subscribers,
  );
  metrics.sample(
    'router_engines_owned',
    'Engines that this daemon gives orders to.',
    () => leases.mine().length,
  );
  metrics.sample(
    'router_connections_total',
    'Connections opened to replicas.',
    () => channels.opened,
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
    () => pauses.takeLongestDelay(),
  );
  registerProcessCost(metrics);
}

/**
 * Serves the figures at any path.
 * @param host - Address of this daemon.
 * @param port - Port.
 * @param metrics - The figures.
 * @returns The listener.
 */
export async function listenForFigures(host: string, port: number, metrics: Metrics): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(OK, { 'content-type': 'text/plain; version=0.0.4' });
    res.end(metrics.render());
  });
  await startListening(server, { host, port });
  return server;
}
