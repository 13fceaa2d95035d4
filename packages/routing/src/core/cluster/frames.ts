/** Frames of a connection between daemons: a length of four bytes, then MessagePack. */
import { decode, encode } from '@celeryyoke/core';

const LENGTH_BYTES = 4;
/** Largest frame in bytes; a whole view of 1,000 routes and 900 replicas is under 1 MB. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Number of a message that answers no request. */
export const PUSH_NUMBER = -1;
/** Number of the answer to a heartbeat. */
export const HEARTBEAT_NUMBER = 0;

/**
 * Encodes a frame.
 * @param value - Plain data.
 * @returns The bytes with their length in front.
 */
export function encodeFrame(value: unknown): Buffer {
  const body = encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

/**
 * Encodes a message that the listening side sends without having been asked.
 * @param body - Plain data.
 * @returns The frame.
 */
export function encodePush(body: unknown): Buffer {
  return encodeFrame([PUSH_NUMBER, body]);
}

/** Cuts a byte stream into frames. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes in.
   * @param chunk - Bytes as they came.
   * @returns The values of the frames that are now complete.
   * @throws RangeError when a frame is too large, which ends the link.
   */
  *take(chunk: Buffer): Generator {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    while (this.rest.length >= LENGTH_BYTES) {
      const length = this.rest.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw new RangeError(`A frame of ${length} bytes is too large.`);
      const end = LENGTH_BYTES + length;
      if (this.rest.length < end) return;
      const value: unknown = decode(this.rest.subarray(LENGTH_BYTES, end));
      this.rest = this.rest.subarray(end);
      yield value;
    }
  }
}
