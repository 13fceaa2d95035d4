/** Messages with which daemons read each other's view of the host list. */
import { HostRole, HostState } from '@celeryyoke/platform';
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

const hostSchema = z.object({
  name: z.string(),
  role: z.enum(HostRole),
  state: z.enum(HostState),
  domain: z.string(),
  address: z.string(),
});

const requestSchema = z.object({ digest: z.string() });

const responseSchema = z.object({
  /** Age of the view in milliseconds when the response was created; absent when there is no view. */
  ageMs: z.number().nonnegative().optional(),
  version: z.number().optional(),
  digest: z.string().optional(),
  /** Absent when the digest equals that of the request. */
  hosts: z.array(hostSchema).optional(),
});

/** Request for a peer's view, with the digest of the requester's own; empty when it has none. */
export type ViewRequest = z.infer<typeof requestSchema>;

/** Response with a peer's view. */
export type ViewResponse = z.infer<typeof responseSchema>;

/** Returns the view of the called daemon. */
export const VIEW_PROCEDURE: PeerProcedure<ViewRequest, ViewResponse> = {
  name: 'membership.view',
  parse: (raw) => requestSchema.parse(raw),
};

/** Validates a response; throws when it is malformed. */
export function parseViewResponse(raw: unknown): ViewResponse {
  return responseSchema.parse(raw);
}
