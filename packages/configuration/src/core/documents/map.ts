/** Turns a merged document that fits its schema into the effective configuration. */
import { createAdapterTable, memberName, parsePattern } from '../adapters/index.js';
import type { EventAdapterConfig, EventConfig, SiteConfig } from '../model/types.js';
import type { PathProblem, SiteDocument } from '../schema/index.js';

/** The effective configuration and what could not be mapped. */
export interface MappedSite {
  readonly config: SiteConfig;
  readonly problems: readonly PathProblem[];
}

interface Versioned {
  readonly name: string;
  readonly versions: readonly string[];
  readonly current?: string | undefined;
}

function currentOf(list: string, { name, versions, current }: Versioned, problems: PathProblem[]): string {
  if (current === undefined && versions.length > 1) {
    const reason = `names no current version, expected "current" to be one of ${versions.join(', ')}`;
    problems.push({ path: [list, name], reason });
  }
  return current ?? versions[0]!;
}

type EventEntry = SiteDocument['events'][number];

function expand(event: EventEntry, problems: PathProblem[]): EventAdapterConfig[] {
  return event.adapters.flatMap((entry) => {
    if (!entry.adapter.includes('{')) return [entry];
    const pattern = parsePattern(entry.adapter);
    if (pattern === undefined) {
      const reason = `"${entry.adapter}" is no range of names, expected such as style-{0001..0040}`;
      problems.push({ path: ['events', event.name, 'adapters', entry.adapter], reason });
      return [];
    }
    const { first, last } = pattern;
    return Array.from({ length: last - first + 1 }, (_, index) => ({
      ...entry,
      adapter: memberName(pattern, first + index),
    }));
  });
}

function toEvent(event: EventEntry, problems: PathProblem[]): EventConfig {
  return {
    name: event.name,
    startMs: Date.parse(event.start),
    endMs: Date.parse(event.end),
    adapters: expand(event, problems),
  };
}

/**
 * Maps a document to the effective configuration.
 * @param document - The merged document.
 * @returns The configuration; it is good only without problems.
 */
export function mapDocument(document: SiteDocument): MappedSite {
  const problems: PathProblem[] = [];
  const { schema, defaults, adapters, families, events, ...rest } = document;
  const config: SiteConfig = {
    ...rest,
    adapters: createAdapterTable(
      adapters.map((adapter) => ({ ...adapter, current: currentOf('adapters', adapter, problems) })),
    ),
    families: families.map((family) => ({ ...family, current: currentOf('families', family, problems) })),
    events: events.map((event) => toEvent(event, problems)),
  };
  return { config, problems };
}
