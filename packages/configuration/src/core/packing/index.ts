/** The packed form, in which a site's configuration is published. */
export { canonicalJson, digestOf, DIGEST_LENGTH } from './canonical.js';
export { partKey, rootKey } from './keys.js';
export { digestOfSections, digestOfSite, packSite } from './pack.js';
export { PACKED_SCHEMA, Section, VALUE_LIMIT } from './types.js';
export type { ListSection, PackedSite, RootDocument, SectionDigests, UnpackedSite } from './types.js';
export { assembleSite, decodePart, decodeRoot, partsOf, peekSchema, unpackSite } from './unpack.js';
export type { DecodedSections, PartLookup, PartRef } from './unpack.js';
