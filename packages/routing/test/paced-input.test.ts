/** Requests that are parsed in pieces, in turn with other connections. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';

import { createSilentLog, createSystemTimers } from '@celeryyoke/core';
import test from 'ava';
import fc from 'fast-check';

import { InputTurns, PacedInput } from '../src/core/input/index.js';

const REQUESTS = [
  ['GET /a HTTP/1.1\r\nHost: x\r\n\r\n', '/a '],
  ['\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nb\n\n\r\n\r\nb', '/b b\n\n\r\n\r\nb'],
  [
    'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n\r\n\n\r\n1\r\nc\r\n0\r\nt: 1\r\n\r\n',
    '/c \n\r\n\nc',
  ],
  [
    `POST /d HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 9000\r\n\r\n${'d'.repeat(9000)}`,
    `/d ${'d'.repeat(9000)}`,
  ],
] as const;

async function readText(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}

/** Starts a server that answers each request with its path and its body. */
async function startEcho(
  onRequest?: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<{ port: number; close: () => void }> {
  const turns = new InputTurns(createSystemTimers(), createSilentLog());
  const inputs = new Map<Socket, PacedInput>();
  const server = createServer((req, res) => {
    inputs.get(req.socket)?.follow(req, res);
    onRequest?.(req, res);
    void readText(req).then((text) => res.end(`${req.url} ${text}`));
  });
  server.on('connection', (socket: Socket) => {
    inputs.set(socket, new PacedInput(socket, turns, () => 0));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { port: (server.address() as AddressInfo).port, close: () => server.close() };
}

/** Writes parts one after the other, and returns all that is received until the connection closes. */
function exchange(port: number, parts: readonly string[]): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect({ port, host: '127.0.0.1', noDelay: true });
    const write = (index: number): void => {
      if (index < parts.length) socket.write(parts[index]!, () => setImmediate(write, index + 1));
    };
    write(0);
    socket.on('error', () => {
      // What was received by then is returned.
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('close', () => resolve(text));
  });
}

// Guards against requests that are lost, joined or changed by the places at which their bytes are cut.
test('requests on one connection are read alike however their bytes arrive', async (t) => {
  const { port, close } = await startEcho();
  t.teardown(close);
  const all = REQUESTS.map(([text]) => text).join('');
  const bodies = (text: string): string[] => text.match(/\/[a-d] [^/]*?(?=HTTP|$)/gs) ?? [];
  const whole = await exchange(port, [all]);
  t.deepEqual(
    bodies(whole),
    REQUESTS.map(([, body]) => body),
  );
  const cuts = fc.array(fc.integer({ min: 0, max: 250 }), { maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(cuts, async (places) => {
      const sorted = [0, ...places.sort((left, right) => left - right), all.length];
      const parts = sorted.slice(1).map((end, index) => all.slice(sorted[index], end));
      t.deepEqual(bodies(await exchange(port, parts)), bodies(whole));
    }),
    { numRuns: 60, seed: 1 },
  );
});

// Guards against requests that pile up in memory, as their callers send on and read no answer.
test('requests on one connection are taken one after the other', async (t) => {
  const open = new Set<ServerResponse>();
  let most = 0;
  const { port, close } = await startEcho((_req, res) => {
    open.add(res);
    most = Math.max(most, open.size);
    res.once('finish', () => open.delete(res));
  });
  t.teardown(close);
  const [[request], , , [last]] = REQUESTS;
  const text = await exchange(port, [request.repeat(5000), last]);
  t.is(text.match(/HTTP\/1.1 200/g)?.length, 5001);
  t.is(most, 1);
});

const CHUNK = `32\r\n${'c'.repeat(50)}\r\n`;
/** Callers inside the limits, many at once: what each sends, and the time that a request takes, in milliseconds. */
const CROWDS = {
  'bodies that are read with their heads, slow requests': [
    `POST /l HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 9000\r\n\r\n${'l'.repeat(9000)}`,
    3,
  ],
  'bodies in small chunks': [
    `POST /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK.repeat(6000)}0\r\n\r\n`,
    0,
  ],
} as const;

for (const [name, [text, requestMs]] of Object.entries(CROWDS))
  // Guards against callers inside the limits that are closed, as many of them need a further share at one time.
  test.serial(`many callers at once are all answered: ${name}`, async (t) => {
    const { port, close } = await startEcho(() => {
      const end = performance.now() + requestMs;
      while (performance.now() < end);
    });
    t.teardown(close);
    const answers = await Promise.all(Array.from({ length: 150 }, () => exchange(port, [text])));
    t.is(answers.filter((answer) => answer.startsWith('HTTP/1.1 200')).length, 150);
  });
