/** After the end of all daemons no interrupted stream goes on, though its replicas serve all the while. */
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  StoreStandIn,
  beginStream,
  endStream,
  putConfiguration,
  putReplica,
  sendChunk,
  startReplicaStandIn,
} from '../dist/standins.mjs';
import { formatRequest, HAS_TROUBLE, request, runCase, sleep, waitUntilReady } from '../lib.mjs';

const EVENTS = 57;
const GAP_MS = 220;
const DEADLINE_MS = 25_000;
const DAEMONS = 3;
const ENGINES = 4;
const STREAMS = 16;
const HEARTBEAT_MS = 1200;
const HISTORY_MS = 20_000;
const STABLE_WINDOW_MS = 3000;
const BROKEN_AFTER_MS = 2500;
const DOWN_MS = 1000;
/** Times after the break at which a client takes its stream up: two before the machines are in touch, three after. */
const TAKE_UPS_MS = [100, 2500, 6000, 8000, 10_000];
const NEW_STREAMS = 12;
const NEW_EVERY_MS = 500;
const MIN_TAKE_UPS = 12;
const HEADERS = 'Connection: close\r\nCeleryyoke-Model: base/a1\r\nCeleryyoke-Token-Count: 10,57\r\n';

const lastEventOf = (text) => Math.max(0, ...[...text.matchAll(/^id: (\d+)/gm)].map(([, id]) => Number(id)));

async function writeStream(req) {
  const { head, socket } = req;
  const last = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  beginStream(req);
  for (let event = last + 1; event <= EVENTS && !socket.destroyed; event += 1) {
    sendChunk(req, `id: ${event}\ndata: t${event}\n\n`);
    await sleep(GAP_MS);
  }
  if (!socket.destroyed) endStream(req);
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (run) => {
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1, DEADLINE_MS);
  const engines = [];
  for (let index = 0; index < ENGINES; index += 1)
    engines.push(await startReplicaStandIn(`i-llm-${index}`, writeStream));
  /** All engines run the same software version and write their entries; the store keeps 20 s of history. */
  const beat = () => {
    for (const engine of engines) putReplica(store, engine, 'llm');
    store.historyFrom = store.revisionAt(Date.now() - HISTORY_MS);
  };
  beat();
  setInterval(beat, HEARTBEAT_MS);
  const daemons = [];
  for (let index = 0; index < DAEMONS; index += 1) {
    const seeds = daemons.map(({ peer }) => peer);
    daemons.push(await run.startDaemon({ store: store.port, host: `127.0.0.${20 + index}`, seeds }));
  }
  await Promise.all(daemons.map(waitUntilReady));
  await sleep(HISTORY_MS + HEARTBEAT_MS);

  const daemonFor = (number) => daemons[number % DAEMONS];
  let startedAt = Number.NEGATIVE_INFINITY;
  let breakAt;
  const isInTouch = (sentAt) => sentAt - startedAt >= STABLE_WINDOW_MS;
  const sockets = new Set();
  /** A client that takes its stream up, each time at another daemon; whether it went on, where that was in touch. */
  const useStream = async (client) => {
    const deadlineAt = Date.now() + DEADLINE_MS;
    const firstId = `stream-${client}-0`;
    const { host, front } = daemonFor(client);
    const first = formatRequest('/resume/1', { id: firstId, headers: HEADERS, deadlineMs: DEADLINE_MS });
    const begun = await request({ host, port: front }, first, { onSocket: (socket) => sockets.add(socket) });
    let last = lastEventOf(begun.text);
    const result = { wasCounted: false, hasGoneOn: false };
    for (const [index, afterMs] of TAKE_UPS_MS.entries()) {
      await sleep(Math.max(0, breakAt + afterMs - Date.now()));
      const daemon = daemonFor(client + index + 1);
      const sentAt = Date.now();
      const headers = `${HEADERS}Last-Event-Id: ${last}\r\nResumes: ${firstId}\r\n`;
      const id = `stream-${client}-${index + 1}`;
      const text = formatRequest('/resume/1', { id, headers, deadlineMs: deadlineAt - sentAt });
      const answer = await request({ host: daemon.host, port: daemon.front }, text);
      const event = lastEventOf(answer.text);
      const hasGoneOn = event > last;
      const touch = isInTouch(sentAt) ? 'in touch' : 'not in touch';
      const status = answer.text.slice(9, 12) || 'no connection';
      run.record(`${id} after event ${last}, ${daemon.name} ${touch}: ${status}, goes on: ${hasGoneOn}`);
      result.wasCounted ||= isInTouch(sentAt);
      result.hasGoneOn ||= hasGoneOn;
      last = Math.max(last, event);
      if (hasGoneOn) break;
    }
    return result;
  };
  const beginNew = async (number) => {
    const { host, front } = daemonFor(number);
    const text = formatRequest('/resume/1', {
      id: `new-${number}`,
      headers: HEADERS,
      deadlineMs: DEADLINE_MS,
    });
    const answer = await request({ host, port: front }, text, { timeoutMs: 3000 });
    return lastEventOf(answer.text) > 0;
  };

  const streams = Array.from({ length: STREAMS }, (_, client) => useStream(client));
  await sleep(BROKEN_AFTER_MS);
  breakAt = Date.now();
  if (HAS_TROUBLE) {
    run.record('all daemons are killed');
    for (const { child } of daemons) child.kill('SIGKILL');
    await sleep(DOWN_MS);
    startedAt = Date.now();
    for (const daemon of daemons) {
      const settings = readFileSync(daemon.file, 'utf8');
      writeFileSync(daemon.file, settings.replace('bootstrap=true', 'bootstrap=false'));
      run.spawn(daemon);
    }
  } else {
    run.record('the clients lose their channels');
    for (const socket of sockets) socket.resetAndDestroy();
  }
  await sleep(Math.max(0, breakAt + 5000 - Date.now()));
  const begun = [];
  for (let number = 0; number < NEW_STREAMS; number += 1) {
    begun.push(beginNew(number));
    await sleep(NEW_EVERY_MS);
  }
  const results = await Promise.all(streams);
  const counted = results.filter(({ wasCounted }) => wasCounted);
  const goneOn = counted.filter(({ hasGoneOn }) => hasGoneOn).length;
  const newOnes = (await Promise.all(begun)).filter(Boolean).length;
  run.record(`streams taken up at machines in touch: ${counted.length}, of which ${goneOn} go on`);
  run.record(`new streams at that time: ${NEW_STREAMS}, of which ${newOnes} begin`);
  const shareOfNew = newOnes / NEW_STREAMS;
  return counted.length >= MIN_TAKE_UPS && goneOn / counted.length < shareOfNew / 2;
});
