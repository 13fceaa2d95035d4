/** Fields that documents and packed parts have in common. */
import { z } from 'zod';

import { Fencing } from '../model/types.js';

/** Longest name of anything. */
const NAME_LIMIT = 128;

const NAME = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/;

const VERSION = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

const SHA256 = /^[0-9a-f]{64}$/;

const ADDRESS = /^https?:\/\/[^\s/?#]+\/?$/;

const PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]*\{\d{1,9}\.\.\d{1,9}\}$/;

/** A name: letters, digits, `.`, `_`, `:`, `/` and `-`. */
export const nameField = z
  .string()
  .max(NAME_LIMIT)
  .regex(
    NAME,
    'Expected a name: letters, digits, ".", "_", ":", "/" and "-", beginning with a letter or digit',
  );

/** A version of an adapter. */
export const versionField = z
  .string()
  .max(NAME_LIMIT)
  .regex(VERSION, 'Expected a version: letters, digits, ".", "_" and "-" (quote one that is a number)');

/** Base URL of an upstream. */
export const addressField = z.string().regex(ADDRESS, 'Expected a base URL such as http://10.0.0.1:8000');

/** A route prefix. */
export const prefixField = z.string().regex(/^\/\S*$/, 'Expected a path that begins with "/"');

/** Names of a family's members. */
export const patternField = z
  .string()
  .max(NAME_LIMIT)
  .regex(PATTERN, 'Expected a prefix and a range such as style-{0001..3000}');

/** Digest of a caller's key. */
export const keyField = z
  .string()
  .regex(SHA256, 'Expected the SHA-256 of the key, 64 hexadecimal digits in lower case');

/** A size, a rate, a weight, a time. */
export const positive = z.number().positive();

/** A share. */
export const share = z.number().min(0).max(1);

/** A count of at least one. */
export const count = z.number().int().min(1);

/** A duration in whole milliseconds. */
export const milliseconds = z.number().int().min(1);

/** A priority; higher goes first. */
export const priority = z.number().int().min(-100).max(100);

/** A failure domain. */
export const domainSchema = z.strictObject({ name: nameField, region: nameField });

/** A base model. */
export const modelSchema = z.strictObject({ name: nameField, sizeMb: positive });

/** A model-serving replica. */
export const engineSchema = z.strictObject({
  name: nameField,
  domain: nameField,
  address: addressField,
  model: nameField,
  store: nameField,
  slots: count,
  batch: count,
  fencing: z.enum(Fencing),
});

/** An upstream of a plain service. */
export const upstreamSchema = z.strictObject({ name: nameField, domain: nameField, address: addressField });

/** A route whose calls may not be repeated. */
export const routeSchema = z.strictObject({
  method: z.string().regex(/^(\*|[A-Z]+)$/, 'Expected an HTTP method in capitals, or "*"'),
  path: prefixField,
});

/** A plain service. */
export const serviceSchema = z.strictObject({
  name: nameField,
  prefix: prefixField,
  upstreams: z.array(upstreamSchema),
  nonIdempotent: z.array(routeSchema),
  timeoutMs: milliseconds,
});

/** A weight store. */
export const storeSchema = z.strictObject({
  name: nameField,
  address: addressField,
  loadsPerSecond: positive,
  concurrentLoads: count,
});

/** An adapter. */
export const adapterSchema = z.strictObject({
  name: nameField,
  model: nameField,
  versions: z.array(versionField).min(1),
  current: versionField,
  sizeMb: positive,
});

/** A family of adapters. */
export const familySchema = z.strictObject({
  name: nameField,
  pattern: patternField,
  model: nameField,
  versions: z.array(versionField).min(1),
  current: versionField,
  sizeMb: positive,
});

/** A caller. */
export const callerSchema = z.strictObject({
  name: nameField,
  keySha256: keyField,
  requestsPerSecond: positive,
  concurrency: count,
  weight: positive,
  priority,
});

/** The policy. */
export const policySchema = z.strictObject({
  stallWeight: share,
  maxLoadWaitMs: milliseconds,
  firstTokenMs: milliseconds,
  interTokenMs: milliseconds,
});

/** An event with its times in milliseconds since the epoch. */
export const eventSchema = z.strictObject({
  name: nameField,
  startMs: z.number().int(),
  endMs: z.number().int(),
  adapters: z.array(z.strictObject({ adapter: nameField, version: versionField.optional(), rps: positive })),
});
