/** Headers that concern one connection only, after RFC 9110, and are never passed on. */

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Tells whether a header concerns one connection only.
 * @param name - Name in lower case.
 * @param connection - Value of the `connection` header, which may name further ones.
 * @returns Whether it must not be passed on.
 */
export function isHopByHop(name: string, connection: string | undefined): boolean {
  if (HOP_BY_HOP.has(name)) return true;
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return false;
  return connection
    .toLowerCase()
    .split(',')
    .some((token) => token.trim() === name);
}
