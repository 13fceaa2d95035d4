/** A client of the configuration service: a GET reads, a GET that waits watches. */
import type { TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import { z } from 'zod';

import type { Exchanger, WholeAnswer } from '../http/index.js';
import { createExchanger, headerOf, READER_HEADER, REVISION_HEADER, sendAndRead } from '../http/index.js';
import type { ConfigSource, ConfigValue } from './types.js';

const SERVICE = 'configuration service';
/** A value holds up to a megabyte; anything much larger is a fault. */
const VALUE_LIMIT_BYTES = 2 * 1024 * 1024;
/** Time beyond the agreed wait that an answer may take on its way, in milliseconds. */
const WATCH_GRACE_MS = 2000;

const revisionSchema = z.coerce.number().int().nonnegative();

/** Options of a client of the configuration service. */
export interface HttpConfigSourceOptions {
  /** Base URL. */
  readonly address: string;
  /** Name under which this process reads. */
  readonly reader: string;
  readonly timers: TimerService;
}

type Answered = (answer: WholeAnswer) => ConfigValue | undefined;

function parseValue(answer: WholeAnswer): ConfigValue {
  const revision = revisionSchema.parse(headerOf(answer.headers, REVISION_HEADER));
  return { revision, value: answer.body.toString('utf8') };
}

const ANSWERS: Readonly<Record<number, Answered>> = {
  200: parseValue,
  // The wait ended without a change.
  304: () => undefined,
  // There is no such value.
  404: () => undefined,
};

function unavailable(cause: unknown): CeleryyokeError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new CeleryyokeError('PlatformUnavailable', { service: SERVICE, reason }, { cause });
}

class HttpConfigSource implements ConfigSource {
  private readonly exchanger: Exchanger;

  constructor(private readonly options: HttpConfigSourceOptions) {
    this.exchanger = createExchanger({ name: SERVICE, address: options.address });
  }

  read(key: string, timeoutMs: number): Promise<ConfigValue | undefined> {
    return this.get(`/v1/values/${encodeURIComponent(key)}`, timeoutMs);
  }

  watch(key: string, known: number, waitMs: number, signal: AbortSignal): Promise<ConfigValue | undefined> {
    const path = `/v1/values/${encodeURIComponent(key)}?known=${known}&wait_ms=${waitMs}`;
    return this.get(path, waitMs + WATCH_GRACE_MS, signal);
  }

  close(): Promise<void> {
    return this.exchanger.destroy();
  }

  private async get(path: string, timeoutMs: number, signal?: AbortSignal): Promise<ConfigValue | undefined> {
    const { timers, reader } = this.options;
    try {
      const call = { method: 'GET', path, headers: { [READER_HEADER]: reader }, signal };
      const limits = { timers, timeoutMs, limitBytes: VALUE_LIMIT_BYTES };
      const answer = await sendAndRead(this.exchanger, call, limits);
      const answered = ANSWERS[answer.status];
      if (answered === undefined) throw new Error(`status ${answer.status}`);
      return answered(answer);
    } catch (err) {
      throw unavailable(err);
    }
  }
}

/**
 * Makes a client of the configuration service.
 * @param options - Address and reader.
 * @returns The client.
 */
export function createHttpConfigSource(options: HttpConfigSourceOptions): ConfigSource {
  return new HttpConfigSource(options);
}
