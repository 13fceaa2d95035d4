/** Reads the whole body of a caller's request, so that the request can be retried where that is allowed. */
import type { IncomingMessage } from 'node:http';

import type { BudgetedBuffer } from '../buffers/index.js';
import { BufferLimit } from '../buffers/index.js';

/** Why a body was not read. */
export enum BodyProblem {
  TooLarge = 'tooLarge',
  /** All bodies that are held take too much memory. */
  NoMemory = 'noMemory',
  /** It was not whole when the daemon stopped passing requests on. */
  ShuttingDown = 'shuttingDown',
  /** The connection ended or failed before the whole body was received. */
  Broken = 'broken',
}

const LIMIT_PROBLEMS: Readonly<Record<BufferLimit, BodyProblem>> = {
  [BufferLimit.Size]: BodyProblem.TooLarge,
  [BufferLimit.Memory]: BodyProblem.NoMemory,
};

/**
 * Reads a body.
 * @param body - Holds what has been read, up to the largest size that is accepted.
 * @param onRefuse - Calls back when the request would not be passed on any more; returns how to take the call back.
 * @returns The bytes, undefined when the request has no body, or why it was not read.
 */
export function readCallerBody(
  req: IncomingMessage,
  body: BudgetedBuffer,
  onRefuse: (callback: () => void) => () => void,
): Promise<Buffer | undefined | BodyProblem> {
  const declared = Number(req.headers['content-length'] ?? Number.NaN);
  if (declared > body.maxBytes) return Promise.resolve(BodyProblem.TooLarge);
  const hasBody = declared > 0 || req.headers['transfer-encoding'] !== undefined;
  if (!hasBody) {
    req.resume();
    return Promise.resolve(undefined);
  }
  return new Promise((resolve) => {
    let hasEnded = false;
    let stopFollowing = (): void => undefined;
    const finish = (result: Buffer | BodyProblem): void => {
      hasEnded = true;
      stopFollowing();
      resolve(result);
    };
    stopFollowing = onRefuse(() => finish(BodyProblem.ShuttingDown));
    req.on('data', (chunk: Buffer) => {
      const limit = hasEnded ? undefined : body.append(chunk);
      if (limit !== undefined) finish(LIMIT_PROBLEMS[limit]);
    });
    req.on('end', () => finish(body.bytes));
    req.on('error', () => finish(BodyProblem.Broken));
    req.on('close', () => finish(BodyProblem.Broken));
  });
}
