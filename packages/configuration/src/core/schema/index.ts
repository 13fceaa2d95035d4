/** Schemas of documents and of the packed form. */
export { DEFAULTED_LISTS, DOCUMENT_SCHEMA, siteDocumentSchema } from './document.js';
export type { SiteDocument } from './document.js';
export { exportSchemas } from './export.js';
export type { JsonSchema, NamedSchema } from './export.js';
export { explainIssues } from './issues.js';
export type { PathProblem } from './issues.js';
export { LIST_SCHEMAS, rootSchema, settingsSchema } from './packed.js';
export type { SiteSettings } from './packed.js';
