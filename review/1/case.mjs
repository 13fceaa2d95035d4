/** One answer whose body comes in small chunks without end exhausts the heap of a daemon, which ends by itself. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  StoreStandIn,
  putConfiguration,
  putReplica,
  respondComplete,
  startReplicaStandIn,
} from '../dist/standins.mjs';
import {
  formatRequest,
  HAS_TROUBLE,
  KeptChannel,
  request,
  runCase,
  sleep,
  waitUntilReady,
  writeForever,
} from '../lib.mjs';

/** `timeout_ms` of the routes, and the deadline of the clients. */
const DEADLINE_MS = 25_000;
const CLIENTS = 16;
/** Work of the plain replica on a client's first request, which makes its channel a kept one, and on the others. */
const FIRST_WORK_MS = 100;
const WORK_MS = 12_000;
const PLAY_MS = 30_000;
/** Channels that may be closed without an answer, by the rule. */
const ALLOWED = 3;
/** Bytes that are no answer: ten thousand chunks of one byte. */
const NOISE = Buffer.from('1\r\nx\r\n'.repeat(10_000));

await runCase(dirname(fileURLToPath(import.meta.url)), async (run) => {
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1, DEADLINE_MS);
  const llm = await startReplicaStandIn('i-llm', (req, number) => {
    run.record(`the engine gets request ${number}`);
    if (HAS_TROUBLE) {
      req.socket.write('HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n');
      writeForever(req.socket, NOISE);
    } else respondComplete(req, '500 Internal Server Error', 'failed');
  });
  putReplica(store, llm, 'llm');
  const passedOn = new Set();
  const web = await startReplicaStandIn('i-web', (req) => {
    const id = /celeryyoke-request-id: (\S+)/i.exec(req.head)[1];
    passedOn.add(id);
    setTimeout(() => respondComplete(req, '200 OK', 'paid'), id.endsWith('-1') ? FIRST_WORK_MS : WORK_MS);
  });
  putReplica(store, web, 'web');
  const daemon = await run.startDaemon({ store: store.port });
  await waitUntilReady(daemon);
  await sleep(1500);

  const answered = { whole: 0, failed: 0, closed: 0 };
  let hasEnded = false;
  /** A client of the plain service; its replica is sound. */
  const useChannel = async (client) => {
    await sleep((client / CLIENTS) * WORK_MS);
    const channel = new KeptChannel(daemon);
    for (let number = 1; !hasEnded && !channel.isClosed; number += 1) {
      const id = `unsafe-${client}-${number}`;
      const { status, isClosed } = await channel.send(
        formatRequest('/unsafe/1', { id, deadlineMs: DEADLINE_MS }),
      );
      const isLost = isClosed && number > 1 && passedOn.has(id);
      if (isLost) {
        answered.closed += 1;
        run.record(`${id}: it was passed on to its replica, and its kept channel closed without an answer`);
      } else answered[status === 200 ? 'whole' : 'failed'] += 1;
    }
    channel.close();
  };
  const clients = Array.from({ length: CLIENTS }, (_, client) => useChannel(client));
  const headers = 'Celeryyoke-Model: base/a7\r\nCeleryyoke-Token-Count: 10,50\r\nConnection: close\r\n';
  await sleep(WORK_MS + 1000);
  run.record('a client sends stream-1');
  const address = { host: daemon.host, port: daemon.front };
  const end = Date.now() + PLAY_MS;
  const stream = request(
    address,
    formatRequest('/stream/1', { headers, id: 'stream-1', deadlineMs: DEADLINE_MS }),
  );
  const { text, tookMs } = await stream;
  run.record(`stream-1: ${text.split('\r\n')[0] || 'no answer'} after ${tookMs} ms`);
  while (Date.now() < end && !daemon.started.hasEnded && HAS_TROUBLE) await sleep(50);
  if (!HAS_TROUBLE) await sleep(8000);
  hasEnded = true;
  await Promise.all(clients);
  run.record(`plain requests: ${JSON.stringify(answered)}`);
  for (const line of run.logOf(daemon).split('\n'))
    if (line.includes('FATAL ERROR')) run.record(`${daemon.name} says: ${line}`);
  return answered.closed > ALLOWED;
});
