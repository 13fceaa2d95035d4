/**
 * Ends a connection on a status line that is none of HTTP/1.0 or 1.1, before undici reads it.
 *
 * undici accepts other versions and all numbers, does not tell the version, and fails assertions on statuses below 100 and
 * on 101.
 */
import type { Socket } from 'node:net';

/** Version and status; 101 goes on with another protocol, which no request asks for. */
const STATUS_LINE = /^HTTP\/1\.[01] (?!101)[1-5]\d\d$/;
/** Length of a version, a blank and a status, in characters. */
const LINE_LENGTH = 12;
const STATUS_INDEX = 9;
/** First digit of the status of an interim response, which another response follows. */
const INTERIM = '1';
const HEAD_END = '\r\n\r\n';
const BLANK_LINES = /^[\r\n]+/;

/** Stands between a socket and a reader that calls `read`; reads the status lines of the responses to each request. */
export class StatusLineGate {
  /** What has arrived of a status line, up to its status. */
  private line = '';

  /** Last bytes of the head of an interim response; undefined outside of one. */
  private interimTail: string | undefined;

  private isDone = true;

  constructor(socket: Socket) {
    const read = socket.read.bind(socket);
    const pass = (chunk: Buffer | null): Buffer | null => {
      if (chunk === null || this.accepts(chunk)) return chunk;
      socket.destroy(new Error('The replica sent a status line that HTTP/1.1 does not define.'));
      return null;
    };
    Object.assign(socket, { read: (size?: number) => pass(read(size) as Buffer | null) });
  }

  /** Begins with the responses to another request. */
  begin(): void {
    this.line = '';
    this.interimTail = undefined;
    this.isDone = false;
  }

  private accepts(chunk: Buffer): boolean {
    let offset = 0;
    while (!this.isDone && offset < chunk.length) {
      offset = this.interimTail === undefined ? this.readLine(chunk, offset) : this.skipHead(chunk, offset);
      if (this.line.length === LINE_LENGTH && !this.finishLine()) return false;
    }
    return true;
  }

  /** Returns where the bytes go on that follow what was read. */
  private readLine(chunk: Buffer, offset: number): number {
    const end = Math.min(chunk.length, offset + LINE_LENGTH - this.line.length);
    this.line = (this.line + chunk.toString('latin1', offset, end)).replace(BLANK_LINES, '');
    return end;
  }

  /** Returns whether version and status are supported. */
  private finishLine(): boolean {
    const { line } = this;
    this.line = '';
    if (line[STATUS_INDEX] === INTERIM) this.interimTail = '';
    else this.isDone = true;
    return STATUS_LINE.test(line);
  }

  /** Returns where the bytes go on that follow the head of an interim response. */
  private skipHead(chunk: Buffer, offset: number): number {
    const tail = this.interimTail ?? '';
    const text = tail + chunk.toString('latin1', offset);
    const index = text.indexOf(HEAD_END);
    if (index < 0) {
      this.interimTail = text.slice(1 - HEAD_END.length);
      return chunk.length;
    }
    this.interimTail = undefined;
    return offset + index + HEAD_END.length - tail.length;
  }
}
