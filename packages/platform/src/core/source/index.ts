/** The configuration service. */
export { createHttpConfigSource } from './client.js';
export type { HttpConfigSourceOptions } from './client.js';
export type { ConfigSource, ConfigValue } from './types.js';
