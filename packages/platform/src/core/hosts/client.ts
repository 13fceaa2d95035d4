/** A client of the platform's host list. */
import type { TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import { z } from 'zod';

import type { Exchanger } from '../http/index.js';
import { createExchanger, READER_HEADER, sendAndRead } from '../http/index.js';
import type { HostListSource, HostListView } from './types.js';
import { HostRole, HostState } from './types.js';

const SERVICE = 'host list';

const listSchema = z.object({
  version: z.number().int().nonnegative().optional(),
  hosts: z.array(
    z.object({
      name: z.string().min(1),
      role: z.enum(HostRole),
      state: z.enum(HostState),
      domain: z.string(),
      address: z.string().min(1),
    }),
  ),
});

/** Options of a client of the host list. */
export interface HttpHostListOptions {
  /** Base URL. */
  readonly address: string;
  /** Name under which this process reads. */
  readonly reader: string;
  readonly timers: TimerService;
}

class HttpHostList implements HostListSource {
  private readonly exchanger: Exchanger;

  constructor(private readonly options: HttpHostListOptions) {
    this.exchanger = createExchanger({ name: SERVICE, address: options.address });
  }

  async read(timeoutMs: number): Promise<HostListView> {
    const { timers, reader } = this.options;
    // The list is as old as the moment when it was asked for, not as when it came.
    const readAt = timers.now();
    try {
      const call = { method: 'GET', path: '/v1/hosts', headers: { [READER_HEADER]: reader } };
      const answer = await sendAndRead(this.exchanger, call, { timers, timeoutMs });
      if (answer.status !== 200) throw new Error(`status ${answer.status}`);
      return { ...listSchema.parse(JSON.parse(answer.body.toString('utf8'))), readAt };
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      throw new CeleryyokeError('PlatformUnavailable', { service: SERVICE, reason }, { cause: err });
    }
  }

  close(): Promise<void> {
    return this.exchanger.destroy();
  }
}

/**
 * Makes a client of the host list.
 * @param options - Address and reader.
 * @returns The client.
 */
export function createHttpHostList(options: HttpHostListOptions): HostListSource {
  return new HttpHostList(options);
}
