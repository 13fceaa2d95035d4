/** Raw sockets for the tests: a replica that answers byte by byte as told, and a caller that sends what it likes. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

/** A request as it came. */
export interface RawRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
}

/** A replica that does as told. */
export interface RawReplica {
  readonly port: number;
  /** Whole requests that came. */
  readonly seen: RawRequest[];
  /** Connections that were opened. */
  readonly connections: () => number;
  close(): Promise<void>;
}

/**
 * Reads a header of a request.
 * @param head - The head.
 * @param name - Name in lower case.
 * @returns Its value, or undefined.
 */
export function headerIn(head: string, name: string): string | undefined {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(line.indexOf(':') + 1).trim();
}

/**
 * Takes the first whole request off the bytes of a connection.
 * @param text - The bytes.
 * @returns The request and what follows it; undefined while it is not whole.
 */
export function takeRequest(text: string): { head: string; body: string; rest: string } | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const length = Number(headerIn(head, 'content-length') ?? 0);
  const from = end + HEAD_END.length;
  if (text.length < from + length) return undefined;
  return { head, body: text.slice(from, from + length), rest: text.slice(from + length) };
}

/**
 * Starts a replica.
 * @param answer - Called with each request; writes to its socket.
 * @returns The replica.
 */
export async function startReplica(answer: (req: RawRequest, number: number) => void): Promise<RawReplica> {
  const seen: RawRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server: Server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let next = takeRequest(text); next !== undefined; next = takeRequest(text)) {
        text = next.rest;
        const req = { head: next.head, body: next.body, socket };
        seen.push(req);
        answer(req, seen.length);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    connections: () => connections,
    close: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

/** A request after which the other side closes the connection. */
const ASKS_FOR_THE_END = /^connection: close\r$/im;
/** Time after which a connection that stays open is left, in milliseconds. */
const OPEN_LIMIT_MS = 700;
/**
 * Time after which an end that was asked for counts as a fault, in milliseconds. On a machine with more busy processes than
 * processors a test's own process stood still for 0.7 to 2.2 s, and an answer that came in time was not seen.
 */
const FAULT_LIMIT_MS = 6000;

/**
 * Sends bytes and gathers all that comes back until the connection ends or time is over.
 * @param port - Where to.
 * @param parts - What to send, one after the other.
 * @param waitMs - Longest wait for the end; long when the last request asks for it, as then only a fault makes it wait.
 * @returns What came, and whether the other side closed.
 */
export function converse(
  port: number,
  parts: readonly string[],
  waitMs = ASKS_FOR_THE_END.test(parts.at(-1) ?? '') ? FAULT_LIMIT_MS : OPEN_LIMIT_MS,
): Promise<{ text: string; isClosed: boolean }> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    const finish = (isClosed: boolean): void => {
      socket.destroy();
      resolve({ text, isClosed });
    };
    const timer = setTimeout(() => finish(false), waitMs);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      finish(true);
    });
    socket.on('connect', () => {
      for (const part of parts) socket.write(part, 'latin1');
    });
  });
}
