/** A client of a daemon's operators' listener. */
import { CeleryyokeError } from '@celeryyoke/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

const HTTP_ERRORS_FROM = 400;

/** Error body of the operators' listener. */
interface ErrorBody {
  readonly message?: string;
}

async function send(
  daemon: string,
  method: Dispatcher.HttpMethod,
  path: string,
): Promise<Dispatcher.ResponseData> {
  try {
    return await request(new URL(path, daemon), { method });
  } catch (err) {
    throw new CeleryyokeError('DaemonUnreachable', { address: daemon }, { cause: err });
  }
}

async function refuse(answer: Dispatcher.ResponseData): Promise<never> {
  const text = await answer.body.text();
  let reason = text;
  try {
    reason = (JSON.parse(text) as ErrorBody).message ?? text;
  } catch {
    // The body is not JSON; its text is the reason.
  }
  throw new CeleryyokeError('CommandInvalid', { reason });
}

/**
 * Calls a daemon and reads the JSON answer.
 * @param daemon - Base URL of the operators' listener.
 * @param method - HTTP method.
 * @param path - Path with its query.
 * @returns The answer.
 * @throws CeleryyokeError DaemonUnreachable, or CommandInvalid with the daemon's reason.
 */
export async function callDaemon<T>(daemon: string, method: 'GET' | 'POST', path: string): Promise<T> {
  const answer = await send(daemon, method, path);
  if (answer.statusCode >= HTTP_ERRORS_FROM) return refuse(answer);
  return (await answer.body.json()) as T;
}

/**
 * Follows a stream of JSON lines.
 * @param daemon - Base URL of the operators' listener.
 * @param path - Path with its query.
 * @returns Each line's value.
 */
export async function* followDaemon<T>(daemon: string, path: string): AsyncGenerator<T> {
  const answer = await send(daemon, 'GET', path);
  if (answer.statusCode >= HTTP_ERRORS_FROM) await refuse(answer);
  let rest = '';
  for await (const chunk of answer.body) {
    rest += String(chunk);
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) yield JSON.parse(line) as T;
  }
}
