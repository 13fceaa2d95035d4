/** The compact form of a member's record: names are left out, as a whole fleet's records go to each new daemon. */
import type { MemberRecord } from './types.js';
import { MemberState } from './types.js';

const STATES: readonly MemberState[] = [
  MemberState.Alive,
  MemberState.Silent,
  MemberState.Leaving,
  MemberState.Ended,
];

/** A member's record between daemons; the state is its place in a fixed list. */
export type MemberFrame = readonly [
  address: string,
  zone: string,
  incarnation: number,
  version: number,
  state: number,
];

/**
 * Encodes a record.
 * @param record - The record.
 * @returns Its compact form.
 */
export function encodeMember({ address, zone, incarnation, version, state }: MemberRecord): MemberFrame {
  return [address, zone, incarnation, version, STATES.indexOf(state)];
}

/**
 * Decodes a record.
 * @param frame - Its compact form.
 * @returns The record.
 */
export function decodeMember([address, zone, incarnation, version, state]: MemberFrame): MemberRecord {
  return { address, zone, incarnation, version, state: STATES[state] ?? MemberState.Silent };
}
