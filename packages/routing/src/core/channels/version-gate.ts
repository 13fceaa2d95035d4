/**
 * Ends a connection on a response of another HTTP version than 1.0 and 1.1.
 *
 * undici accepts 0.9 and 2.0 in a status line as well, and does not tell which version it was.
 */
import type { Socket } from 'node:net';

const VERSIONS: ReadonlySet<string> = new Set(['HTTP/1.0 ', 'HTTP/1.1 ']);
/** Length of a version and the blank behind it, in characters. */
const VERSION_LENGTH = 9;
/** First digit of the status of an interim response, which another response follows. */
const INTERIM = '1';
const HEAD_END = '\r\n\r\n';
const BLANK_LINES = /^[\r\n]+/;

/** Stands between a socket and a reader that calls `read`; reads the status lines of the responses to each request. */
export class VersionGate {
  /** What has arrived of a status line, up to the first digit of its status. */
  private line = '';

  /** Last bytes of the head of an interim response; undefined outside of one. */
  private interimTail: string | undefined;

  private isDone = true;

  constructor(socket: Socket) {
    const read = socket.read.bind(socket);
    const pass = (chunk: Buffer | null): Buffer | null => {
      if (chunk === null || this.accepts(chunk)) return chunk;
      socket.destroy(new Error('The replica responded with another HTTP version.'));
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
      if (this.line.length > VERSION_LENGTH && !this.finishLine()) return false;
    }
    return true;
  }

  /** Returns where the bytes go on that follow what was read. */
  private readLine(chunk: Buffer, offset: number): number {
    const end = Math.min(chunk.length, offset + VERSION_LENGTH + 1 - this.line.length);
    this.line = (this.line + chunk.toString('latin1', offset, end)).replace(BLANK_LINES, '');
    return end;
  }

  /** Returns whether the version is supported. */
  private finishLine(): boolean {
    const { line } = this;
    this.line = '';
    if (line[VERSION_LENGTH] === INTERIM) this.interimTail = '';
    else this.isDone = true;
    return VERSIONS.has(line.slice(0, VERSION_LENGTH));
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
