/** Types of the packed form, in which a site's configuration is published. */
import type { SiteConfig } from '../model/types.js';

/** Version of the packed form and of the rules that judge it. */
export const PACKED_SCHEMA = 1;

/** Most bytes that a value of the configuration service may have. */
export const VALUE_LIMIT = 1_000_000;

/** A section of the packed form; all but the settings are lists that are split by hash of the name. */
export enum Section {
  Settings = 'settings',
  Engines = 'engines',
  Callers = 'callers',
  Events = 'events',
  Adapters = 'adapters',
}

/** Sections that are lists of named things. */
export type ListSection = Exclude<Section, Section.Settings>;

/** Digests of the parts of each section, in the order of the buckets. */
export type SectionDigests = Readonly<Record<Section, readonly string[]>>;

/** The root document: it names every part by its digest. */
export interface RootDocument {
  readonly schema: number;
  readonly site: string;
  readonly revision: number;
  /** Digest of the contents: schema, site and parts, without the revision. */
  readonly digest: string;
  readonly sections: SectionDigests;
}

/** A set of values as it is published. */
export interface PackedSite {
  readonly revision: number;
  readonly digest: string;
  /** Key of the root document; write it last. */
  readonly rootKey: string;
  /** The root document. */
  readonly root: string;
  /** Text of each part by its digest. */
  readonly parts: ReadonlyMap<string, string>;
  /** Every value by its key, the parts first and the root last. */
  readonly values: ReadonlyMap<string, string>;
}

/** A set that was taken in whole. */
export interface UnpackedSite {
  readonly revision: number;
  readonly digest: string;
  readonly config: SiteConfig;
}
