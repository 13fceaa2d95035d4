/** Records of what happens to the daemons of a soak, by which its checks excuse them. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import type { ProcessGroup, RunningProcess } from '../src/core/processes/index.js';
import { Daemons } from '../src/core/run/daemons.js';

/** A group of processes that end only when a test ends them. */
function fakeProcesses() {
  let end = (): void => undefined;
  const start = ({ name }: { readonly name: string }): RunningProcess => ({
    name,
    child: { kill: () => true } as unknown as RunningProcess['child'],
    ended: new Promise((resolve) => {
      end = resolve;
    }),
  });
  const processes = { start, isStopped: false } as unknown as ProcessGroup;
  return { processes, end: () => end() };
}

// Guards against daemons that outlive their run, disturb the next one, and keep the process of the tests alive.
test('a daemon is not started after the end of its run', (t) => {
  const { processes } = fakeProcesses();
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-daemons-'));
  const daemons = new Daemons({
    processes,
    program: 'p',
    dir,
    storePort: 1,
    count: 1,
    timers: createManualTimers(),
  });
  const [daemon] = daemons.addresses;
  processes.isStopped = true;
  daemons.start(daemon!, false);
  t.deepEqual(daemons.outages, []);
});

// Guards against a violation that is found for a daemon that passed on an answer while it shut down, and restarted.
test('a restart is recorded as well as the signal before it, and a first start is not', async (t) => {
  const timers = createManualTimers({ now: 0, wall: 0 });
  const { processes, end } = fakeProcesses();
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-daemons-'));
  const daemons = new Daemons({ processes, program: 'p', dir, storePort: 1, count: 1, timers });
  const [daemon] = daemons.addresses;
  daemons.start(daemon!, true);
  t.deepEqual(daemons.outages, []);
  await timers.advance(100);
  const ended = daemons.signal(daemon!, 'SIGTERM');
  await timers.advance(3000);
  end();
  await ended;
  await timers.advance(0);
  daemons.start(daemon!, false);
  t.deepEqual(daemons.outages, [
    { daemon: daemon!.name, at: 100 },
    { daemon: daemon!.name, at: 3100 },
  ]);
});
