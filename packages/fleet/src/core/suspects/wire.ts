/** Messages about suspects between daemons. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

/** Most fingerprints that one message names. */
export const MAX_FINGERPRINTS = 512;
const MAX_CRASHES = 8;
const MAX_TEXT = 128;

const textSchema = z.string().max(MAX_TEXT);
const fingerprintsSchema = z.array(textSchema).max(MAX_FINGERPRINTS);

const crashSchema = z.object({ upstream: textSchema, ageMs: z.number(), fingerprints: fingerprintsSchema });

/** Tells of a crash. */
export type CrashMessage = z.infer<typeof crashSchema>;

const clearSchema = z.object({ fingerprint: textSchema, ageMs: z.number() });

/** Tells that a request ended well. */
export type ClearMessage = z.infer<typeof clearSchema>;

const isolateSchema = z.object({ fingerprint: textSchema, upstream: textSchema, token: textSchema });

/** Claims an upstream for a suspect. */
export type IsolateMessage = z.infer<typeof isolateSchema>;

const releaseSchema = z.object({ upstream: textSchema, token: textSchema });

/** Gives an upstream back. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;

/** Checks the section of the heartbeat: what a peer may have missed. */
export const sectionSchema = z.object({
  crashes: z.array(crashSchema).max(MAX_CRASHES),
  cleared: z.array(clearSchema).max(MAX_FINGERPRINTS),
  /** Upstreams where suspects of the sender run. */
  occupied: z.array(textSchema).max(MAX_FINGERPRINTS),
});

/** The section of the heartbeat. */
export type SuspectSection = z.infer<typeof sectionSchema>;

/** Most crashes that one heartbeat names. */
export const CRASHES_PER_BEAT = MAX_CRASHES;

/** `suspects.crash`: tells of a crash. */
export const CRASH: PeerProcedure<CrashMessage, boolean> = {
  name: 'suspects.crash',
  parse: (raw) => crashSchema.parse(raw),
};

/** `suspects.clear`: tells that a request ended well. */
export const CLEAR: PeerProcedure<ClearMessage, boolean> = {
  name: 'suspects.clear',
  parse: (raw) => clearSchema.parse(raw),
};

/** `suspects.isolate`, served by the arbiter; answers whether the upstream is the suspect's. */
export const ISOLATE: PeerProcedure<IsolateMessage, boolean> = {
  name: 'suspects.isolate',
  parse: (raw) => isolateSchema.parse(raw),
};

/** `suspects.release`, served by the arbiter. */
export const RELEASE: PeerProcedure<ReleaseMessage, boolean> = {
  name: 'suspects.release',
  parse: (raw) => releaseSchema.parse(raw),
};
