/** Compact look-ups over very many adapters. */
export { AdapterBucket, bucketOf } from './bucket.js';
export { createAdapterCatalogue } from './catalogue.js';
export type { AdapterCatalogue } from './catalogue.js';
export { createFamilyIndex, memberName, parsePattern } from './family.js';
export type { FamilyIndex, NamePattern } from './family.js';
export { AdapterTable, createAdapterTable } from './table.js';
