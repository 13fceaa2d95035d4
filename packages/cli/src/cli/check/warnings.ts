/** What the documents' events can't have, though the documents themselves are good. */
import type { SiteConfig } from '@celeryyoke/configuration';
import { planEvents } from '@celeryyoke/placement';

import { lateLines, unplacedLines } from '../plan/index.js';

/**
 * Finds the adapters of events that can't be ready. All engines are taken to be live, and nothing to be loaded.
 * @param config - The effective configuration.
 * @param atMs - Moment at which it would come into force, milliseconds since the epoch.
 * @returns A line for each late load, then one for each adapter without a slot.
 */
export function eventWarnings(config: SiteConfig, atMs: number): readonly string[] {
  const hosts = config.engines.map(({ name }) => name);
  const plan = planEvents(config, hosts, atMs);
  return [...lateLines(plan), ...unplacedLines(plan)];
}
