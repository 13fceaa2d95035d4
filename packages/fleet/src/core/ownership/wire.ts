/** Peer messages of an ownership handover. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

const MAX_RESOURCES = 4_096;

const releaseRequestSchema = z.object({ resources: z.array(z.string()).max(MAX_RESOURCES) });

const releaseSchema = z.object({
  resource: z.string(),
  /** Milliseconds, from the response on, for which the previous owner's lease would still have run. */
  leftMs: z.number(),
  /** Fencing token of the previous owner. */
  fencing: z.number(),
});

const releaseResponseSchema = z.object({
  /** Whether the responding daemon has given up all its resources for good. */
  departed: z.boolean(),
  released: z.array(releaseSchema),
});

/** Requests the release of resources from a daemon that may have owned them. */
export type ReleaseRequest = z.infer<typeof releaseRequestSchema>;

/** A resource that its previous owner releases. */
export type Release = z.infer<typeof releaseSchema>;

/** Releases granted, and whether the responding daemon has departed. */
export type ReleaseResponse = z.infer<typeof releaseResponseSchema>;

/** `ownership.release`, served by every daemon. */
export const RELEASE_PROCEDURE: PeerProcedure<ReleaseRequest, ReleaseResponse> = {
  name: 'ownership.release',
  parse: (raw) => releaseRequestSchema.parse(raw),
};

/** `ownership.departing`: the sender gives up all its resources; the receiver then requests their release. */
export const DEPARTING_PROCEDURE: PeerProcedure<Record<string, never>, null> = {
  name: 'ownership.departing',
  parse: () => ({}),
};

/**
 * Validates the response to a release request.
 * @throws ZodError when it does not match the schema.
 */
export function parseReleaseResponse(raw: unknown): ReleaseResponse {
  return releaseResponseSchema.parse(raw);
}
