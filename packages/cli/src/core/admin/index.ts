/** Access to a running daemon. */
export { callDaemon, followDaemon } from './client.js';
