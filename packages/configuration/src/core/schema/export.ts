/** JSON Schemas for editors and for those who publish. */
import { z } from 'zod';

import { siteDocumentSchema } from './document.js';
import { LIST_SCHEMAS, rootSchema, settingsSchema } from './packed.js';

/** A JSON Schema, or a part of one. */
export interface JsonSchema {
  readonly [keyword: string]: unknown;
  readonly type?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly items?: JsonSchema;
}

/** A schema and the name of its file. */
export interface NamedSchema {
  readonly name: string;
  readonly schema: JsonSchema;
}

const NULL_SCHEMA: JsonSchema = { type: 'null' };

/** Fields that name the items of a list. */
const NAME_FIELDS = ['name', 'adapter'] as const;

function toJson(schema: z.core.$ZodType, title: string): JsonSchema {
  return { title, ...z.toJSONSchema(schema, { io: 'input' }) } as JsonSchema;
}

function mapValues(
  properties: Readonly<Record<string, JsonSchema>>,
  change: (schema: JsonSchema, key: string) => JsonSchema,
): Record<string, JsonSchema> {
  return Object.fromEntries(Object.entries(properties).map(([key, value]) => [key, change(value, key)]));
}

function orNull(schema: JsonSchema): JsonSchema {
  return { anyOf: [schema, NULL_SCHEMA] };
}

/** Lets everything be left out, be null, and lists of named things be maps, as in a base file or an overlay. */
function relax(schema: JsonSchema): JsonSchema {
  if (schema.type === 'object' && schema.properties !== undefined) {
    const { required, ...rest } = schema;
    return { ...rest, properties: mapValues(schema.properties, (property) => orNull(relax(property))) };
  }
  if (schema.type !== 'array' || schema.items === undefined) return schema;
  const items = relax(schema.items);
  const { minItems, ...list } = schema;
  if (!NAME_FIELDS.some((field) => schema.items?.properties?.[field])) return { ...schema, items };
  return {
    anyOf: [
      { ...list, items },
      { type: 'object', additionalProperties: orNull(items) },
    ],
  };
}

function documentSchema(): JsonSchema {
  const whole = toJson(siteDocumentSchema, 'Base file or overlay of celeryyoke');
  const { schema = {} } = whole.properties ?? {};
  const relaxed = relax(whole);
  return { ...relaxed, required: ['schema'], properties: { ...relaxed.properties, schema } };
}

/**
 * Makes every JSON Schema.
 * @returns The schemas by name.
 */
export function exportSchemas(): readonly NamedSchema[] {
  return [
    { name: 'document', schema: documentSchema() },
    { name: 'site', schema: toJson(siteDocumentSchema, 'Base file and overlay of celeryyoke, merged') },
    { name: 'packed-root', schema: toJson(rootSchema, 'Root document of a packed site') },
    { name: 'packed-settings', schema: toJson(settingsSchema, 'Settings part of a packed site') },
    ...Object.entries(LIST_SCHEMAS).map(([section, schema]) => ({
      name: `packed-${section}`,
      schema: toJson(schema, `Part of a packed site: ${section}`),
    })),
  ];
}
