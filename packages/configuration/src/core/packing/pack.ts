/** Splits a site's configuration into a root document and parts. */
import { CeleryyokeError } from '@celeryyoke/core';

import { bucketOf } from '../adapters/bucket.js';
import type { SiteConfig } from '../model/types.js';
import { canonicalJson, digestOf } from './canonical.js';
import { partKey, rootKey } from './keys.js';
import type { ListSection, PackedSite, RootDocument, SectionDigests } from './types.js';
import { PACKED_SCHEMA, Section, VALUE_LIMIT } from './types.js';

/** Bytes of a part beyond which its section is split further; a change moves one part. */
const PART_TARGET = 128 * 1024;

/** Most parts of one section. */
const MOST_PARTS = 4096;

interface Named {
  readonly name: string;
}

interface Item {
  readonly name: string;
  readonly text: string;
}

/** What the settings part holds. */
type Settings = Pick<SiteConfig, 'domains' | 'models' | 'stores' | 'services' | 'families' | 'policy'>;

function byName(left: Named, right: Named): number {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
}

function toSettings({ domains, models, stores, services, families = [], policy }: SiteConfig): Settings {
  return {
    domains: [...domains].sort(byName),
    models: [...models].sort(byName),
    stores: [...stores].sort(byName),
    services: [...services].sort(byName).map((service) => ({
      ...service,
      upstreams: [...service.upstreams].sort(byName),
    })),
    families: [...families].sort(byName),
    policy,
  };
}

function toItems(things: Iterable<Named>): Item[] {
  return Array.from(things, (thing) => ({ name: thing.name, text: canonicalJson(thing) })).sort(byName);
}

function writePart(section: ListSection, items: readonly Item[]): string {
  const texts = items.map(({ text }) => text).join(',');
  return `{"items":[${texts}],"schema":${PACKED_SCHEMA},"section":"${section}"}`;
}

function splitInto(items: readonly Item[], count: number): Item[][] {
  const buckets: Item[][] = Array.from({ length: count }, () => []);
  for (const item of items) buckets[bucketOf(item.name, count)]!.push(item);
  return buckets;
}

function writeList(section: ListSection, things: Iterable<Named>): string[] {
  const items = toItems(things);
  const bytes = items.reduce((sum, { text }) => sum + Buffer.byteLength(text) + 1, 0);
  let count = 1;
  while (count < MOST_PARTS && bytes / count > PART_TARGET) count *= 2;
  return splitInto(items, count).map((bucket) => writePart(section, bucket));
}

function checkSize(place: string, text: string): void {
  const bytes = Buffer.byteLength(text);
  if (bytes <= VALUE_LIMIT) return;
  throw new CeleryyokeError('ConfigInvalid', {
    place,
    reason: `is ${bytes} bytes, expected at most ${VALUE_LIMIT}`,
  });
}

/**
 * Works out the digest of a set's contents.
 * @param site - The site's name.
 * @param sections - Digests of all parts.
 * @param schema - Version of the packed form.
 * @returns The digest, which does not depend on the revision.
 */
export function digestOfSections(site: string, sections: SectionDigests, schema = PACKED_SCHEMA): string {
  return digestOf(canonicalJson({ schema, site, sections }));
}

/** All sections of a site as texts. */
function writeSections(config: SiteConfig): Record<Section, string[]> {
  const settings = canonicalJson({
    schema: PACKED_SCHEMA,
    section: Section.Settings,
    settings: toSettings(config),
  });
  return {
    [Section.Settings]: [settings],
    [Section.Engines]: writeList(Section.Engines, config.engines),
    [Section.Callers]: writeList(Section.Callers, config.callers),
    [Section.Events]: writeList(Section.Events, config.events),
    [Section.Adapters]: writeList(Section.Adapters, config.adapters),
  };
}

function digestsOf(sections: Record<Section, string[]>): SectionDigests {
  const entries = Object.entries(sections).map(([section, texts]) => [section, texts.map(digestOf)]);
  return Object.fromEntries(entries) as SectionDigests;
}

/**
 * Packs a site's configuration for the configuration service.
 * @param config - The effective configuration.
 * @param revision - Its revision; each published set has a greater one.
 * @returns The values to publish.
 * @throws CeleryyokeError ConfigInvalid when a value is too large.
 */
export function packSite(config: SiteConfig, revision: number): PackedSite {
  const texts = writeSections(config);
  const sections = digestsOf(texts);
  const digest = digestOfSections(config.site, sections);
  const document: RootDocument = { schema: PACKED_SCHEMA, site: config.site, revision, digest, sections };
  const root = canonicalJson(document);
  checkSize('root', root);
  const parts = new Map<string, string>();
  const values = new Map<string, string>();
  for (const section of Object.values(Section)) {
    texts[section].forEach((text, index) => {
      checkSize(`${section}[${index}]`, text);
      const partDigest = sections[section][index]!;
      parts.set(partDigest, text);
      values.set(partKey(config.site, partDigest), text);
    });
  }
  const key = rootKey(config.site);
  values.set(key, root);
  return { revision, digest, rootKey: key, root, parts, values };
}

/**
 * Works out the digest of a site's configuration.
 * @param config - The effective configuration.
 * @returns The digest that its packed form carries.
 */
export function digestOfSite(config: SiteConfig): string {
  return digestOfSections(config.site, digestsOf(writeSections(config)));
}
