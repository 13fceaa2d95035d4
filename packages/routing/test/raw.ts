/** Raw sockets for tests: a replica that responds with any bytes, and a caller that sends any bytes. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { PathCuts } from './path-cuts.js';

const LOOPBACK = '127.0.0.1';
const HEAD_END = '\r\n\r\n';

/** A request as it was received. */
export interface RawRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
}

/** A replica whose responses a test writes. */
export interface RawReplica {
  readonly port: number;
  /** Complete requests that were received. */
  readonly requests: RawRequest[];
  /** Number of connections that were opened. */
  readonly connections: () => number;
  /** Hosts that are cut off from it. */
  readonly cuts: PathCuts;
  /** Refuses new connections, and goes on with those that are open. */
  stopListening(): void;
  /** Closes all connections and refuses new ones, as the system does for a process that dies. */
  close(): Promise<void>;
}

/**
 * Returns the value of a header; undefined when it is missing.
 * @param head - Head of a request or response.
 * @param name - Name in lower case.
 */
export function headerValue(head: string, name: string): string | undefined {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(line.indexOf(':') + 1).trim();
}

const CHUNK_SIZE = /^([0-9a-f]+)\r\n/;
const LAST_CHUNK = '0\r\n\r\n';

/**
 * Decodes a response that comes in chunks.
 * @param text - All that was received on its connection.
 * @returns Its body; undefined unless it ends with the last chunk, and nothing follows.
 */
export function wholeBody(text: string): string | undefined {
  let body = '';
  let rest = text.slice(text.indexOf(HEAD_END) + HEAD_END.length);
  while (rest !== LAST_CHUNK) {
    const [line, digits = ''] = CHUNK_SIZE.exec(rest) ?? [];
    if (line === undefined) return undefined;
    const to = line.length + Number.parseInt(digits, 16);
    if (to === line.length || rest.slice(to, to + 2) !== '\r\n') return undefined;
    body += rest.slice(line.length, to);
    rest = rest.slice(to + 2);
  }
  return body;
}

/**
 * Splits the first request off the bytes received on a connection.
 * @returns The request and the bytes that follow it; undefined while it is incomplete.
 */
export function parseRequest(text: string): { head: string; body: string; rest: string } | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const length = Number(headerValue(head, 'content-length') ?? 0);
  const from = end + HEAD_END.length;
  if (text.length < from + length) return undefined;
  return { head, body: text.slice(from, from + length), rest: text.slice(from + length) };
}

/**
 * Starts a replica.
 * @param respond - Called with each request and its number, from 1 on; writes the response to its socket.
 */
export async function startRawReplica(
  respond: (req: RawRequest, number: number) => void,
): Promise<RawReplica> {
  const seen: RawRequest[] = [];
  const sockets = new Set<Socket>();
  const cuts = new PathCuts();
  let connections = 0;
  const server: Server = createServer((socket) => {
    connections += 1;
    if (!cuts.accept(socket)) return;
    sockets.add(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (let next = parseRequest(text); next !== undefined; next = parseRequest(text)) {
        text = next.rest;
        const req = { head: next.head, body: next.body, socket };
        seen.push(req);
        respond(req, seen.length);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    requests: seen,
    connections: () => connections,
    cuts,
    stopListening: () => {
      server.close();
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}

/** Loopback addresses of the two ends of a connection. */
export interface RawRoute {
  readonly from?: string;
  readonly host?: string;
}

/** Head of a request after whose response the other side closes the connection. */
const CONNECTION_CLOSE = /^connection: close\r$/im;
/** Time after which a connection that stays open is closed, in milliseconds. */
const KEEP_ALIVE_LIMIT_MS = 700;
/**
 * Time after which a requested close that has not come counts as a fault, in milliseconds. On a machine with
 * more busy processes than processors, the process of a test stalled for 0.7 to 2.2 s and missed a response
 * that came in time.
 */
const CLOSE_LIMIT_MS = 6000;

/**
 * Sends bytes on a new connection and collects the response until it closes or the timeout expires.
 * @param parts - What to send, in this order.
 * @param waitMs - Timeout, long when the last request asks for a close: then it expires only on a fault.
 * @param route - Loopback addresses to send from and to.
 * @returns The bytes received, and whether the other side closed the connection.
 */
export function sendRaw(
  port: number,
  parts: readonly string[],
  waitMs = CONNECTION_CLOSE.test(parts.at(-1) ?? '') ? CLOSE_LIMIT_MS : KEEP_ALIVE_LIMIT_MS,
  { from = LOOPBACK, host = LOOPBACK }: RawRoute = {},
): Promise<{ text: string; isClosed: boolean; wasReset: boolean }> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect({ port, host, localAddress: from });
    const finish = (isClosed: boolean, wasReset = false): void => {
      socket.destroy();
      resolve({ text, isClosed, wasReset });
    };
    const timer = setTimeout(() => finish(false), waitMs);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', (wasReset) => {
      clearTimeout(timer);
      finish(true, wasReset);
    });
    socket.on('connect', () => {
      for (const part of parts) socket.write(part, 'latin1');
    });
  });
}
