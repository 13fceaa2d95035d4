/** The compact codec of messages between daemons: MessagePack. */
import { Packr } from 'msgpackr';

/** Plain MessagePack without per-stream state, so that each message stands alone. */
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes a value.
 * @param value - Plain data.
 * @returns Its bytes; a copy that the next call does not overwrite.
 */
export function encode(value: unknown): Uint8Array<ArrayBuffer> {
  return new Uint8Array(packr.pack(value));
}

/**
 * Decodes bytes.
 * @param bytes - What {@link encode} made.
 * @returns The value.
 */
export function decode(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}

/** The codec in the shape that tRPC takes. */
export const WIRE_CODEC = {
  encode,
  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data === 'string') throw new TypeError('A text frame came where a binary one is due.');
    return decode(data instanceof Uint8Array ? data : new Uint8Array(data));
  },
};
