/** Probes of listeners. */
import { createSystemTimers, ListenerState, probeListener } from '@celeryyoke/core';
import test from 'ava';

const TIMEOUT_MS = 500;

// Guards against a rejection that nobody handles, which ends the process, when a listed address is impossible.
test('a probe that can’t open a socket shows nothing of the listener', async (t) => {
  const timers = createSystemTimers();
  for (const target of [
    { host: '127.0.0.1', port: 65_536 },
    { host: '127.0.0.1', port: Number.NaN },
    { host: '127.0.0.1', port: 80, localAddress: 'no address' },
  ])
    t.is(await probeListener(target, timers, TIMEOUT_MS), ListenerState.Unknown);
});
