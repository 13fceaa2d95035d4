/** Documents are kept and sent compressed; at most a value's size comes out again. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { VALUE_LIMIT } from '@celeryyoke/configuration';

/** The fastest level; names and versions repeat, so that it is enough. */
const FAST = 1;

/**
 * Compresses a document.
 * @param text - The document.
 * @returns Its bytes.
 */
export function compress(text: string): Uint8Array {
  return deflateRawSync(text, { level: FAST });
}

/**
 * Takes a document out of its bytes.
 * @param bytes - What {@link compress} made.
 * @returns The document, or undefined when the bytes are none or hold too much.
 */
export function decompress(bytes: Uint8Array): string | undefined {
  try {
    return inflateRawSync(bytes, { maxOutputLength: VALUE_LIMIT }).toString('utf8');
  } catch {
    return undefined;
  }
}
