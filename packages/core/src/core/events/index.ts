/** Streams of server-sent events. */
export { EventKind, EventScanner, NO_ID } from './scanner.js';
