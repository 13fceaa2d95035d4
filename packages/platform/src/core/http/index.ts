/** HTTP exchanges that say of each failure whether the request may have run. */
export { createExchanger } from './exchange.js';
export {
  FENCING_HEADER,
  INCARNATION_HEADER,
  NOT_STARTED_HEADER,
  ORDER_TIMEOUT_HEADER,
  READER_HEADER,
  REQUEST_ID_HEADER,
  REVISION_HEADER,
} from './headers.js';
export { headerOf, readBody, sendAndRead } from './read.js';
export type { ReadOptions, WholeAnswer } from './read.js';
export type { ExchangeAnswer, ExchangeCall, Exchanger, ExchangerOptions, HeaderMap } from './types.js';
