/** The daemon. */
export { createDaemon } from './daemon.js';
export { Part } from './names.js';
export type { Daemon, DaemonOptions, DaemonPorts } from './types.js';
