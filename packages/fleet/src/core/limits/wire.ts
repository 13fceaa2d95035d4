/** Messages about shares between daemons. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

/** Most callers that one message names. */
export const MAX_ITEMS = 256;

const itemSchema = z.object({
  caller: z.string(),
  /** The caller's limits in the sender's configuration. */
  limitRate: z.number(),
  limitPlaces: z.number(),
  /** What the sender holds; any grant that it has not applied by now, it never will. */
  rate: z.number(),
  places: z.number(),
  /** Demand at the sender: requests a second, and requests at once. */
  demandRate: z.number(),
  demandPlaces: z.number(),
  /** Requests that run at the sender now. */
  inUse: z.number(),
  /** Requests that wait for this answer. */
  waiting: z.number(),
});

/** What a daemon reports of one caller. */
export type ReportItem = z.infer<typeof itemSchema>;

const exchangeSchema = z.object({ seq: z.number(), items: z.array(itemSchema).max(MAX_ITEMS) });

/** What a daemon reports to the daemon that divides the limits of these callers. */
export type ExchangeMessage = z.infer<typeof exchangeSchema>;

/** What a daemon holds of one caller's limits from now on. */
export interface GrantItem {
  readonly caller: string;
  /** Epoch of the dividing daemon's term; a grant of an older one is not applied. */
  readonly epoch: number;
  readonly rate: number;
  readonly places: number;
  /** Requests that may be let in at once on top. */
  readonly tokens: number;
  /** Time after which more may be had, in milliseconds. */
  readonly retryAfterMs: number;
  /** Whether there are so few places that each goes back as soon as its request ends. */
  readonly isOneByOne: boolean;
  /** Whether the dividing daemon knows what every daemon holds. */
  readonly isComplete: boolean;
  /** Whether more is due to the holder as soon as others have given it back. */
  readonly isOwed: boolean;
}

/** The dividing daemon's answer. */
export interface ExchangeAnswer {
  readonly grants: readonly GrantItem[];
  /** Callers whose limits another daemon divides, as far as the answering one knows. */
  readonly elsewhere: readonly { readonly caller: string; readonly home?: string | undefined }[];
}

const surveySchema = z.object({ bucket: z.number(), epoch: z.number() });

/** A daemon that has come to divide the limits of a bucket of callers asks what everyone holds. */
export type SurveyMessage = z.infer<typeof surveySchema>;

/** What a daemon holds of one caller's limits. */
export interface HeldItem {
  readonly caller: string;
  readonly rate: number;
  readonly places: number;
}

/** What a daemon answers to a survey. */
export interface SurveyAnswer {
  readonly incarnation: number;
  readonly held: readonly HeldItem[];
}

/** `limits.exchange`, served by the daemon that divides a caller's limits. */
export const EXCHANGE: PeerProcedure<ExchangeMessage, ExchangeAnswer> = {
  name: 'limits.exchange',
  parse: (raw) => exchangeSchema.parse(raw),
};

/** `limits.survey`, served by every daemon, which applies no grant of an older epoch from then on. */
export const SURVEY: PeerProcedure<SurveyMessage, SurveyAnswer> = {
  name: 'limits.survey',
  parse: (raw) => surveySchema.parse(raw),
};
