/** Exchanges that end before anything is sent. */
import type { ChannelFailure, ExchangeHandle, ResponseSink } from './types.js';

/** Fails an exchange without using a connection; the sink is called after the return, as for other failures. */
export function failLater(sink: ResponseSink, failure: ChannelFailure, reason: string): ExchangeHandle {
  let hasEnded = false;
  const fail = (text: string): void => {
    if (hasEnded) return;
    hasEnded = true;
    sink.onFail(failure, new Error(text));
  };
  queueMicrotask(() => fail(reason));
  const ignore = (): void => undefined;
  return { cancel: fail, mayHaveArrived: () => false, pause: ignore, resume: ignore };
}
