/** Checks of the head of a response that undici leaves out. */
import type { HeaderMap } from './types.js';

/** The only transfer coding that undici decodes; it takes others for a body that ends with its connection, or for chunks. */
const CHUNKED = 'chunked';
/** Control characters other than a tab. */
const CONTROL_CHARACTER = /[^\t\P{Cc}]/u;

/**
 * Returns why a response must not be used; undefined if its head is sound.
 * @param reason - Text behind the status.
 */
export function findHeadFault(headers: HeaderMap, reason: string | undefined): string | undefined {
  if (CONTROL_CHARACTER.test(reason ?? '')) return 'The status line contains a control character.';
  if (!isCodingDecoded(headers)) return 'The body has a transfer coding that is not decoded.';
  return undefined;
}

function isCodingDecoded({ 'transfer-encoding': coding }: HeaderMap): boolean {
  return coding === undefined || (typeof coding === 'string' && coding.trim().toLowerCase() === CHUNKED);
}
