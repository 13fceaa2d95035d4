/**
 * Challenge-response proof of the shared key. Each side computes an HMAC over the facts of the handshake,
 * which include the nonces of both sides, so the key itself is never sent.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { encode } from '@celeryyoke/core';

const NONCE_BYTES = 32;

/**
 * The side that makes a proof. It is part of the proof, so that one side's proof can't be sent back as the
 * other's.
 */
export enum ProofSide {
  Dialler = 'dialler',
  Listener = 'listener',
}

/** Facts of one handshake that both sides know and that their proofs cover. */
export interface HandshakeFacts {
  readonly dialler: string;
  readonly diallerIncarnation: number;
  readonly diallerNonce: Uint8Array;
  readonly listener: string;
  readonly listenerIncarnation: number;
  readonly listenerNonce: Uint8Array;
  readonly protocol: number;
}

/** Creates a random challenge for one handshake. */
export function createNonce(): Uint8Array {
  return new Uint8Array(randomBytes(NONCE_BYTES));
}

/** Makes the proof that a side knows the key. */
export function prove(key: string, side: ProofSide, facts: HandshakeFacts): Uint8Array {
  const proven = [
    side,
    facts.protocol,
    facts.dialler,
    facts.diallerIncarnation,
    facts.diallerNonce,
    facts.listener,
    facts.listenerIncarnation,
    facts.listenerNonce,
  ];
  return new Uint8Array(createHmac('sha256', key).update(encode(proven)).digest());
}

/**
 * Finds the key that a proof was made with. Compares with every key, each in constant time.
 * @param side - The side that made the proof.
 * @returns The key, or undefined when none matches.
 */
export function findKeyOfProof(
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
