/** Bytes that callers send, between their sockets and the HTTP parser. */
export { InputTurns } from './input-turns.js';
export { PacedInput } from './paced-input.js';
