/**
 * Framing of messages between daemons: a header of four bytes, then MessagePack, compressed when it is large.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { ByteBuffer, countValues, decode, encode } from '@celeryyoke/core';

import { BufferBudget } from '../buffers/index.js';

const HEADER_BYTES = 4;
/** Bit of the header that is set when the body is compressed; the other bits are the length of the body. */
const COMPRESSED_FLAG = 0x8000_0000;
/**
 * Largest body in bytes, before and after compression; a whole view of 1,000 routes and 900 replicas is under
 * 1 MB.
 */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Most values in a body: they take many times the memory of their bytes. */
const MAX_VALUES = 500_000;
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
 * @param mayCompress - Whether it is compressed if it is large.
 */
export function encodeFrame(value: unknown, mayCompress = true): Buffer {
  const plain = encode(value);
  const isCompressed = mayCompress && plain.length >= MIN_COMPRESSED_BYTES;
  const body = isCompressed ? deflateRawSync(plain, COMPRESSION_OPTIONS) : plain;
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length + (isCompressed ? COMPRESSED_FLAG : 0), 0);
  frame.set(body, HEADER_BYTES);
  return frame;
}

function decodeFrame(frame: Buffer, maxBodyBytes: number): unknown {
  const isCompressed = frame.readUInt32BE(0) >= COMPRESSED_FLAG;
  const body = frame.subarray(HEADER_BYTES);
  const plain = isCompressed ? inflateRawSync(body, { maxOutputLength: maxBodyBytes }) : body;
  // A value takes a byte at least.
  if (plain.length > MAX_VALUES && countValues(plain, MAX_VALUES) > MAX_VALUES)
    throw new RangeError(`A frame with more than ${MAX_VALUES} values is too large.`);
  return decode(plain);
}

/**
 * Encodes a message that the listening side sends without a request.
 * @param body - Plain data.
 * @param mayCompress - Whether it is compressed if it is large.
 */
export function encodePush(body: unknown, mayCompress = true): Buffer {
  return encodeFrame([PUSH_ID, body], mayCompress);
}

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  /** Beginning of a frame that is not complete. */
  private readonly partial = new ByteBuffer();

  /** Memory that was taken from the budget, in bytes. */
  private taken = 0;

  /**
   * @param memory - Limits the memory of all frames that are not complete.
   * @param maxBodyBytes - Largest body, before and after compression; it may change between two frames.
   */
  constructor(
    private readonly memory = new BufferBudget(),
    public maxBodyBytes = MAX_BODY_BYTES,
  ) {}

  /**
   * Adds bytes to the stream.
   * @param chunk - Bytes as they were received.
   * @returns The values of the frames that are now complete.
   * @throws Error when a frame is too large or can't be decoded, or incomplete frames take too much memory; the stream
   *   can't be read any further then.
   */
  *read(chunk: Buffer): Generator {
    if (this.partial.length > 0) this.take(this.partial.capacityWith(chunk.length));
    const bytes = this.partial.join(chunk);
    let start = 0;
    for (let end = this.frameEnd(bytes, start); end !== undefined; end = this.frameEnd(bytes, start)) {
      yield decodeFrame(bytes.subarray(start, end), this.maxBodyBytes);
      start = end;
    }
    this.partial.keepRest(bytes, start);
    this.take(this.partial.capacity);
  }

  /** Gives back the memory of an incomplete frame; nothing can be read afterwards. */
  release(): void {
    this.partial.clear();
    this.take(0);
  }

  /** Takes memory in place of what was taken before. */
  private take(bytes: number): void {
    if (!this.memory.take(bytes - this.taken, bytes))
      throw new Error('The frames that are not complete take too much memory.');
    this.taken = bytes;
  }

  /**
   * Returns where a frame ends; undefined while it is not complete.
   * @throws RangeError when it is too large.
   */
  private frameEnd(bytes: Buffer, start: number): number | undefined {
    if (bytes.length - start < HEADER_BYTES) return undefined;
    const length = bodyLength(bytes.readUInt32BE(start));
    if (length > this.maxBodyBytes) throw new RangeError(`A frame of ${length} bytes is too large.`);
    const end = start + HEADER_BYTES + length;
    return end > bytes.length ? undefined : end;
  }
}

function bodyLength(header: number): number {
  return header >= COMPRESSED_FLAG ? header - COMPRESSED_FLAG : header;
}
