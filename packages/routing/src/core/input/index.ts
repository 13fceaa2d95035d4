/** Bytes that callers send, between their sockets and the HTTP parser. */
export { InputTurns } from './input-turns.js';
export type { PacingOptions } from './pace-server.js';
export { paceServer } from './pace-server.js';
export { PacedInput } from './paced-input.js';
