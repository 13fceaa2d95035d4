/** Responses that count only if the incarnation of the replica that was meant has sent them. */
import type { ChannelFailure, ResponseSink } from '@celeryyoke/routing';
import { ProvedExchange } from '@celeryyoke/routing';
import test from 'ava';

function setUp() {
  const steps: string[] = [];
  const cancels: string[] = [];
  const sink: ResponseSink = {
    onSent: () => steps.push('sent'),
    onHead: (status) => steps.push(`head ${status}`),
    onData: (chunk) => steps.push(`data ${chunk.toString()}`),
    onEnd: () => steps.push('end'),
    onFail: (failure) => steps.push(`fail ${failure}`),
  };
  let prove!: (isProved: boolean | undefined) => void;
  let proof!: Promise<boolean | undefined>;
  const ask = (): Promise<boolean | undefined> => {
    proof = new Promise((resolve) => {
      prove = resolve;
    });
    return proof;
  };
  let inner!: ResponseSink;
  const exchange = new ProvedExchange(
    (target) => {
      inner = target;
      return {
        cancel: (reason) => cancels.push(reason),
        mayHaveArrived: () => true,
        pause: () => undefined,
        resume: () => undefined,
      };
    },
    ask,
    sink,
  );
  /** Answers the question for the proof; undefined if there is no word of the replica. */
  const settle = async (isProved: boolean | undefined): Promise<void> => {
    prove(isProved);
    await proof;
    await Promise.resolve();
  };
  return { steps, cancels, inner, exchange, settle };
}

test('a response is passed on in order once its sender is proved', async (t) => {
  const { steps, inner, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  inner.onData(Buffer.from('a'));
  t.deepEqual(steps, ['sent']);
  await settle(true);
  inner.onData(Buffer.from('b'));
  inner.onEnd();
  t.deepEqual(steps, ['sent', 'head 200', 'data a', 'data b', 'end']);
});

// Guards against events of a replica that has restarted under its id with another software version.
test('a response of another incarnation is dropped, and its run is cancelled', async (t) => {
  const { steps, cancels, inner, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  inner.onData(Buffer.from('a'));
  await settle(false);
  inner.onData(Buffer.from('b'));
  inner.onFail('cancelled' as ChannelFailure, new Error('cancelled'));
  t.deepEqual(steps, ['sent', 'fail broken']);
  t.is(cancels.length, 1);
});

test('a refusal needs no proof', (t) => {
  const { steps, inner } = setUp();
  inner.onSent();
  inner.onHead(503, {});
  inner.onEnd();
  t.deepEqual(steps, ['sent', 'head 503', 'end']);
});

test('what fails before the proof fails after it', async (t) => {
  const { steps, inner, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  inner.onFail('broken' as ChannelFailure, new Error('reset'));
  await settle(true);
  t.deepEqual(steps, ['sent', 'head 200', 'fail broken']);
});

test('a cancel before the proof ends the exchange, and nothing comes after it', async (t) => {
  const { steps, inner, exchange, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  exchange.cancel('caller left');
  inner.onFail('cancelled' as ChannelFailure, new Error('caller left'));
  await settle(false);
  t.deepEqual(steps, ['sent', 'fail cancelled']);
});

// Guards against answers that are dropped because their replica is stopped when it is asked for its start.
test('a response is held while there is no word of its replica, and passed on when there is', async (t) => {
  const { steps, cancels, inner, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  await settle(undefined);
  inner.onData(Buffer.from('a'));
  inner.onEnd();
  await settle(undefined);
  t.deepEqual([...steps, ...cancels], ['sent']);
  await settle(true);
  t.deepEqual(steps, ['sent', 'head 200', 'data a', 'end']);
});

test('a response that has failed is dropped when there is no word of its replica', async (t) => {
  const { steps, inner, settle } = setUp();
  inner.onSent();
  inner.onHead(200, {});
  inner.onFail('broken' as ChannelFailure, new Error('reset'));
  await settle(undefined);
  t.deepEqual(steps, ['sent', 'fail broken']);
});
