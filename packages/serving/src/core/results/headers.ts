/** Header names of the callers' API; docs/API.md describes them. */

/** Id of the request, unique in the fleet. */
export const REQUEST_ID = 'x-request-id';

/** Adapter that answers. */
export const ADAPTER = 'x-celeryyoke-adapter';

/** Version of the adapter that answers. */
export const VERSION = 'x-celeryyoke-version';

/** Engine, or upstream of a plain service, that answers. */
export const ENGINE = 'x-celeryyoke-engine';

/** Time that the request waited for an adapter to be loaded, in milliseconds. */
export const LOAD_WAIT = 'x-celeryyoke-load-wait-ms';

/** Name of the caller, told to plain services in place of its key. */
export const CALLER = 'x-celeryyoke-caller';

/** Result code of an error. */
export const CODE = 'x-celeryyoke-code';

/** Whether an error proves that the request did not run: `not-run` or `unknown`. */
export const RUN = 'x-celeryyoke-run';

/** Time that the caller allows from the arrival of the request, in milliseconds. */
export const REQUEST_TIMEOUT = 'x-request-timeout-ms';

/** Priority that the caller states; higher goes first. */
export const REQUEST_PRIORITY = 'x-request-priority';

/** Marks a request that must not run twice, whatever its route says. */
export const NON_IDEMPOTENT = 'x-non-idempotent';

/** Key that is the same in every send of one request. */
export const IDEMPOTENCY_KEY = 'idempotency-key';

/** Trace context, carried along unchanged. */
export const TRACE_HEADERS = ['traceparent', 'tracestate'] as const;
