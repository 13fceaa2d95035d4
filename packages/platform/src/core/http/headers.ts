/** Header names that the platform's protocols use. */

/** An upstream's proof that it did not begin a request; its value is `1`. */
export const NOT_STARTED_HEADER = 'x-not-started';

/** Identifies a request; an upstream that knows it gives it back. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Fencing number of an order; the number that an engine has seen in its refusal. */
export const FENCING_HEADER = 'x-fencing-number';

/** Time limit of an order in milliseconds. */
export const ORDER_TIMEOUT_HEADER = 'x-order-timeout-ms';

/** Incarnation of an engine, on each of its answers. */
export const INCARNATION_HEADER = 'x-engine-incarnation';

/** Names the reader of the configuration service or the host list. */
export const READER_HEADER = 'x-reader';

/** Revision of a value of the configuration service. */
export const REVISION_HEADER = 'x-revision';
