/**
 * Passes the bytes of a connection to the HTTP parser of Node.js in small pieces, in turn with other connections.
 *
 * The parser takes all that was read in one step, and the event loop reads one socket again and again while it has more: many
 * small requests or chunks on one connection would keep all others waiting.
 */
import { Socket } from 'node:net';

import { ByteBuffer } from '@celeryyoke/core';

import { BlankLines } from './blank-lines.js';
import type { InputTurns } from './input-turns.js';

/** Largest piece that is parsed in one step, in bytes; it ends at the end of a head. */
const PIECE_BYTES = 2048;

type Listener = (chunk: Buffer) => void;

/** The bytes of one connection that were read and not parsed yet. */
export class PacedInput {
  /** Earliest monotonic time at which the bytes held can have arrived, in milliseconds; undefined while none are. */
  heldSince: number | undefined;

  private held: Buffer | undefined;

  private joined: ByteBuffer | undefined;

  /** Number of bytes held that were parsed. */
  private parsed = 0;

  private readonly lines = new BlankLines();

  private readonly parse: Listener;

  /** Whether the server has paused the socket, as it has not taken what was parsed. */
  private isPaused = false;

  private isParsing = false;

  private isReading = true;

  /**
   * @param socket - A connection that an HTTP server has just accepted.
   * @param arrivedSince - Returns the earliest monotonic time at which what is read now can have arrived, in milliseconds.
   */
  constructor(
    private readonly socket: Socket,
    private readonly turns: InputTurns,
    private readonly arrivedSince: () => number,
  ) {
    const [parse] = socket.listeners('data');
    this.parse = parse as Listener;
    // With a listener of another, the parser does not read from the system by itself.
    socket.on('data', this.receive);
    socket.off('data', this.parse);
    socket.once('close', () => this.release());
    // The server pauses and resumes the parser's input, not the reading.
    Object.assign(socket, {
      pause: () => {
        this.isPaused = true;
        return socket;
      },
      resume: () => {
        this.isPaused = false;
        this.continue();
        return socket;
      },
    });
  }

  /** Number of bytes that were read from the system and not parsed. */
  get unparsedBytes(): number {
    return this.heldBytes + this.socket.readableLength;
  }

  private get heldBytes(): number {
    return (this.held?.length ?? 0) - this.parsed;
  }

  private get canParse(): boolean {
    return this.heldBytes > 0 && !this.isPaused && !this.socket.destroyed && !this.socket.writableEnded;
  }

  private readonly receive = (chunk: Buffer): void => {
    this.hold(chunk);
    this.continue();
    if (this.heldBytes > 0) this.heldSince ??= this.arrivedSince();
  };

  /** Holds a chunk behind what is held; only chunks that come meanwhile are copied. */
  private hold(chunk: Buffer): void {
    if (this.held === undefined) {
      this.held = chunk;
      return;
    }
    if (this.joined === undefined) {
      this.joined = new ByteBuffer();
      this.joined.append(this.held.subarray(this.parsed));
      this.parsed = 0;
    }
    this.joined.append(chunk);
    this.held = this.joined.bytes;
  }

  private continue(): void {
    if (this.isParsing) return;
    if (this.canParse) this.turns.request(this);
    this.updateReading();
  }

  /** Parses pieces until a monotonic time, in milliseconds; returns whether there is more to parse. */
  parseUntil(endAt: number): boolean {
    this.isParsing = true;
    try {
      while (this.canParse) {
        this.parsePiece();
        if (this.turns.now() >= endAt) break;
      }
    } finally {
      this.isParsing = false;
    }
    if (this.heldBytes === 0) this.release();
    this.updateReading();
    return this.canParse;
  }

  private parsePiece(): void {
    const { parsed } = this;
    const held = this.held!;
    this.parsed = this.lines.endOfNext(held, parsed, Math.min(parsed + PIECE_BYTES, held.length));
    const piece = held.subarray(parsed, this.parsed);
    this.lines.pass(piece);
    this.parse(piece);
  }

  private release(): void {
    this.held = undefined;
    this.joined = undefined;
    this.parsed = 0;
    this.heldSince = undefined;
    this.turns.cancel(this);
  }

  private updateReading(): void {
    const isReading = this.heldBytes === 0;
    if (this.isReading === isReading || this.socket.destroyed) return;
    this.isReading = isReading;
    if (isReading) Socket.prototype.resume.call(this.socket);
    else Socket.prototype.pause.call(this.socket);
  }
}
