/** Proof of the shared key: each side answers the other's challenge, and the key never crosses the wire. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { encode } from '@celeryyoke/core';

const NONCE_BYTES = 32;

/** Which side proves; a proof of one side is worth nothing from the other. */
export enum ProofSide {
  Dialler = 'dialler',
  Listener = 'listener',
}

/** What both sides know of a handshake and bind their proofs to. */
export interface HandshakeFacts {
  readonly dialler: string;
  readonly diallerIncarnation: number;
  readonly diallerNonce: Uint8Array;
  readonly listener: string;
  readonly listenerIncarnation: number;
  readonly listenerNonce: Uint8Array;
  readonly protocol: number;
}

/**
 * Makes a challenge.
 * @returns Random bytes that are never used again.
 */
export function makeNonce(): Uint8Array {
  return new Uint8Array(randomBytes(NONCE_BYTES));
}

/**
 * Proves a key.
 * @param key - The shared key.
 * @param side - Who proves.
 * @param facts - The handshake.
 * @returns The proof.
 */
export function prove(key: string, side: ProofSide, facts: HandshakeFacts): Uint8Array {
  const bound = [
    side,
    facts.protocol,
    facts.dialler,
    facts.diallerIncarnation,
    facts.diallerNonce,
    facts.listener,
    facts.listenerIncarnation,
    facts.listenerNonce,
  ];
  return new Uint8Array(createHmac('sha256', key).update(encode(bound)).digest());
}

/**
 * Finds the key that a proof was made with.
 * @param keys - Keys that are valid now.
 * @param side - Who proved.
 * @param facts - The handshake.
 * @param proof - The proof.
 * @returns The key, or undefined when none fits; every key is tried, each in constant time.
 */
export function findProvedKey(
  keys: readonly string[],
  side: ProofSide,
  facts: HandshakeFacts,
  proof: Uint8Array,
): string | undefined {
  let found: string | undefined;
  for (const key of keys) {
    const expected = prove(key, side, facts);
    if (expected.length === proof.length && timingSafeEqual(expected, proof)) found = key;
  }
  return found;
}
