/** Reads the JSON body of a request within bounds of size and time. */
import type { IncomingMessage } from 'node:http';

import type { TimerService } from '@celeryyoke/core';
import { ByteBuffer, CeleryyokeError } from '@celeryyoke/core';

const JSON_TYPE = /^application\/(?:[\w.+-]+\+)?json\s*(?:;|$)/i;

/** Bounds of a body. */
export interface BodyLimits {
  readonly timers: TimerService;
  readonly maxBytes: number;
  /** Longest time for the whole body in milliseconds. */
  readonly timeoutMs: number;
  /** Gives up reading. */
  readonly signal: AbortSignal;
}

/** A JSON object whose members are not checked yet. */
export type JsonObject = Readonly<Record<string, unknown>>;

/**
 * Reads a whole body.
 * @param req - The request.
 * @param limits - Bounds of size and time.
 * @returns Its bytes.
 * @throws CeleryyokeError BodyTooLarge, RequestTimeout or RequestInvalid.
 */
export function readBody(req: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new ByteBuffer();
    const timer = limits.timers.after(limits.timeoutMs, () => {
      fail(new CeleryyokeError('RequestTimeout'));
    });
    const onAbort = (): void => fail(limits.signal.reason);
    const onData = (chunk: Buffer): void => {
      if (body.length + chunk.length > limits.maxBytes)
        fail(new CeleryyokeError('BodyTooLarge', { limit: limits.maxBytes }));
      else body.append(chunk);
    };
    const onEnd = (): void => {
      stop();
      resolve(body.bytes);
    };
    const onError = (err: Error): void => {
      fail(new CeleryyokeError('RequestInvalid', { reason: 'the body was cut off' }, { cause: err }));
    };
    function stop(): void {
      timer.cancel();
      limits.signal.removeEventListener('abort', onAbort);
      req.off('data', onData).off('end', onEnd);
    }
    function fail(reason: unknown): void {
      stop();
      reject(reason);
    }
    limits.signal.addEventListener('abort', onAbort, { once: true });
    req.on('data', onData).on('end', onEnd).on('error', onError);
    if (limits.signal.aborted) onAbort();
  });
}

function parse(bytes: Buffer): JsonObject {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch (err) {
    throw new CeleryyokeError('RequestInvalid', { reason: 'the body is not JSON' }, { cause: err });
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new CeleryyokeError('RequestInvalid', { reason: 'the body is not a JSON object' });
  }
  return value as JsonObject;
}

/**
 * Reads a JSON object.
 * @param req - The request.
 * @param limits - Bounds of size and time.
 * @returns The object.
 * @throws CeleryyokeError ContentTypeWrong, BodyTooLarge, RequestTimeout or RequestInvalid.
 */
export async function readJsonBody(req: IncomingMessage, limits: BodyLimits): Promise<JsonObject> {
  const type = req.headers['content-type'] ?? '';
  if (!JSON_TYPE.test(type)) throw new CeleryyokeError('ContentTypeWrong', { type });
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > limits.maxBytes) throw new CeleryyokeError('BodyTooLarge', { limit: limits.maxBytes });
  return parse(await readBody(req, limits));
}
