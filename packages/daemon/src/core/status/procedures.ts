/** What daemons ask each other on behalf of operators. */
import { z } from 'zod';

import type { PeerProcedure } from '@celeryyoke/fleet';

import type { DaemonStatus } from './types.js';

/** An empty question. */
export type EmptyInput = Readonly<Record<string, never>>;

/** A question about one request. */
export interface ExplainInput {
  readonly requestId: string;
}

/** The answer of a daemon that was asked to drain. */
export interface DrainAnswer {
  readonly host: string;
  readonly draining: boolean;
}

const EMPTY = z.strictObject({});
const EXPLAIN = z.strictObject({ requestId: z.string().max(128) });

/** Reads a daemon's status. */
export const STATUS_READ: PeerProcedure<EmptyInput, DaemonStatus> = {
  name: 'status.read',
  parse: (raw) => EMPTY.parse(raw),
};

/** Looks a request up in a daemon's records; null when it is not there. */
export const REQUEST_EXPLAIN: PeerProcedure<ExplainInput, unknown> = {
  name: 'request.explain',
  parse: (raw) => EXPLAIN.parse(raw),
};

/** Asks a daemon to drain and exit. */
export const DRAIN_BEGIN: PeerProcedure<EmptyInput, DrainAnswer> = {
  name: 'drain.begin',
  parse: (raw) => EMPTY.parse(raw),
};
