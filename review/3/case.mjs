/** A stream without a length that is cut off at the end of the grace period looks complete to its client. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { StoreStandIn, putConfiguration, putReplica, startReplicaStandIn } from '../dist/standins.mjs';
import { formatRequest, HAS_TROUBLE, request, runCase, sleep, waitUntilReady } from '../lib.mjs';

const EVENTS = 57;
const GAP_MS = 220;
const DEADLINE_MS = 15_000;
const STREAMS = 3;
const SPREAD_MS = 100;

await runCase(dirname(fileURLToPath(import.meta.url)), async (run) => {
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1, DEADLINE_MS);
  /** A sound engine: its answer has neither a length nor chunks, and ends with its channel after the last event. */
  const llm = await startReplicaStandIn('i-llm', async ({ head, socket }) => {
    const id = /celeryyoke-request-id: (\S+)/i.exec(head)[1];
    run.record(`the engine runs ${id}`);
    socket.write(
      `HTTP/1.1 200 OK\r\nCeleryyoke-Request-Id: ${id}\r\nCeleryyoke-Response-Seal: seal-${id}\r\n` +
        'Content-Type: text/event-stream\r\n\r\n',
    );
    for (let event = 1; event <= EVENTS; event += 1) {
      if (socket.destroyed || !socket.writable) {
        run.record(`the engine's channel for ${id} was closed after event ${event - 1}`);
        return;
      }
      socket.write(`id: ${event}\ndata: t${event}\n\n`);
      await sleep(GAP_MS);
    }
    socket.end();
    run.record(`the engine has sent all ${EVENTS} events of ${id}`);
  });
  putReplica(store, llm, 'llm');
  const daemon = await run.startDaemon({ store: store.port });
  await waitUntilReady(daemon);
  await sleep(1500);

  const address = { host: daemon.host, port: daemon.front };
  const headers = 'Celeryyoke-Model: base/a7\r\nCeleryyoke-Token-Count: 10,57\r\n';
  const streams = [];
  for (let number = 1; number <= STREAMS; number += 1) {
    const id = `stream-${number}`;
    const text = formatRequest('/stream/1', { headers, id, deadlineMs: DEADLINE_MS });
    streams.push({ id, answer: request(address, text) });
    await sleep(SPREAD_MS);
  }
  await sleep(2000);
  if (HAS_TROUBLE) {
    run.record(`SIGTERM to ${daemon.name}`);
    daemon.child.kill('SIGTERM');
  }
  let truncated = 0;
  for (const { id, answer } of streams) {
    const { text, wasReset, tookMs } = await answer;
    const [head, body = ''] = text.split('\r\n\r\n');
    const events = [...body.matchAll(/^id: (\d+)$/gm)].length;
    // A client takes a stream without a length for whole when its channel ends in good order after an event.
    const looksWhole = head.startsWith('HTTP/1.1 200') && !wasReset && body.endsWith('\n\n');
    const hasFrame = /^(content-length|transfer-encoding):/im.test(head);
    run.record(
      `${id}: ${events} of ${EVENTS} events in ${tookMs} ms; reset: ${wasReset}; ` +
        `framed: ${hasFrame}; looks whole: ${looksWhole}`,
    );
    if (looksWhole && !hasFrame && events < EVENTS) truncated += 1;
  }
  return truncated > 0;
});
