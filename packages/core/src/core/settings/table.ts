/**
 * The one table of process settings: flags, variables, `--help` and docs/SETTINGS.md all come from it.
 * A new setting is a new row; its flag and its variable follow from its key. After a change run `npm run docs`.
 */
import { LogFormat, LogLevel } from '../log/index.js';
import { boolean, choice, duration, integer, list, port, share, text } from './rows.js';
import type { SettingRows, SettingValues } from './types.js';

/** Where the audit trail's own stream of JSON lines goes. */
export enum AuditTarget {
  Stdout = 'stdout',
  Stderr = 'stderr',
  None = 'none',
}

/** Every process setting, by key. */
export const SETTINGS_TABLE = {
  // Who this process is.
  hostName: text({ doc: 'Name of this host, as the host list has it.' }),
  failureDomain: text({ doc: 'Failure domain of this host.' }),
  siteName: text({ doc: 'Site whose configuration is in force here.' }),

  // Where it listens.
  callerAddress: text({ doc: 'IP number where callers connect.', default: '127.0.0.1' }),
  callerPort: port({ doc: 'Port where callers connect; 0 takes a free one.', default: 8080 }),
  peerAddress: text({ doc: 'IP number where peers connect.', default: '127.0.0.1' }),
  peerPort: port({ doc: 'Port where peers connect; 0 takes a free one.', default: 8081 }),
  adminAddress: text({ doc: 'IP number where operators connect.', default: '127.0.0.1' }),
  adminPort: port({ doc: 'Port where operators connect; 0 takes a free one.', default: 8082 }),

  // The platform.
  configAddress: text({ doc: 'Base URL of the configuration service.' }),
  configWatchMs: duration({ doc: 'Longest wait of one watch.', default: 30_000, min: 100 }),
  hostListAddress: text({ doc: 'URL of the host list.' }),
  hostListPollMs: duration({ doc: 'Interval between reads of the host list.', default: 1000, min: 10 }),
  hostListLagMs: duration({ doc: 'Longest time by which the host list lags.', default: 3000 }),
  platformTimeoutMs: duration({ doc: 'Time limit of one call to the platform.', default: 2000, min: 1 }),

  // Peers.
  peerKeys: list({
    doc: 'Keys that peers prove to each other; the first is used, all of them are accepted.',
    default: [],
    secret: true,
  }),
  peerKeysFile: text({
    doc: 'File with such keys, one a line; taken when the variable has none.',
    default: '',
  }),
  maxPeers: integer({
    doc: 'Most peers that a daemon keeps links to; a keeper of keys adds links to the other keepers.',
    default: 16,
    min: 1,
  }),
  heartbeatMs: duration({ doc: 'Interval between heartbeats to a peer.', default: 1000, min: 10 }),
  peerTimeoutMs: duration({ doc: 'Time limit of one call to a peer.', default: 1000, min: 1 }),

  // Ownership and orders.
  leaseMs: duration({ doc: 'Duration of a lease.', default: 5000, min: 10 }),
  clockDriftShare: share({ doc: 'Bound on the drift between two monotonic clocks.', default: 0.01 }),
  orderTimeoutMs: duration({ doc: 'Time limit of one order to load.', default: 10_000, min: 1 }),
  reportPollMs: duration({ doc: "Interval between reads of an engine's report.", default: 500, min: 10 }),
  reportLagMs: duration({ doc: "Longest time by which an engine's report lags.", default: 1000 }),

  // Requests.
  bodyLimitBytes: integer({ doc: 'Largest body of a request.', default: 4_194_304, min: 1, unit: 'bytes' }),
  headerTimeoutMs: duration({ doc: 'Time for a request to send its headers.', default: 10_000, min: 1 }),
  bodyTimeoutMs: duration({ doc: 'Time for a request to send its body.', default: 30_000, min: 1 }),
  defaultDeadlineMs: duration({ doc: 'Deadline of a request that states none.', default: 120_000, min: 1 }),
  keyRetentionMs: duration({
    doc: 'How long an idempotency key is remembered.',
    default: 600_000,
    min: 1,
  }),
  callerClockMs: duration({ doc: "Bound on the error of callers' clocks.", default: 5000 }),
  queueLimit: integer({
    doc: 'Most requests that were admitted and do not run yet.',
    default: 1024,
    unit: 'requests',
  }),
  retryBudgetShare: share({ doc: 'Retries allowed, as a share of requests.', default: 0.1 }),

  // What it tells.
  logLevel: choice({
    doc: 'Least severe log level that is written.',
    default: LogLevel.Info,
    choices: Object.values(LogLevel),
  }),
  logFormat: choice({
    doc: 'Look of a log line.',
    default: LogFormat.Human,
    choices: Object.values(LogFormat),
  }),
  auditTarget: choice({
    doc: "Where the audit trail's JSON lines go.",
    default: AuditTarget.Stdout,
    choices: Object.values(AuditTarget),
  }),
  auditCapacity: integer({ doc: 'Changes kept in memory.', default: 4096, min: 1, unit: 'records' }),
  metrics: boolean({ doc: 'Whether /metrics is served.', default: true }),
} as const satisfies SettingRows;

/** The settings of a process. */
export type Settings = SettingValues<typeof SETTINGS_TABLE>;

/** Key of a setting. */
export type SettingKey = keyof Settings;
