/** Messages about keys between daemons. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';
import { RecordState } from './records.js';
import { KeyOutcome } from './types.js';

const MAX_KEY_LENGTH = 512;

/** What the home answers. */
export enum KeyVerdict {
  Admitted = 'admitted',
  /** This daemon is not the home, or may not act on it now. */
  NotHome = 'not-home',
  /** The backup did not answer. */
  Unproved = 'unproved',
  Running = 'running',
  Done = 'done',
  OutcomeUnknown = 'outcome-unknown',
  Reused = 'reused',
  Expired = 'expired',
  FromFuture = 'from-future',
  Full = 'full',
}

const keySchema = z.string().max(MAX_KEY_LENGTH);

const admitSchema = z.object({
  bucket: z.number(),
  key: keySchema,
  fingerprint: z.string(),
  createdAt: z.number(),
  token: z.string(),
});

/** Asks the home to admit a key. */
export type AdmitMessage = z.infer<typeof admitSchema>;

/** The home's answer. */
export interface AdmitAnswer {
  readonly verdict: KeyVerdict;
  /** The home, when another daemon was asked that knows it. */
  readonly home?: string | undefined;
}

const settleSchema = z.object({
  bucket: z.number(),
  key: keySchema,
  token: z.string(),
  outcome: z.enum(KeyOutcome),
});

/** Tells how a run ended. */
export type SettleMessage = z.infer<typeof settleSchema>;

const keeperSchema = z.object({ name: z.string(), generation: z.number() });

/** Checks a term that came over the wire. */
export const termSchema = z.object({
  bucket: z.number(),
  epoch: z.number(),
  home: keeperSchema,
  backup: keeperSchema,
  knownSince: z.number(),
});

/** Checks a record that came over the wire. */
export const recordSchema = z.object({
  key: keySchema,
  fingerprint: z.string(),
  createdAt: z.number(),
  token: z.string(),
  epoch: z.number(),
  serial: z.number(),
  state: z.enum(RecordState),
});

const writeSchema = z.object({ term: termSchema, record: recordSchema });

/** Writes the home's record at the backup. */
export type WriteMessage = z.infer<typeof writeSchema>;

/** `keys.admit`, served by the home. */
export const ADMIT: PeerProcedure<AdmitMessage, AdmitAnswer> = {
  name: 'keys.admit',
  parse: (raw) => admitSchema.parse(raw),
};

/** `keys.settle`, served by the home; answers whether it was the home. */
export const SETTLE: PeerProcedure<SettleMessage, boolean> = {
  name: 'keys.settle',
  parse: (raw) => settleSchema.parse(raw),
};

/** `keys.write`, served by the backup; answers whether it holds the record now. */
export const WRITE: PeerProcedure<WriteMessage, boolean> = {
  name: 'keys.write',
  parse: (raw) => writeSchema.parse(raw),
};
