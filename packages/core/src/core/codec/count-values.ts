/** Counts the values in MessagePack without decoding them. */

/** Returns the number of bytes behind the type byte of a value, without those of the values that it contains. */
type LengthReader = (view: DataView, at: number) => number;

const fixed =
  (bytes: number): LengthReader =>
  () =>
    bytes;
const counted8 =
  (header: number): LengthReader =>
  (view, at) =>
    header + view.getUint8(at);
const counted16 =
  (header: number): LengthReader =>
  (view, at) =>
    header + view.getUint16(at);
const counted32 =
  (header: number): LengthReader =>
  (view, at) =>
    header + view.getUint32(at);

const FIRST_FIXED_TEXT = 0xa0;
const FIRST_LISTED = 0xc0;
const FIRST_NEGATIVE = 0xe0;
/** Types from {@link FIRST_LISTED} to {@link FIRST_NEGATIVE}. */
const LENGTHS: readonly LengthReader[] = [
  // Nil, an unused type, false and true; binary; extensions.
  ...[fixed(0), fixed(0), fixed(0), fixed(0)],
  ...[counted8(1), counted16(2), counted32(4)],
  ...[counted8(2), counted16(3), counted32(5)],
  // Floats; unsigned and signed integers; extensions of a fixed length.
  ...[fixed(4), fixed(8)],
  ...[fixed(1), fixed(2), fixed(4), fixed(8)],
  ...[fixed(1), fixed(2), fixed(4), fixed(8)],
  ...[fixed(2), fixed(3), fixed(5), fixed(9), fixed(17)],
  // Text; arrays; maps.
  ...[counted8(1), counted16(2), counted32(4)],
  ...[fixed(2), fixed(4)],
  ...[fixed(2), fixed(4)],
];

function lengthOf(type: number, view: DataView, at: number): number {
  if (type >= FIRST_LISTED && type < FIRST_NEGATIVE) return LENGTHS[type - FIRST_LISTED]!(view, at);
  return type >= FIRST_FIXED_TEXT && type < FIRST_LISTED ? type - FIRST_FIXED_TEXT : 0;
}

/**
 * Counts the values in some bytes, those within arrays and maps included.
 * @param max - Count beyond which it stops.
 * @returns The count; more than `max` if there are more. Malformed bytes count up to where they end.
 */
export function countValues(bytes: Uint8Array, max: number): number {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
  let count = 0;
  try {
    for (let at = 0; at < bytes.length && count <= max; count += 1)
      at += 1 + lengthOf(view.getUint8(at), view, at + 1);
  } catch (err) {
    // The bytes end within a value, which their decoder reports.
    if (!(err instanceof RangeError)) throw err;
  }
  return count;
}
