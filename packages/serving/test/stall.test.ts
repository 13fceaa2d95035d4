/** A server whose event loop was blocked; in a file of its own, as this stops every test of the process. */
import { once } from 'node:events';
import { connect } from 'node:net';

import test from 'ava';

import { PROMPT, startBed, STUDIO_KEY, whole } from './fakes.js';

const HEADERS_TIMEOUT_MS = 100;
const STALL_MS = 400;

/** Blocks the event loop, and so the server. */
function blockEventLoop(): void {
  const end = performance.now() + STALL_MS;
  while (performance.now() < end);
}

// Guards against a 408 for a request whose bytes arrived in time, while the process had no processor time.
test('a request that arrives while the event loop is blocked is served', async (t) => {
  const bed = await startBed({
    scripts: [(call) => whole(call, { choices: [] })],
    settings: { headersTimeoutMs: HEADERS_TIMEOUT_MS },
  });
  const socket = connect(Number(new URL(bed.url).port), '127.0.0.1');
  t.teardown(async () => {
    socket.destroy();
    await bed.server.close();
  });
  await once(socket, 'connect');
  const body = JSON.stringify(PROMPT);
  // Blocks at the end of an event loop iteration: the next one runs expired timers before it reads sockets.
  setImmediate(() => {
    socket.write(
      `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${STUDIO_KEY}\r\n` +
        `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    blockEventLoop();
  });
  const [answer] = (await once(socket, 'data')) as [Buffer];
  t.regex(String(answer), /^HTTP\/1.1 200 /);
});
