import { createManualTimers, createSilentLog } from '@celeryyoke/core';
import test from 'ava';
import { v7 } from 'uuid';

import type { KeyLedger, MemoryPeerNet } from '../src/index.js';
import { createComputedCustody, createKeyLedger, createMemoryPeerNet, KeyOutcome } from '../src/index.js';
import { createManualMembership } from './support/fleet.js';

const NAMES = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7'];
const never = new AbortController().signal;
const log = createSilentLog();

interface SmallFleet {
  readonly net: MemoryPeerNet;
  readonly timers: ReturnType<typeof createManualTimers>;
  readonly ledgers: readonly KeyLedger[];
  makeKey(ageMs?: number): string;
}

/** Seven daemons that agree on the list, some time after their start. */
async function startFleet(maxRecords = 1000): Promise<SmallFleet> {
  const timers = createManualTimers();
  const net = createMemoryPeerNet();
  const ledgers = NAMES.map((name) => {
    const bus = net.join({ name });
    const membership = createManualMembership(NAMES);
    const custody = createComputedCustody({ bus, membership, timers, log });
    return createKeyLedger({ bus, custody, timers, log, maxRecords });
  });
  await timers.advance(60_000);
  const makeKey = (ageMs = 0): string => `caller/${v7({ msecs: timers.wall() - ageMs })}`;
  return { net, timers, ledgers, makeKey };
}

async function outcomes(sends: readonly Promise<unknown>[]): Promise<string[]> {
  const results = await Promise.allSettled(sends);
  return results.map((result) => (result.status === 'fulfilled' ? 'run' : (result.reason as Error).name));
}

test('a key sent at once through all seven daemons runs once', async (t) => {
  const { ledgers, makeKey } = await startFleet();
  const key = makeKey();
  const results = await outcomes(ledgers.map((ledger) => ledger.admit(key, 'f', never)));
  t.is(results.filter((result) => result === 'run').length, 1);
});

test('a key that was settled as not run may be tried again, and one that ran may not', async (t) => {
  const { ledgers, makeKey } = await startFleet();
  const key = makeKey();
  const first = await ledgers[0]!.admit(key, 'f', never);
  await first.settle(KeyOutcome.NotRun);
  const second = await ledgers[1]!.admit(key, 'f', never);
  await second.settle(KeyOutcome.Done);
  await t.throwsAsync(ledgers[2]!.admit(key, 'f', never), { name: 'KeyAlreadyRan' });
  await t.throwsAsync(ledgers[3]!.admit(key, 'other', never), { name: 'KeyReused' });
});

test('keys that are no UUIDv7, too old, older than the knowledge or from the future are refused', async (t) => {
  const { ledgers, makeKey } = await startFleet();
  const refusals = ['no-key', makeKey(1_000_000), makeKey(59_000), makeKey(-60_000)].map((key) =>
    ledgers[0]!.admit(key, 'f', never),
  );
  const expected = ['KeyRequired', 'KeyExpired', 'KeyOutcomeUnknown', 'KeyFromFuture'];
  t.deepEqual(await outcomes(refusals), expected);
});

test('without its backup a home admits nothing, and the key can be tried again later', async (t) => {
  const { net, ledgers, makeKey } = await startFleet();
  const key = makeKey();
  for (const from of NAMES) for (const to of NAMES) if (from !== to) net.blockDirection(from, to);
  const alone = await outcomes(ledgers.map((ledger) => ledger.admit(key, 'f', never)));
  t.deepEqual([...new Set(alone)], ['KeyUnproved']);
  net.unblockDirection();
  await t.notThrowsAsync(ledgers[0]!.admit(key, 'f', never));
});

test('records are bounded, refused beyond the bound as not run, and forgotten after the retention', async (t) => {
  const { ledgers, makeKey, timers } = await startFleet(3);
  const sends = Array.from({ length: 40 }, () => ledgers[0]!.admit(makeKey(), 'f', never));
  const results = await outcomes(sends);
  t.true(results.includes('Overloaded'));
  t.true(ledgers.every((ledger) => ledger.size() <= 3));
  await timers.advance(920_000);
  t.true(ledgers.every((ledger) => ledger.size() === 0));
});
