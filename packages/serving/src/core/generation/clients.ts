/** Keeps one client for each engine's address, and what the engines last said of themselves. */
import type { EngineConfig } from '@celeryyoke/configuration';
import type { EngineClient, EngineClientFactory } from '@celeryyoke/platform';
import { INCARNATION_HEADER } from '@celeryyoke/platform';

/** Longest time to ask an engine for its incarnation, in milliseconds. */
const REPORT_TIMEOUT_MS = 1000;

/** An engine's client with the incarnation that it was seen in last. */
export interface KnownEngine {
  readonly client: EngineClient;
  incarnation: string | undefined;
  /** What it said of itself when it was first needed; undefined when it said nothing in time. */
  readonly introduction: Promise<string | undefined>;
}

async function introduce(client: EngineClient): Promise<string | undefined> {
  const report = await client.report(REPORT_TIMEOUT_MS).catch(() => undefined);
  return report?.incarnation;
}

/** Clients of engines, made when they are first needed. */
export class EngineClients {
  private readonly known = new Map<string, KnownEngine>();

  /**
   * Makes an empty set.
   * @param factory - Makes a client.
   */
  constructor(private readonly factory: EngineClientFactory) {}

  /**
   * Finds or makes the client of an engine; an engine that has moved gets a new one.
   * @param engine - The engine.
   * @returns Its client and incarnation.
   */
  get(engine: EngineConfig): KnownEngine {
    const key = `${engine.name} ${engine.address}`;
    let known = this.known.get(key);
    if (known === undefined) {
      const client = this.factory(engine.name, engine.address);
      // Asked at once, so that a crash during the first request to it can be told.
      known = { client, incarnation: undefined, introduction: introduce(client) };
      this.known.set(key, known);
    }
    return known;
  }
}

/**
 * Notes the incarnation that an answer's headers state.
 * @param known - The engine.
 * @param headers - Headers of its answer.
 * @returns The incarnation, if they state one.
 */
export function noteIncarnation(
  known: KnownEngine,
  headers: Readonly<Record<string, string>>,
): string | undefined {
  const stated = headers[INCARNATION_HEADER];
  if (stated !== undefined) Object.assign(known, { incarnation: stated });
  return stated;
}
