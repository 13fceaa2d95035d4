/** Seeded xxHash over text, the same on every daemon. */
import xxhash from 'xxhash-wasm';

const library = await xxhash();

/**
 * Hashes text to 32 bits.
 * @param text - What to hash.
 * @param seed - Keeps independent uses apart.
 * @returns An unsigned 32-bit integer.
 */
export function hash32(text: string, seed = 0): number {
  return library.h32(text, seed);
}

/**
 * Hashes text to 64 bits.
 * @param text - What to hash.
 * @param seed - Keeps independent uses apart.
 * @returns An unsigned 64-bit integer.
 */
export function hash64(text: string, seed = 0n): bigint {
  return library.h64(text, seed);
}

/**
 * Hashes text to a fixed-width name of its contents.
 * @param text - What to hash.
 * @returns Sixteen hexadecimal digits.
 */
export function hashText(text: string): string {
  return library.h64ToString(text);
}
