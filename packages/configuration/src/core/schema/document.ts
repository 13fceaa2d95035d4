/** Schema of a base document merged with an overlay. */
import { z } from 'zod';

import { Fencing } from '../model/types.js';
import {
  adapterSchema,
  callerSchema,
  count,
  domainSchema,
  engineSchema,
  familySchema,
  milliseconds,
  modelSchema,
  nameField,
  patternField,
  policySchema,
  positive,
  priority,
  routeSchema,
  serviceSchema,
  share,
  storeSchema,
  versionField,
} from './fields.js';

/** Version of the documents that this release reads. */
export const DOCUMENT_SCHEMA = 1;

const DEFAULT_TIMEOUT_MS = 10_000;

const instant = z.iso
  .datetime({ offset: true, error: 'Expected a time with its zone, such as 2026-06-30T23:59:00+01:00' })
  .describe('Time in ISO 8601 with its offset from UTC');

const engineEntry = engineSchema.extend({
  fencing: z.enum(Fencing).default(Fencing.Ignored).describe('Whether it refuses old fencing numbers'),
});

const serviceEntry = serviceSchema.extend({
  nonIdempotent: z.array(routeSchema).default([]).describe('Routes whose calls may not be repeated'),
  timeoutMs: milliseconds.default(DEFAULT_TIMEOUT_MS).describe('Longest time for one call in milliseconds'),
});

const storeEntry = storeSchema.extend({
  concurrentLoads: count.default(1).describe('Loads that run at full speed together'),
});

const adapterEntry = adapterSchema.extend({
  current: versionField
    .optional()
    .describe('Version for requests without one; may be left out with one version'),
});

const familyEntry = familySchema.extend({
  current: versionField
    .optional()
    .describe('Version for requests without one; may be left out with one version'),
});

const callerEntry = callerSchema.extend({
  weight: positive.default(1).describe('Weight in fair queueing'),
  priority: priority.default(0).describe('Priority of requests that state none; higher goes first'),
});

const eventEntry = z.strictObject({
  name: nameField,
  start: instant,
  end: instant,
  adapters: z
    .array(
      z.strictObject({
        adapter: z.union([nameField, patternField]).describe('Name, or names such as style-{0001..0040}'),
        version: versionField.optional().describe('The current one when left out'),
        rps: positive.describe('Expected requests a second for each adapter'),
      }),
    )
    .min(1),
});

const policyEntry = policySchema.extend({
  stallWeight: share.default(0.5).describe('1 weighs load stalls only, 0 batch efficiency only'),
  maxLoadWaitMs: milliseconds.default(30_000).describe('Longest time that a load can be passed over'),
  firstTokenMs: milliseconds.default(310).describe('First-token bound in milliseconds'),
  interTokenMs: milliseconds.default(35).describe('Bound between tokens in milliseconds'),
});

const defaultsEntry = z.strictObject({
  engines: engineEntry.partial().optional(),
  services: serviceEntry.partial().optional(),
  stores: storeEntry.partial().optional(),
  adapters: adapterEntry.partial().optional(),
  families: familyEntry.partial().optional(),
  callers: callerEntry.partial().optional(),
});

/** Schema of the merged document. */
export const siteDocumentSchema = z.strictObject({
  schema: z.literal(DOCUMENT_SCHEMA).describe('Version of the documents'),
  site: nameField.describe('Name of the site'),
  defaults: defaultsEntry.optional().describe('Fields that entries of a list get when they leave them out'),
  domains: z.array(domainSchema).min(1).describe('Failure domains'),
  models: z.array(modelSchema).min(1).describe('Base models'),
  engines: z.array(engineEntry).min(1).describe('Model-serving replicas'),
  services: z.array(serviceEntry).default([]).describe('Plain services'),
  stores: z.array(storeEntry).min(1).describe('Weight stores'),
  adapters: z.array(adapterEntry).default([]).describe('Adapters, one by one'),
  families: z.array(familyEntry).default([]).describe('Adapters whose names are a prefix and a number'),
  events: z.array(eventEntry).default([]).describe('Events with a fixed start'),
  callers: z.array(callerEntry).default([]).describe('Callers and their limits for the whole fleet'),
  policy: policyEntry.prefault({}).describe('Weights and bounds of the policy'),
});

/** The merged document. */
export type SiteDocument = z.infer<typeof siteDocumentSchema>;

/** Lists whose entries get defaults. */
export const DEFAULTED_LISTS = ['engines', 'services', 'stores', 'adapters', 'families', 'callers'] as const;
