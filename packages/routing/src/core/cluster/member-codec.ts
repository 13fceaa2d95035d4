/**
 * Wire format of member records. Field names are left out, as the records of the whole fleet are sent to each
 * daemon that joins.
 */
import { parseSocketAddress } from '@celeryyoke/core';

import type { MemberRecord } from './types.js';
import { MemberState } from './types.js';

/** States by their number on the wire. */
const STATES: readonly MemberState[] = [
  MemberState.Alive,
  MemberState.Silent,
  MemberState.Leaving,
  MemberState.Ended,
];

/** A member record on the wire; the state is its index in {@link STATES}. */
export type MemberFrame = readonly [
  address: string,
  zone: string,
  incarnation: number,
  version: number,
  state: number,
];

export function encodeMember({ address, zone, incarnation, version, state }: MemberRecord): MemberFrame {
  return [address, zone, incarnation, version, STATES.indexOf(state)];
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/**
 * Decodes a record; a state that this release does not know counts as silent.
 * @throws TypeError if the record is malformed, or no connection to its address is possible.
 */
export function decodeMember([address, zone, incarnation, version, state]: MemberFrame): MemberRecord {
  if (typeof address !== 'string' || parseSocketAddress(address) === undefined)
    throw new TypeError(`The address of a member is malformed: ${String(address)}.`);
  if (typeof zone !== 'string' || !isCount(incarnation) || !isCount(version))
    throw new TypeError(`The record of member ${address} is malformed.`);
  return { address, zone, incarnation, version, state: STATES[state] ?? MemberState.Silent };
}
