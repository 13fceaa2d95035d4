/** Reads the whole body of a caller's request, so that the request can be retried where that is allowed. */
import type { IncomingMessage } from 'node:http';

import type { BudgetedBuffer } from '../buffers/index.js';
import { BufferLimit } from '../buffers/index.js';

/** Why a body was not read. */
export enum BodyProblem {
  TooLarge = 'tooLarge',
  /** All bodies that are held take too much memory. */
  NoMemory = 'noMemory',
  /** The connection ended or failed before the whole body was received. */
  Broken = 'broken',
}

const LIMIT_PROBLEMS: Readonly<Record<BufferLimit, BodyProblem>> = {
  [BufferLimit.Size]: BodyProblem.TooLarge,
  [BufferLimit.Memory]: BodyProblem.NoMemory,
};

/**
 * Reads a body.
 * @param limitBytes - Largest size that is accepted.
 * @param body - Holds what has been read.
 * @returns The bytes, undefined when the request has no body, or why it was not read.
 */
export function readCallerBody(
  req: IncomingMessage,
  limitBytes: number,
  body: BudgetedBuffer,
): Promise<Buffer | undefined | BodyProblem> {
  const declared = Number(req.headers['content-length'] ?? Number.NaN);
  if (declared > limitBytes) return Promise.resolve(BodyProblem.TooLarge);
  const hasBody = declared > 0 || req.headers['transfer-encoding'] !== undefined;
  if (!hasBody) {
    req.resume();
    return Promise.resolve(undefined);
  }
  return new Promise((resolve) => {
    let problem: BodyProblem | undefined;
    req.on('data', (chunk: Buffer) => {
      if (problem !== undefined) return;
      const limit = body.append(chunk);
      if (limit === undefined) return;
      problem = LIMIT_PROBLEMS[limit];
      body.release();
      resolve(problem);
    });
    req.on('end', () => resolve(body.bytes));
    req.on('error', () => resolve(BodyProblem.Broken));
    req.on('close', () => resolve(BodyProblem.Broken));
  });
}
