/** Peer messages of custody. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';
import type { CustodyTerm } from './types.js';

const MAX_BUCKETS = 65_536;

const daemonRefSchema = z.object({ name: z.string(), generation: z.number() });

const termSchema = z.object({
  bucket: z.number(),
  epoch: z.number(),
  home: daemonRefSchema,
  backup: daemonRefSchema,
  knownSince: z.number(),
});

const cedeSchema = z.object({ term: termSchema, next: termSchema, isDelivered: z.boolean() });

/** Fences the backup: the home names the next pair, and neither acts under the old term any more. */
export type CedeMessage = z.infer<typeof cedeSchema>;

const takeSchema = z.object({
  next: termSchema,
  /** Identifies one transfer of all parts; parts of different transfers are never combined. */
  transfer: z.string(),
  /** Index of this part, from 0. */
  part: z.number(),
  parts: z.number(),
  cargo: z.unknown(),
});

/** Transfers one part of a bucket to a member of the next pair. */
export type TakeMessage = z.infer<typeof takeSchema>;

/** Asks a member of the next pair whether it already has the bucket. */
export type HasMessage = z.infer<typeof termSchema>;

const claimSchema = z.object({
  claimant: daemonRefSchema,
  nonce: z.number(),
  buckets: z.array(z.number()).max(MAX_BUCKETS),
});

/** Requests the promise to let no other daemon claim these buckets, which no daemon holds. */
export type ClaimMessage = z.infer<typeof claimSchema>;

/** A promise for one bucket. */
export interface ClaimPromise {
  readonly bucket: number;
  /** Greatest epoch that the promising daemon has seen of it. */
  readonly epoch: number;
  /**
   * The pair that it last handed the bucket to; the claimant must learn from its members whether that term
   * ended.
   */
  readonly passedTo?: CustodyTerm | undefined;
}

/** Response to a claim. */
export interface ClaimResponse {
  readonly promised: readonly ClaimPromise[];
  /** Current terms of claimed buckets, which block the claim. */
  readonly held: readonly CustodyTerm[];
  /** Daemons known to the responding one; the claimant needs their promises too. */
  readonly knows: readonly string[];
}

const checkSchema = z.object({ bucket: z.number(), nonce: z.number() });

/** Asks a claimant whether its claim is still in progress. */
export type CheckMessage = z.infer<typeof checkSchema>;

const byeSchema = z.object({ generation: z.number() });

/** Reports that the sender has stopped acting. */
export type ByeMessage = z.infer<typeof byeSchema>;

/** Schema of the heartbeat section. */
export const sectionSchema = z.object({
  generation: z.number(),
  /** Greatest generation of the receiver that the sender counts as lost. */
  buried: z.number().optional(),
  /** Bitmap of the buckets whose home the sender is. */
  homes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

/** Custody section of a heartbeat. */
export type CustodySection = z.infer<typeof sectionSchema>;

/** `custody.cede`, served by a backup; returns whether it has accepted the decision. */
export const CEDE: PeerProcedure<CedeMessage, boolean> = {
  name: 'custody.cede',
  parse: (raw) => cedeSchema.parse(raw),
};

/** `custody.take`, served by the next pair; returns whether it has that part or a later term. */
export const TAKE: PeerProcedure<TakeMessage, boolean> = {
  name: 'custody.take',
  parse: (raw) => takeSchema.parse(raw),
};

/** `custody.has`, served by the next pair; returns whether no transfer is needed. */
export const HAS: PeerProcedure<HasMessage, boolean> = {
  name: 'custody.has',
  parse: (raw) => termSchema.parse(raw),
};

/** `custody.claim`, served by every daemon. */
export const CLAIM: PeerProcedure<ClaimMessage, ClaimResponse> = {
  name: 'custody.claim',
  parse: (raw) => claimSchema.parse(raw),
};

/** `custody.check`, served by every daemon; returns whether the claim is still in progress. */
export const CHECK: PeerProcedure<CheckMessage, boolean> = {
  name: 'custody.check',
  parse: (raw) => checkSchema.parse(raw),
};

/** `custody.bye`, served by every daemon. */
export const BYE: PeerProcedure<ByeMessage, boolean> = {
  name: 'custody.bye',
  parse: (raw) => byeSchema.parse(raw),
};
