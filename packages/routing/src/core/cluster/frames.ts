/**
 * Framing of messages between daemons: a header of four bytes, then MessagePack, compressed when it is large.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { decode, encode } from '@celeryyoke/core';

const HEADER_BYTES = 4;
/** Bit of the header that is set when the body is compressed; the other bits are the length of the body. */
const COMPRESSED_FLAG = 0x8000_0000;
/**
 * Largest body in bytes, before and after compression; a whole view of 1,000 routes and 900 replicas is under
 * 1 MB.
 */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/**
 * Size from which a body is compressed, in bytes: a configuration with many routes would saturate the network
 * link of a small host.
 */
const MIN_COMPRESSED_BYTES = 4096;
/** Fastest level and a small window, which suffices as names repeat within some hundred bytes. */
const COMPRESSION_OPTIONS = { level: 1, windowBits: 13, memLevel: 6 };
/** Id of a message that responds to no request. */
export const PUSH_ID = -1;
/** Id of the response to a heartbeat. */
export const HEARTBEAT_ID = 0;

/**
 * Encodes a value as one frame.
 * @param value - Plain data.
 */
export function encodeFrame(value: unknown): Buffer {
  const plain = encode(value);
  const isLarge = plain.length >= MIN_COMPRESSED_BYTES;
  const body = isLarge ? deflateRawSync(plain, COMPRESSION_OPTIONS) : plain;
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length + (isLarge ? COMPRESSED_FLAG : 0), 0);
  frame.set(body, HEADER_BYTES);
  return frame;
}

function decodeBody(body: Buffer, isCompressed: boolean): unknown {
  return decode(isCompressed ? inflateRawSync(body, { maxOutputLength: MAX_BODY_BYTES }) : body);
}

/**
 * Encodes a message that the listening side sends without a request.
 * @param body - Plain data.
 */
export function encodePush(body: unknown): Buffer {
  return encodeFrame([PUSH_ID, body]);
}

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * Adds bytes to the stream.
   * @param chunk - Bytes as they were received.
   * @returns The values of the frames that are now complete.
   * @throws Error when a frame is too large or can't be decoded; the stream can't be read any further then.
   */
  *read(chunk: Buffer): Generator {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    while (this.buffered.length >= HEADER_BYTES) {
      const header = this.buffered.readUInt32BE(0);
      const isCompressed = header >= COMPRESSED_FLAG;
      const length = isCompressed ? header - COMPRESSED_FLAG : header;
      if (length > MAX_BODY_BYTES) throw new RangeError(`A frame of ${length} bytes is too large.`);
      const end = HEADER_BYTES + length;
      if (this.buffered.length < end) return;
      const value = decodeBody(this.buffered.subarray(HEADER_BYTES, end), isCompressed);
      this.buffered = this.buffered.subarray(end);
      yield value;
    }
  }
}
