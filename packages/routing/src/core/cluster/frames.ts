/** Frames of a connection between daemons: a header of four bytes, then MessagePack, compressed where it is large. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { decode, encode } from '@celeryyoke/core';

const HEADER_BYTES = 4;
/** Bit of the header that tells that the body is compressed; the others are its length. */
const COMPRESSED = 0x8000_0000;
/** Largest body in bytes, before and after compression; a whole view of 1,000 routes and 900 replicas is under 1 MB. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Size from which a body is compressed, in bytes: a configuration with many routes would fill the link of a small host. */
const COMPRESSED_FROM_BYTES = 4096;
/** The fastest level and a small window: names repeat within some hundred bytes. */
const COMPRESSION = { level: 1, windowBits: 13, memLevel: 6 };
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
  const plain = encode(value);
  const isLarge = plain.length >= COMPRESSED_FROM_BYTES;
  const body = isLarge ? deflateRawSync(plain, COMPRESSION) : plain;
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length + (isLarge ? COMPRESSED : 0), 0);
  frame.set(body, HEADER_BYTES);
  return frame;
}

function decodeBody(body: Buffer, isCompressed: boolean): unknown {
  return decode(isCompressed ? inflateRawSync(body, { maxOutputLength: MAX_BODY_BYTES }) : body);
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
   * @throws Error when a frame is too large or can't be decoded, which ends the link.
   */
  *take(chunk: Buffer): Generator {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    while (this.rest.length >= HEADER_BYTES) {
      const header = this.rest.readUInt32BE(0);
      const isCompressed = header >= COMPRESSED;
      const length = isCompressed ? header - COMPRESSED : header;
      if (length > MAX_BODY_BYTES) throw new RangeError(`A frame of ${length} bytes is too large.`);
      const end = HEADER_BYTES + length;
      if (this.rest.length < end) return;
      const value = decodeBody(this.rest.subarray(HEADER_BYTES, end), isCompressed);
      this.rest = this.rest.subarray(end);
      yield value;
    }
  }
}
