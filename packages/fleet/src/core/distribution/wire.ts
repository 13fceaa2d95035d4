/** Messages of the distribution between daemons. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';
import type { Announcement } from './types.js';

/** Name of the section in the heartbeat. */
export const ANNOUNCEMENT_SECTION = 'configuration';

const DIGEST_LIMIT = 64;

const digestSchema = z.string().max(DIGEST_LIMIT);

const announcementSchema = z.object({
  revision: z.number().int().min(0),
  digest: digestSchema,
  since: z.number(),
  schema: z.number().int().min(0),
});

const emptySchema = z.object({});

const partSchema = z.object({ digest: digestSchema });

const bytesSchema = z.object({ bytes: z.instanceof(Uint8Array).optional() });

/** Asks for the root document in force. */
export type RootQuestion = z.infer<typeof emptySchema>;

/** Asks for a part. */
export type PartQuestion = z.infer<typeof partSchema>;

/** A compressed document, or nothing when the peer has it not. */
export interface CompressedAnswer {
  readonly bytes?: Uint8Array | undefined;
}

/** Gives the root document in force. */
export const ROOT_PROCEDURE: PeerProcedure<RootQuestion, CompressedAnswer> = {
  name: 'configuration.root',
  parse: (raw) => emptySchema.parse(raw),
};

/** Gives one part by its digest. */
export const PART_PROCEDURE: PeerProcedure<PartQuestion, CompressedAnswer> = {
  name: 'configuration.part',
  parse: (raw) => partSchema.parse(raw),
};

/**
 * Checks an answer that came over the wire.
 * @param raw - The answer.
 * @returns The answer.
 */
export function parseCompressed(raw: unknown): CompressedAnswer {
  return bytesSchema.parse(raw);
}

/**
 * Checks an announcement that came over the wire.
 * @param raw - The announcement.
 * @returns The announcement, or undefined when it is none.
 */
export function parseAnnouncement(raw: unknown): Announcement | undefined {
  const parsed = announcementSchema.safeParse(raw);
  return parsed.success ? parsed.data : undefined;
}
