/** Negotiates the protocol version; both sides of the handshake apply the same rule. */
import { CeleryyokeError } from '@celeryyoke/core';

import type { PeerIdentity } from './types.js';

/** Protocol versions that one side supports. */
export interface ProtocolRange {
  readonly oldest: number;
  readonly newest: number;
}

/**
 * Agrees on the newest protocol version that both sides support.
 * @param own - Versions that this daemon supports.
 * @param peer - The other side; its protocol is the newest version that it supports.
 * @param oldest - Oldest version that the other side supports.
 * @throws CeleryyokeError PeerVersionWrong when the ranges don't overlap.
 */
export function agreeProtocol(own: ProtocolRange, peer: PeerIdentity, oldest: number): number {
  const agreed = Math.min(own.newest, peer.protocol);
  if (agreed >= Math.max(own.oldest, oldest)) return agreed;
  throw new CeleryyokeError('PeerVersionWrong', { peer: peer.name, version: peer.protocol });
}
