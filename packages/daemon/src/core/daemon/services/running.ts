/** Wraps a part that has its own start and stop as a service. */
import type { Service, ServiceFinder } from '@celeryyoke/core';

import type { Part } from '../names.js';

/** A part with its own start and stop. */
export interface RunningPart {
  start?(): Promise<unknown> | unknown;
  stop(): Promise<unknown> | unknown;
}

/**
 * Makes a service of a part.
 * @param name - Name under which others find it.
 * @param needs - Names of the services that must have started before it.
 * @param make - Makes the part.
 * @returns The service; its value is the part.
 */
export function runningService<T extends RunningPart>(
  name: Part,
  needs: readonly Part[],
  make: (kernel: ServiceFinder) => T,
): Service<T> {
  let part: T | undefined;
  return {
    name,
    needs,
    async start(kernel) {
      part = make(kernel);
      await part.start?.();
      return part;
    },
    async stop() {
      await part?.stop();
    },
  };
}
