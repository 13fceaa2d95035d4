/** Requests and migrated streams that are withheld, as their replica has declared something since it was chosen. */
import type { Choice, Need, ResponseSink, Route, UpstreamPath, UpstreamRequest } from '@celeryyoke/routing';
import { ChannelFailure, ExchangePurpose, PathKind } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry } from './fakes.js';
import { createChooser, ExecutionSite, ROUTE } from './repeats/execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 50 };
const RESUMABLE: Route = { ...ROUTE, isResumable: true, maxAttempts: 2 };

const CHUNKED = { 'transfer-encoding': 'chunked' };

/** An attempt as the pool gets it. */
interface Sent {
  readonly engine: string;
  readonly purpose: ExchangePurpose;
}

const chosen = (id: string): Choice => ({
  replica: engineEntry(id),
  residentVersion: 1,
  needsLoad: false,
  cost: 0,
});

/**
 * Creates a daemon before engines `e1`, `e2` and so on, chosen in this order.
 * @param respond - Plays an engine; returns whether the exchange is withheld.
 */
function createSite(respond: (sent: Sent, sink: ResponseSink) => boolean, isMigrated = false) {
  const sent: Sent[] = [];
  const unreachable: string[] = [];
  const ruledOut = new Set<string>();
  const noop = (): void => undefined;
  const choose = ({ tried }: Need): Choice | undefined => {
    const id = ['e1', 'e2', 'e3'].find((engine) => !tried.has(engine) && !ruledOut.has(engine));
    return id === undefined ? undefined : chosen(id);
  };
  let migrations = 0;
  const site = new ExecutionSite(BOUNDS, {
    chooser: createChooser(choose),
    sender: {
      choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
      send: (
        _path: UpstreamPath,
        { id }: { id: string },
        { call: { purpose } }: UpstreamRequest,
        sink: ResponseSink,
      ) => {
        queueMicrotask(() => {
          sent.push({ engine: id, purpose });
          if (!respond({ engine: id, purpose }, sink)) return;
          ruledOut.add(id);
          sink.onFail(ChannelFailure.Withheld, new Error('leaving'));
        });
        return { cancel: noop, mayHaveArrived: () => false };
      },
    },
    dialect: {
      upstreamHeaders: () => [],
      readResponse: () => ({
        requestId: 'r1',
        isSigned: true,
        isEncoded: false,
        isNotRun: false,
        isMisdirected: false,
      }),
    },
    migrator: {
      register: noop,
      complete: (_migration: unknown, wasCut: boolean) => {
        if (!wasCut || !isMigrated) return Promise.resolve(undefined);
        migrations += 1;
        return Promise.resolve(migrations === 1 ? { choice: chosen('e3'), continuation: 'e3/h' } : undefined);
      },
    },
    health: {
      recordSent: noop,
      recordBytes: noop,
      recordEnded: noop,
      recordOutcome: noop,
      recordUnreachable: (engine: string) => unreachable.push(engine),
    },
  });
  return { site, sent, unreachable };
}

function streamWhole(sink: ResponseSink): void {
  sink.onSent();
  sink.onHead(200, CHUNKED);
  sink.onData(Buffer.from('id: 1\ndata: a\n\n'));
  sink.onEnd();
}

function streamBroken(sink: ResponseSink): void {
  sink.onSent();
  sink.onHead(200, CHUNKED);
  sink.onData(Buffer.from('id: 1\ndata: a\n\n'));
  sink.onFail(ChannelFailure.Broken, new Error('reset'));
}

test('a request that is withheld goes to another engine, and its replica counts as healthy', async (t) => {
  const { site, sent, unreachable } = createSite(({ engine }, sink) => {
    if (engine === 'e1') return true;
    streamWhole(sink);
    return false;
  });
  const response = site.request();
  await site.timers.advance(50);
  t.is((await response).status, 200);
  t.deepEqual(
    sent.map(({ engine }) => engine),
    ['e1', 'e2'],
  );
  t.deepEqual(unreachable, []);
});

// Guards against a migrated stream that is sent, again and again, to an engine that takes nothing any more.
test('a migrated stream that is withheld is not started again on a route without retries', async (t) => {
  const { site, sent } = createSite(({ purpose }, sink) => {
    if (purpose === ExchangePurpose.Continuation) return true;
    streamBroken(sink);
    return false;
  }, true);
  const response = site.request();
  await site.timers.advance(50);
  t.false((await response).writableFinished);
  t.deepEqual(sent, [
    { engine: 'e1', purpose: ExchangePurpose.Request },
    { engine: 'e3', purpose: ExchangePurpose.Continuation },
  ]);
});

test('a migrated stream that is withheld resumes at another engine where its route allows that', async (t) => {
  const { site, sent } = createSite(({ engine, purpose }, sink) => {
    if (purpose === ExchangePurpose.Continuation) return true;
    if (engine === 'e1') streamBroken(sink);
    else {
      sink.onSent();
      sink.onHead(200, CHUNKED);
      sink.onData(Buffer.from('id: 2\ndata: b\n\n'));
      sink.onEnd();
    }
    return false;
  }, true);
  const response = site.request(RESUMABLE);
  await site.timers.advance(50);
  t.true((await response).writableFinished);
  t.deepEqual(
    sent.map(({ engine }) => engine),
    ['e1', 'e3', 'e2'],
  );
});
