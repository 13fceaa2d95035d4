/** Takes a published set whole or not at all. */
import { CeleryyokeError } from '@celeryyoke/core';
import type { z } from 'zod';

import { AdapterBucket, AdapterTable, bucketOf } from '../adapters/index.js';
import { checkSite } from '../checks/index.js';
import type { CallerConfig, EngineConfig, EventConfig, SiteConfig } from '../model/types.js';
import type { SiteSettings } from '../schema/index.js';
import { explainIssues, LIST_SCHEMAS, rootSchema, settingsSchema } from '../schema/index.js';
import { digestOf } from './canonical.js';
import { digestOfSections } from './pack.js';
import type { ListSection, RootDocument, UnpackedSite } from './types.js';
import { PACKED_SCHEMA, Section } from './types.js';

/** What a part of each section becomes. */
export interface DecodedSections {
  readonly [Section.Settings]: SiteSettings;
  readonly [Section.Engines]: readonly EngineConfig[];
  readonly [Section.Callers]: readonly CallerConfig[];
  readonly [Section.Events]: readonly EventConfig[];
  readonly [Section.Adapters]: AdapterBucket;
}

/** A part that a root document names. */
export interface PartRef<Name extends Section = Section> {
  readonly section: Name;
  /** Number of the part in its section. */
  readonly index: number;
  /** Parts of the section. */
  readonly count: number;
  readonly digest: string;
}

/** Gives the decoded part that a root document names. */
export type PartLookup = <Name extends Section>(ref: PartRef<Name>) => DecodedSections[Name];

function refuse(place: string, reason: string, cause?: unknown): CeleryyokeError {
  return new CeleryyokeError('ConfigInvalid', { place, reason }, { cause });
}

function parseJson(place: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw refuse(place, 'is not valid JSON', err);
  }
}

function checkVersion(place: string, value: unknown): void {
  const schema = typeof value === 'object' && value !== null && 'schema' in value ? value.schema : undefined;
  if (typeof schema === 'number' && schema !== PACKED_SCHEMA) {
    throw refuse(
      `${place}.schema`,
      `schema ${schema} is not known to this release, expected ${PACKED_SCHEMA}`,
    );
  }
}

function checkShape<Out>(place: string, schema: z.ZodType<Out>, value: unknown): Out {
  checkVersion(place, value);
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [problem] = explainIssues(schema, parsed.error);
  const steps = problem?.path.map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`)) ?? [];
  throw refuse(place + steps.join(''), problem?.reason ?? 'does not fit the schema');
}

/**
 * Reads the schema number of a root document, which tells whether this release can judge it.
 * @param text - The root document.
 * @returns The number, or undefined when there is none.
 */
export function peekSchema(text: string): number | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const schema =
      typeof value === 'object' && value !== null && 'schema' in value ? value.schema : undefined;
    return typeof schema === 'number' ? schema : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Reads a root document.
 * @param text - Its text.
 * @returns The document.
 * @throws CeleryyokeError ConfigInvalid with place and reason.
 */
export function decodeRoot(text: string): RootDocument {
  const root = checkShape('root', rootSchema, parseJson('root', text));
  const digest = digestOfSections(root.site, root.sections);
  if (digest !== root.digest) {
    throw refuse('root.digest', `is ${root.digest}, but the contents have ${digest}`);
  }
  return root;
}

/**
 * Lists the parts that a root document names.
 * @param root - The document.
 * @returns Every part once.
 */
export function partsOf(root: RootDocument): PartRef[] {
  return Object.values(Section).flatMap((section) =>
    root.sections[section].map((digest, index, all) => ({ section, index, count: all.length, digest })),
  );
}

function placeOfPart({ section, index }: PartRef): string {
  return `${section}[${index}]`;
}

/** Checks that names are sorted, stand once, and belong to the part. */
function checkNames(ref: PartRef, items: readonly { readonly name: string }[]): void {
  items.forEach(({ name }, position) => {
    const place = `${placeOfPart(ref)}.items[${position}]`;
    const before = items[position - 1]?.name;
    if (before === name) throw refuse(place, `name "${name}" stands twice`);
    if (before !== undefined && before > name) throw refuse(place, `name "${name}" is out of order`);
    if (bucketOf(name, ref.count) !== ref.index)
      throw refuse(place, `name "${name}" belongs to another part`);
  });
}

function decodeList<Name extends ListSection>(
  ref: PartRef<Name>,
  text: string,
): z.infer<(typeof LIST_SCHEMAS)[Name]>['items'] {
  const place = placeOfPart(ref);
  const schema: z.ZodType<{ items: { name: string }[] }> = LIST_SCHEMAS[ref.section];
  const { items } = checkShape(place, schema, parseJson(place, text));
  checkNames(ref, items);
  return items as z.infer<(typeof LIST_SCHEMAS)[Name]>['items'];
}

const DECODERS: {
  readonly [Name in Section]: (ref: PartRef<Name>, text: string) => DecodedSections[Name];
} = {
  [Section.Settings]: (ref, text) => {
    const place = placeOfPart(ref);
    return checkShape(place, settingsSchema, parseJson(place, text)).settings;
  },
  [Section.Engines]: (ref, text) => decodeList(ref, text),
  [Section.Callers]: (ref, text) => decodeList(ref, text),
  [Section.Events]: (ref, text) => decodeList(ref, text),
  [Section.Adapters]: (ref, text) => new AdapterBucket(decodeList(ref, text)),
};

/**
 * Reads a part.
 * @param ref - The part as the root document names it.
 * @param text - Its text.
 * @returns What the part holds.
 * @throws CeleryyokeError ConfigInvalid with place and reason.
 */
export function decodePart<Name extends Section>(ref: PartRef<Name>, text: string): DecodedSections[Name] {
  const digest = digestOf(text);
  if (digest !== ref.digest) {
    throw refuse(placeOfPart(ref), `has digest ${digest}, but the root document names ${ref.digest}`);
  }
  return DECODERS[ref.section](ref, text);
}

/**
 * Puts the parts of a set together and checks that they fit.
 * @param root - The root document.
 * @param lookUp - Gives each decoded part.
 * @returns The set.
 * @throws CeleryyokeError ConfigInvalid with place and reason.
 */
export function assembleSite(root: RootDocument, lookUp: PartLookup): UnpackedSite {
  function all<Name extends Section>(section: Name): DecodedSections[Name][] {
    const digests = root.sections[section];
    return digests.map((digest, index) => lookUp({ section, index, count: digests.length, digest }));
  }
  const [settings] = all(Section.Settings);
  const config: SiteConfig = {
    site: root.site,
    ...settings!,
    engines: all(Section.Engines).flat(),
    callers: all(Section.Callers).flat(),
    events: all(Section.Events).flat(),
    adapters: new AdapterTable(all(Section.Adapters)),
  };
  const [problem] = checkSite(config);
  if (problem !== undefined) throw refuse(problem.path.join('.'), problem.reason);
  return { revision: root.revision, digest: root.digest, config };
}

/**
 * Takes a set whole or not at all.
 * @param rootText - The root document.
 * @param parts - Texts of the parts by digest.
 * @returns The set.
 * @throws CeleryyokeError ConfigInvalid with place and reason.
 */
export function unpackSite(rootText: string, parts: ReadonlyMap<string, string>): UnpackedSite {
  const root = decodeRoot(rootText);
  return assembleSite(root, (ref) => {
    const text = parts.get(ref.digest);
    if (text === undefined) throw refuse(placeOfPart(ref), `part ${ref.digest} is missing`);
    return decodePart(ref, text);
  });
}
