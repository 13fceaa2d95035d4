/** Reads the whole body of a caller's request, so that the request can be retried where that is allowed. */
import type { IncomingMessage } from 'node:http';

/** Why a body was not read. */
export enum BodyProblem {
  TooLarge = 'tooLarge',
  /** The connection ended or failed before the whole body was received. */
  Broken = 'broken',
}

/**
 * Reads a body.
 * @param limitBytes - Largest size that is accepted.
 * @returns The bytes, undefined when the request has no body, or why it was not read.
 */
export function readCallerBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined | BodyProblem> {
  const declared = Number(req.headers['content-length'] ?? Number.NaN);
  if (declared > limitBytes) return Promise.resolve(BodyProblem.TooLarge);
  const hasBody = declared > 0 || req.headers['transfer-encoding'] !== undefined;
  if (!hasBody) {
    req.resume();
    return Promise.resolve(undefined);
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) resolve(BodyProblem.TooLarge);
      else chunks.push(chunk);
    });
    req.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, size)));
    req.on('error', () => resolve(BodyProblem.Broken));
    req.on('close', () => resolve(BodyProblem.Broken));
  });
}
