/**
 * Passes the bytes of a connection to the HTTP parser of Node.js in small pieces, in turn with other connections, and one
 * request after the other.
 *
 * The parser takes all that was read in one step, and the event loop reads one socket again and again while it has more: many
 * small requests or chunks on one connection would keep all others waiting.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';

import { ByteBuffer } from '@celeryyoke/core';

import { BlankLines } from './blank-lines.js';
import type { InputTurns, TurnTaker } from './input-turns.js';

/** Largest piece that is parsed in one step, in bytes; it ends at the end of a head. */
const PIECE_BYTES = 2048;
/** Largest piece of a body whose length is known, in bytes. */
const BODY_PIECE_BYTES = 65_536;
/**
 * Size up to which bytes are read that follow a request in progress, in bytes: as long as its connection is read, the daemon
 * hears that the caller leaves.
 */
const MAX_AHEAD_BYTES = 16_384;

type Listener = (chunk: Buffer) => void;

/** The bytes of one connection that were read and not parsed yet. */
export class PacedInput implements TurnTaker {
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

  /** The latest request. */
  private req: IncomingMessage | undefined;

  /** Number of responses that are not written. */
  private openResponses = 0;

  /** Number of bytes that the body of the latest request still takes, if it has stated its length. */
  private bodyLeft = 0;

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

  /** Holds what follows a request, once it is whole, until its response is written; called with its head. */
  follow(req: IncomingMessage, res: ServerResponse): void {
    this.req = req;
    this.openResponses += 1;
    const hasLength = req.headers['transfer-encoding'] === undefined;
    this.bodyLeft = hasLength ? Number(req.headers['content-length'] ?? 0) : 0;
    res.once('close', () => {
      this.openResponses -= 1;
      this.continue();
    });
  }

  /** Number of bytes that were read from the system and not parsed. */
  get unparsedBytes(): number {
    return this.heldBytes + this.socket.readableLength;
  }

  get heldBytes(): number {
    return (this.held?.length ?? 0) - this.parsed;
  }

  /** Whether what comes next is another request, before the response to the latest one is written. */
  private get isAhead(): boolean {
    return this.openResponses > 0 && this.req!.complete;
  }

  private get canParse(): boolean {
    const isOpen = !this.socket.destroyed && !this.socket.writableEnded;
    return isOpen && this.heldBytes > 0 && !this.isPaused && !this.isAhead;
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

  abort(): void {
    this.socket.destroy();
  }

  private parsePiece(): void {
    const { parsed } = this;
    const held = this.held!;
    this.parsed = this.endOfPiece(held, parsed);
    const piece = held.subarray(parsed, this.parsed);
    this.lines.pass(piece);
    this.parse(piece);
  }

  private endOfPiece(held: Buffer, parsed: number): number {
    if (this.bodyLeft === 0)
      return this.lines.endOfNext(held, parsed, Math.min(parsed + PIECE_BYTES, held.length));
    const length = Math.min(this.bodyLeft, BODY_PIECE_BYTES, held.length - parsed);
    this.bodyLeft -= length;
    return parsed + length;
  }

  private release(): void {
    this.held = undefined;
    this.joined = undefined;
    this.parsed = 0;
    this.heldSince = undefined;
    this.turns.cancel(this);
  }

  private updateReading(): void {
    const { heldBytes } = this;
    const isReading = heldBytes === 0 || (this.isReading && this.isAhead && heldBytes <= MAX_AHEAD_BYTES);
    if (this.isReading === isReading || this.socket.destroyed) return;
    this.isReading = isReading;
    if (isReading) Socket.prototype.resume.call(this.socket);
    else Socket.prototype.pause.call(this.socket);
  }
}
