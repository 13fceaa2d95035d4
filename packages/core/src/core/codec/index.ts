/** The compact codec of messages between daemons. */
export { decode, encode, WIRE_CODEC } from './codec.js';
export { countValues } from './count-values.js';
