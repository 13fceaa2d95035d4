/** Reads small answers whole, within a time limit. */
import type { TimerService } from '@celeryyoke/core';
import { ByteBuffer, CeleryyokeError } from '@celeryyoke/core';
import type { Readable } from 'node:stream';

import type { ExchangeCall, Exchanger, HeaderMap } from './types.js';

const DEFAULT_LIMIT_BYTES = 8 * 1024 * 1024;

/** A small answer with its whole body. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** How a small answer is read. */
export interface ReadOptions {
  readonly timers: TimerService;
  readonly timeoutMs: number;
  /** Largest body in bytes; 8 MiB when left out. */
  readonly limitBytes?: number;
}

/**
 * Reads a body to its end.
 * @param body - The stream.
 * @param limitBytes - Largest size; a larger one rejects.
 * @returns All bytes.
 */
export async function readBody(body: Readable, limitBytes = DEFAULT_LIMIT_BYTES): Promise<Buffer> {
  const held = new ByteBuffer();
  for await (const chunk of body) {
    if (held.length + (chunk as Buffer).length > limitBytes)
      throw new CeleryyokeError('BodyTooLarge', { limit: limitBytes });
    held.append(chunk as Buffer);
  }
  return held.bytes;
}

/**
 * Sends a request and reads the whole answer.
 * @param exchanger - Connections to the upstream.
 * @param call - The request.
 * @param options - Time and size limits.
 * @returns The answer.
 * @throws CeleryyokeError as the exchanger does; passing the time limit counts as cancelling.
 */
export async function sendAndRead(
  exchanger: Exchanger,
  call: ExchangeCall,
  options: ReadOptions,
): Promise<WholeAnswer> {
  const controller = new AbortController();
  const stop = (): void => controller.abort(call.signal?.reason);
  const handle = options.timers.after(options.timeoutMs, () => {
    controller.abort(new Error(`No answer within ${options.timeoutMs} ms.`));
  });
  call.signal?.addEventListener('abort', stop, { once: true });
  if (call.signal?.aborted) stop();
  try {
    const { status, headers, body } = await exchanger.send({ ...call, signal: controller.signal });
    return { status, headers, body: await readBody(body, options.limitBytes) };
  } finally {
    handle.cancel();
    call.signal?.removeEventListener('abort', stop);
  }
}

/**
 * Reads one header.
 * @param headers - All headers.
 * @param name - Name in lower case.
 * @returns Its value, the first one when it came more than once, or undefined.
 */
export function headerOf(headers: HeaderMap, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
