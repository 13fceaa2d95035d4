/** Checks of the head of a response that undici leaves out. */

/** HTTP status: the connection goes on with another protocol, which no request asks for. */
const SWITCHING_PROTOCOLS = 101;
const LAST_STATUS = 599;
/** Control characters other than a tab. */
const CONTROL_CHARACTER = /[^\t\P{Cc}]/u;

/**
 * Returns why a response must not be used; undefined if its head is sound.
 * @param reason - Text behind the status.
 */
export function findHeadFault(status: number, reason: string | undefined): string | undefined {
  if (status === SWITCHING_PROTOCOLS) return 'The replica switches to another protocol.';
  if (status > LAST_STATUS) return `The replica sent status ${status}, which HTTP does not define.`;
  if (CONTROL_CHARACTER.test(reason ?? '')) return 'The status line contains a control character.';
  return undefined;
}
