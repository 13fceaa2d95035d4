/** Paths from this daemon to replicas: which replicas it reaches, and whether it is cut off from a service. */
export type { CutOffTableOptions } from './cut-off-table.js';
export { CutOffTable } from './cut-off-table.js';
export type { CutListener, PathMonitorOptions } from './path-monitor.js';
export { PathMonitor } from './path-monitor.js';
export type { PeerWitnessOptions } from './peer-witness.js';
export { PeerWitness } from './peer-witness.js';
export type { PeerSource } from './reaching-peers.js';
export { reachingPeers } from './reaching-peers.js';
export type { ReachabilityOptions } from './reachability.js';
export { ReachabilityTable } from './reachability.js';
export type { CutOffRow, ExchangeStart, PeerEvidence, RunningExchange } from './types.js';
export { CutCause, DeathProof } from './types.js';
