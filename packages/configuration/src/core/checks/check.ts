/** Checks that the things of a configuration fit together. */
import { createAdapterCatalogue, createAdapterTable, parsePattern } from '../adapters/index.js';
import type { AdapterCatalogue, NamePattern } from '../adapters/index.js';
import { nearestHint } from '../documents/nearest.js';
import type { AdapterFamilyConfig, EventConfig, PlainServiceConfig, SiteConfig } from '../model/types.js';
import type { PathProblem } from '../schema/index.js';

/** Paths that the daemon itself answers. */
const RESERVED_PREFIXES = ['/v1', '/healthz', '/readyz', '/metrics'] as const;

/** Most adapters of which the nearest name is sought. */
const HINT_CANDIDATES = 20_000;

type Report = (path: readonly (string | number)[], reason: string) => void;

interface Named {
  readonly name: string;
}

function namesOf(things: readonly Named[]): Set<string> {
  return new Set(things.map(({ name }) => name));
}

function checkKnown(
  known: ReadonlySet<string>,
  what: string,
  name: string,
  path: readonly string[],
  report: Report,
): void {
  if (known.has(name)) return;
  report(path, `${what} "${name}" is not declared${nearestHint(name, known)}`);
}

/** Reports each value that stands twice. */
function checkUnique<T>(
  things: Iterable<T>,
  keyOf: (thing: T) => string,
  path: (thing: T) => readonly string[],
  what: string,
  report: Report,
): void {
  const seen = new Map<string, T>();
  for (const thing of things) {
    const key = keyOf(thing);
    const first = seen.get(key);
    if (first === undefined) seen.set(key, thing);
    else report(path(thing), `${what} "${key}" is also that of ${path(first).join('.')}`);
  }
}

function checkNames(
  { domains, models, stores, services, families, events, callers }: SiteConfig,
  report: Report,
): void {
  const lists = { domains, models, stores, services, families: families ?? [], events, callers };
  for (const [list, things] of Object.entries(lists)) {
    checkUnique<Named>(
      things,
      ({ name }) => name,
      ({ name }) => [list, name],
      'name',
      report,
    );
  }
}

function checkUpstreams(config: SiteConfig, report: Report): void {
  const upstreams = [
    ...config.engines.map((engine) => ({ ...engine, path: ['engines', engine.name] })),
    ...config.services.flatMap((service) =>
      service.upstreams.map((upstream) => ({
        ...upstream,
        path: ['services', service.name, 'upstreams', upstream.name],
      })),
    ),
  ];
  const domains = namesOf(config.domains);
  checkUnique(
    upstreams,
    ({ name }) => name,
    ({ path }) => path,
    'name',
    report,
  );
  checkUnique(
    upstreams,
    ({ address }) => address,
    ({ path }) => [...path, 'address'],
    'address',
    report,
  );
  for (const { domain, path } of upstreams) {
    checkKnown(domains, 'failure domain', domain, [...path, 'domain'], report);
  }
}

function checkEngines({ engines, models, stores }: SiteConfig, report: Report): void {
  const knownModels = namesOf(models);
  const knownStores = namesOf(stores);
  for (const { name, model, store } of engines) {
    checkKnown(knownModels, 'base model', model, ['engines', name, 'model'], report);
    checkKnown(knownStores, 'weight store', store, ['engines', name, 'store'], report);
  }
}

function withoutSlash(prefix: string): string {
  return prefix.length > 1 && prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
}

function checkServices(services: readonly PlainServiceConfig[], report: Report): void {
  const keyOf = ({ prefix }: PlainServiceConfig): string => withoutSlash(prefix);
  checkUnique(services, keyOf, ({ name }) => ['services', name, 'prefix'], 'prefix', report);
  for (const service of services) {
    const prefix = keyOf(service);
    const taken = RESERVED_PREFIXES.find((own) => prefix === own || prefix.startsWith(`${own}/`));
    if (taken !== undefined) {
      report(['services', service.name, 'prefix'], `prefix "${prefix}" is answered by the daemon itself`);
    }
  }
}

interface Versions {
  readonly versions: readonly string[];
  readonly current: string;
}

function checkVersions({ versions, current }: Versions, path: readonly string[], report: Report): void {
  if (!versions.includes(current)) {
    const expected = `expected one of ${versions.join(', ')}`;
    report([...path, 'current'], `current version "${current}" is not declared, ${expected}`);
  }
  checkUnique(
    versions,
    (version) => version,
    () => [...path, 'versions'],
    'version',
    report,
  );
}

function checkAdapters({ adapters, models }: SiteConfig, report: Report): void {
  const known = namesOf(models);
  for (const bucket of createAdapterTable(adapters).buckets) {
    for (const adapter of bucket.examples()) {
      const path = ['adapters', adapter.name];
      checkKnown(known, 'base model', adapter.model, [...path, 'model'], report);
      checkVersions(adapter, path, report);
    }
    for (const name of bucket.duplicates()) report(['adapters', name], `name "${name}" stands twice`);
  }
}

interface NamedRange extends NamePattern {
  readonly name: string;
}

function compareRanges(left: NamedRange, right: NamedRange): number {
  if (left.prefix === right.prefix) return left.first - right.first;
  return left.prefix < right.prefix ? -1 : 1;
}

function checkOverlap(families: readonly AdapterFamilyConfig[], report: Report): void {
  const ranges = families.flatMap(({ name, pattern }) => {
    const parsed = parsePattern(pattern);
    if (parsed === undefined) {
      report(
        ['families', name, 'pattern'],
        `"${pattern}" is no range of names, expected such as style-{0001..3000}`,
      );
      return [];
    }
    return [{ name, ...parsed }];
  });
  ranges.sort(compareRanges);
  let widest = ranges[0];
  for (const range of ranges.slice(1)) {
    if (widest !== undefined && range.prefix === widest.prefix && range.first <= widest.last) {
      report(['families', range.name, 'pattern'], `its names overlap those of family "${widest.name}"`);
    }
    if (widest?.prefix !== range.prefix || range.last > widest.last) widest = range;
  }
}

function checkFamilies({ families = [], models }: SiteConfig, report: Report): void {
  const known = namesOf(models);
  for (const family of families) {
    const path = ['families', family.name];
    checkKnown(known, 'base model', family.model, [...path, 'model'], report);
    checkVersions(family, path, report);
  }
  checkOverlap(families, report);
}

function* candidatesOf(catalogue: AdapterCatalogue): Generator<string> {
  let count = 0;
  for (const { name } of catalogue.readAfter(undefined)) {
    if (count >= HINT_CANDIDATES) return;
    count += 1;
    yield name;
  }
}

function checkEvent(event: EventConfig, catalogue: AdapterCatalogue, report: Report): void {
  const path = ['events', event.name];
  if (event.endMs <= event.startMs) report([...path, 'end'], 'ends before it starts, expected a later time');
  const pathOf = ({ adapter }: { adapter: string }): string[] => [...path, 'adapters', adapter];
  const keyOf = ({ adapter, version }: EventConfig['adapters'][number]): string =>
    version === undefined ? adapter : `${adapter}@${version}`;
  checkUnique(event.adapters, keyOf, pathOf, 'adapter', report);
  for (const entry of event.adapters) {
    const found = catalogue.find(entry.adapter);
    if (found === undefined) {
      const hint = nearestHint(entry.adapter, candidatesOf(catalogue));
      report(pathOf(entry), `adapter "${entry.adapter}" is not declared${hint}`);
    } else if (entry.version !== undefined && !found.versions.includes(entry.version)) {
      const expected = `expected one of ${found.versions.join(', ')}`;
      report(pathOf(entry), `adapter "${entry.adapter}" has no version "${entry.version}", ${expected}`);
    }
  }
}

/**
 * Checks that the things of a configuration fit together.
 * @param config - The configuration, whose fields fit the schema.
 * @returns What is wrong, with the path of each; nothing when it is good.
 */
export function checkSite(config: SiteConfig): readonly PathProblem[] {
  const problems: PathProblem[] = [];
  const report: Report = (path, reason) => problems.push({ path, reason });
  const catalogue = createAdapterCatalogue(config);
  checkNames(config, report);
  checkUpstreams(config, report);
  checkEngines(config, report);
  checkServices(config.services, report);
  checkAdapters(config, report);
  checkFamilies(config, report);
  for (const event of config.events) checkEvent(event, catalogue, report);
  checkUnique(
    config.callers,
    ({ keySha256 }) => keySha256,
    ({ name }) => ['callers', name, 'keySha256'],
    'key',
    report,
  );
  return problems;
}
