/** Since when a caller's request can have been waiting, and whether its caller is still there. */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import { CallerConnections } from '../src/core/requests/caller-connection.js';

const PAUSE_MS = 900;

function fakeSocket(): Socket {
  return new EventEmitter() as Socket;
}

// Guards against a deadline that counts from the reading of a request after a pause of the event loop.
test('a request that is read after a pause can have arrived at its beginning', async (t) => {
  const timers = createManualTimers({ now: 1000 });
  const connections = new CallerConnections(timers);
  const kept = connections.accept(fakeSocket());
  await timers.advance(500);
  t.is(kept.earliestArrival(), 1500);
  timers.pause(PAUSE_MS);
  t.is(kept.earliestArrival(), 1500);
  await timers.advance(0);
  t.is(kept.earliestArrival(), 1500 + PAUSE_MS);
});

// Guards against many new connections in a late loop, of which each turn accepts one, that are taken for new.
test('a connection can have been waiting to be accepted since others have been', async (t) => {
  const timers = createManualTimers({ now: 1000 });
  const connections = new CallerConnections(timers);
  for (let turn = 0; turn < 3; turn += 1) {
    timers.pause(PAUSE_MS);
    t.is(connections.accept(fakeSocket()).earliestArrival(), 1000);
  }
  await timers.advance(PAUSE_MS);
  t.is(connections.accept(fakeSocket()).earliestArrival(), timers.now());
});

// Guards against a close that was read before the request was sent on.
test('the end of a caller’s side, or of its connection, is heard of once, also by who asks later', (t) => {
  for (const event of ['end', 'error', 'close']) {
    const socket = fakeSocket();
    const caller = new CallerConnections(createManualTimers()).accept(socket);
    const heard: string[] = [];
    caller.onLeave(() => heard.push('cancelled'))();
    caller.onLeave(() => heard.push('first'));
    socket.emit(event);
    socket.emit('close');
    caller.onLeave(() => heard.push('later'));
    t.deepEqual(heard, ['first', 'later']);
  }
});
