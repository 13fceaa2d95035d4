/** Clients that don't keep to the limits, for tests: crowds of one kind that connect again whenever they are closed. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import { writeForever } from '@celeryyoke/adapter/testing';

/** Largest body that the configuration of the tests allows, in bytes. */
export const MAX_BODY_BYTES = 1_000_000;
/** Path whose responses are large. */
export const LARGE_PATH = '/safe/large';
const CONNECTIONS = 60;
/** Time until a client that was closed connects again, in milliseconds. */
const RECONNECT_MS = 20;
/** Time between two pieces of a client that drips, in milliseconds. */
const DRIP_MS = 5;
/** Size of what is written in one step, in bytes. */
const BLOCK_BYTES = 256 * 1024;
const REQUESTS_AHEAD = 60;
const MANY_CHUNKED = 100;
const STAYING_SHARE = 0.9;
const SEVERAL = 15;

/** What one client does on a connection that is open; `round` counts its connections from 0. */
type ClientScript = (socket: Socket, round: number) => void;

/** A kind of client. */
export interface HostileKind {
  readonly connections: number;
  readonly play: ClientScript;
}

let lastId = 0;

function usualHeaders(): string {
  lastId += 1;
  return `Host: app.example\r\nCeleryyoke-Request-Id: h${lastId}\r\nCeleryyoke-Deadline-Remaining: 8000\r\n`;
}

const get = (path: string, headers = usualHeaders()): string => `GET ${path} HTTP/1.1\r\n${headers}\r\n`;
const post = (framing: string, headers = usualHeaders()): string =>
  `POST /unsafe/1 HTTP/1.1\r\n${headers}${framing}\r\n\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked';
const HOST_ONLY = 'Host: app.example\r\n';
const lengthOf = (bytes: number): string => `Content-Length: ${bytes}`;
const chunk = (size: number): string => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
const block = (text: string): Buffer => Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)));

const BYTE_CHUNK = chunk(1);
const BYTE_CHUNKS = block(BYTE_CHUNK);
const LARGE_CHUNK = chunk(65_536);
const BODY = Buffer.alloc(BLOCK_BYTES, 'x');
/** One-byte chunks to one byte before the limit. */
const BYTE_CHUNKS_TO_LIMIT = Buffer.from(BYTE_CHUNK.repeat(MAX_BODY_BYTES - 1));
/** Large chunks to one byte before the limit. */
const LARGE_CHUNKS_TO_LIMIT = Buffer.from(
  LARGE_CHUNK.repeat(Math.floor(MAX_BODY_BYTES / 65_536)) + chunk((MAX_BODY_BYTES % 65_536) - 1),
);

/** Sends a beginning, and then the same bytes until the connection closes; reads no answer. */
const floodUnread =
  (begin: () => string, bytes: Buffer): ClientScript =>
  (socket) => {
    socket.pause();
    socket.write(begin());
    writeForever({ socket }, bytes);
  };

/** The same, but reads the answers. */
const flood =
  (begin: () => string, bytes: Buffer): ClientScript =>
  (socket) => {
    socket.resume();
    socket.write(begin());
    writeForever({ socket }, bytes);
  };

/** Sends the same bytes again and again, a piece at a time. */
const drip =
  (begin: () => string, piece: string): ClientScript =>
  (socket) => {
    socket.resume();
    socket.write(begin());
    const timer = setInterval(() => socket.write(piece), DRIP_MS);
    socket.on('close', () => clearInterval(timer));
  };

/** Sends parts and stays open. */
const sendAndStay =
  (...parts: (() => string | Buffer)[]): ClientScript =>
  (socket) => {
    socket.resume();
    for (const part of parts) socket.write(part());
  };

/** Whole chunked requests, or requests that stop just short of the end of their bodies. */
const mostlyStaying: ClientScript = (socket, round) => {
  const isStaying = (socket.localPort ?? round) % 10 < STAYING_SHARE * 10;
  sendAndStay(
    () => post(CHUNKED),
    () => LARGE_CHUNKS_TO_LIMIT,
    () => (isStaying ? '' : '0\r\n\r\n'),
  )(socket, round);
};

/** Sends one byte and closes. */
const byteAndGo: ClientScript = (socket) => {
  socket.end('G');
  socket.resume();
};

const requestsAhead: ClientScript = (socket) => {
  socket.pause();
  for (let sent = 0; sent < REQUESTS_AHEAD; sent += 1) socket.write(get(LARGE_PATH));
};

const single = (play: ClientScript, connections = CONNECTIONS): HostileKind => ({ connections, play });
const nothing = (): string => '';

const KINDS = {
  'requests ahead without their usual headers, unread': single(
    floodUnread(nothing, block(get('/safe/1', HOST_ONLY))),
  ),
  'small chunked bodies ahead, unread': single(
    floodUnread(nothing, block(`${post(CHUNKED)}${chunk(5)}0\r\n\r\n`)),
  ),
  'requests ahead without a host, unread': single(floodUnread(nothing, block(get('/', '')))),
  'sixty requests ahead, large answers unread': single(requestsAhead),
  'one-byte chunks without end': single(flood(() => post(CHUNKED), BYTE_CHUNKS)),
  'one-byte chunks to the limit, staying': single(
    sendAndStay(
      () => post(CHUNKED),
      () => BYTE_CHUNKS_TO_LIMIT,
    ),
  ),
  'one-byte chunks that drip': single(drip(() => post(CHUNKED), BYTE_CHUNK.repeat(2000))),
  'one-byte chunks to the limit without the usual headers': single(
    sendAndStay(
      () => post(CHUNKED, HOST_ONLY),
      () => BYTE_CHUNKS_TO_LIMIT,
    ),
  ),
  'bodies far over the limit, announced': single(flood(() => post(lengthOf(1e12)), BODY)),
  'bodies far over the limit, just sent': single(flood(() => post(CHUNKED), block(LARGE_CHUNK))),
  'many chunked bodies, most just short of their end': single(mostlyStaying, MANY_CHUNKED),
  'one chunk without end': single(flood(() => `${post(CHUNKED)}fffffffffff\r\n`, BODY)),
  'chunk extensions without end': single(flood(() => `${post(CHUNKED)}1;`, block('a=b;'))),
  'trailers without end': single(flood(() => `${post(CHUNKED)}0\r\n`, block('a: b\r\n'))),
  'half heads': single(sendAndStay(() => `GET / HTTP/1.1\r\nX: ${'y'.repeat(15_500)}`)),
  'heads without end': single(flood(() => 'GET / HTTP/1.1\r\nX: ', BODY)),
  'streams that are not read': single((socket) => {
    socket.pause();
    socket.write(
      get('/stream/1', `${usualHeaders()}Celeryyoke-Model: base\r\nCeleryyoke-Token-Count: 10,5\r\n`),
    );
  }),
  'connections that send one byte and go': single(byteAndGo),
} as const satisfies Readonly<Record<string, HostileKind>>;

const scripts: readonly ClientScript[] = Object.values(KINDS).map(({ play }) => play);

/** All kinds of clients. */
export const HOSTILE_KINDS: Readonly<Record<string, HostileKind>> = {
  ...KINDS,
  'a crowd that changes its kind': single((socket, round) => {
    scripts[round % scripts.length]!(socket, round);
    const timer = setTimeout(() => socket.destroy(), 200);
    socket.on('close', () => clearTimeout(timer));
  }),
  'several kinds at once': single((socket, round) => {
    scripts[((socket.localPort ?? 0) + round) % scripts.length]!(socket, round);
  }, scripts.length * 5),
};

/** Kinds for listeners that are not for callers. */
export const OTHER_LISTENER_KINDS: Readonly<Record<string, HostileKind>> = {
  'requests ahead, unread': single(floodUnread(nothing, block(get('/v1/readiness')))),
  'one-byte chunks without end': KINDS['one-byte chunks without end'],
};

/** Connections that send nothing. */
export const IDLE_CONNECTIONS = single((socket) => {
  socket.resume();
}, 600);

/** Kept-alive connections on which ordinary requests follow one another, beside a crowd. */
export const ORDINARY: HostileKind = single((socket) => {
  socket.write(get('/safe/1'));
  socket.on('data', () => socket.write(get('/safe/1')));
}, SEVERAL);

/**
 * Lets a crowd play.
 * @returns Ends it, and closes all its connections.
 */
export function startCrowd(
  address: { host: string; port: number },
  { connections, play }: HostileKind,
): () => void {
  const open = new Set<Socket>();
  let hasEnded = false;
  const join = (round: number): void => {
    if (hasEnded) return;
    const socket = connect(address, () => play(socket, round));
    open.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      open.delete(socket);
      setTimeout(() => join(round + 1), RECONNECT_MS);
    });
  };
  for (let index = 0; index < connections; index += 1) join(0);
  return () => {
    hasEnded = true;
    for (const socket of open) socket.destroy();
  };
}
