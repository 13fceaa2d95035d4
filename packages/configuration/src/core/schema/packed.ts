/** Schemas of the packed form; a field that is not known is refused. */
import { z } from 'zod';

import { DIGEST_LENGTH } from '../packing/canonical.js';
import { PACKED_SCHEMA, Section } from '../packing/types.js';
import {
  adapterSchema,
  callerSchema,
  domainSchema,
  engineSchema,
  eventSchema,
  familySchema,
  modelSchema,
  nameField,
  policySchema,
  serviceSchema,
  storeSchema,
} from './fields.js';

const digestField = z.string().regex(new RegExp(`^[0-9a-f]{${DIGEST_LENGTH}}$`), 'Expected a digest');

const schemaField = z.literal(PACKED_SCHEMA);

const partsField = z
  .array(digestField)
  .min(1)
  .refine((parts) => Number.isInteger(Math.log2(parts.length)), 'Expected a power of two of parts');

function partSchema<Name extends Section, Item extends z.ZodType>(section: Name, item: Item) {
  return z.strictObject({ schema: schemaField, section: z.literal(section), items: z.array(item) });
}

/** Schema of the root document. */
export const rootSchema = z.strictObject({
  schema: schemaField,
  site: nameField,
  revision: z.number().int().min(1),
  digest: digestField,
  sections: z.strictObject({
    [Section.Settings]: z.array(digestField).length(1),
    [Section.Engines]: partsField,
    [Section.Callers]: partsField,
    [Section.Events]: partsField,
    [Section.Adapters]: partsField,
  }),
});

/** Schema of the settings part. */
export const settingsSchema = z.strictObject({
  schema: schemaField,
  section: z.literal(Section.Settings),
  settings: z.strictObject({
    domains: z.array(domainSchema),
    models: z.array(modelSchema),
    stores: z.array(storeSchema),
    services: z.array(serviceSchema),
    families: z.array(familySchema),
    policy: policySchema,
  }),
});

/** Schemas of the parts of lists. */
export const LIST_SCHEMAS = {
  [Section.Engines]: partSchema(Section.Engines, engineSchema),
  [Section.Callers]: partSchema(Section.Callers, callerSchema),
  [Section.Events]: partSchema(Section.Events, eventSchema),
  [Section.Adapters]: partSchema(Section.Adapters, adapterSchema),
} as const;

/** The settings that a site has once. */
export type SiteSettings = z.infer<typeof settingsSchema>['settings'];
