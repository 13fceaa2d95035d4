/** Finds out whether an engine that broke an answer off has crashed, or only the link to it. */
import type { EngineClient } from '@celeryyoke/platform';

const REFUSED = 'ECONNREFUSED';
const DEEPEST_CAUSE = 5;

/**
 * Looks for a refused connection among the causes of an error: the host is there, the engine is not.
 * @param err - The error.
 * @returns Whether there is one.
 */
export function isRefused(err: unknown): boolean {
  let cause: unknown = err;
  for (let depth = 0; depth < DEEPEST_CAUSE && cause instanceof Error; depth += 1) {
    if ((cause as NodeJS.ErrnoException).code === REFUSED) return true;
    cause = cause.cause;
  }
  return false;
}

/** What became of an engine that broke an answer off. */
export enum EngineFate {
  /** It runs on as before; the link broke. */
  Alive = 'alive',
  /** It has restarted, or nothing listens where it was. */
  Crashed = 'crashed',
  /** It can't be asked. */
  Unknown = 'unknown',
}

/**
 * Asks an engine who it is now.
 * @param client - The engine's client.
 * @param incarnation - Its incarnation when it began the answer, if that is known.
 * @param timeoutMs - Longest time to ask, in milliseconds.
 * @returns What became of it.
 */
export async function askFate(
  client: EngineClient,
  incarnation: string | undefined,
  timeoutMs: number,
): Promise<EngineFate> {
  try {
    const report = await client.report(timeoutMs);
    if (incarnation === undefined) return EngineFate.Unknown;
    return report.incarnation === incarnation ? EngineFate.Alive : EngineFate.Crashed;
  } catch (err) {
    return isRefused(err) ? EngineFate.Crashed : EngineFate.Unknown;
  }
}
