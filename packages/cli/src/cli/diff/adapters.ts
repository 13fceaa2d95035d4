/** Differences in adapters, declared one by one and in families. */
import type { AdapterConfig, AdapterFamilyConfig } from '@celeryyoke/configuration';

import { compareLists, describeFields } from './lists.js';
import type { Change, Comparer } from './types.js';
import { ChangeGroup } from './types.js';

/** Adapters named one by one; of more, the rest is counted. */
const NAMED_LIMIT = 20;

type Versioned = Pick<AdapterConfig, 'versions' | 'current' | 'sizeMb' | 'model'>;

function* describeVersions(what: string, before: Versioned, after: Versioned): Generator<Change> {
  if (before.current !== after.current || before.model !== after.model) {
    yield {
      group: ChangeGroup.Loads,
      text:
        `${what}: requests without a version get ${after.current} in place of ${before.current}; it loads ` +
        `(${after.sizeMb} MB) when first asked for. Requests that run keep the version they began with.`,
    };
  }
  const gone = before.versions.filter((version) => !after.versions.includes(version));
  const added = after.versions.filter((version) => !before.versions.includes(version));
  if (gone.length > 0) {
    yield {
      group: ChangeGroup.Callers,
      text: `${what}: version ${gone.join(', ')} is gone; requests that name it are refused (3004).`,
    };
  }
  if (added.length > 0) {
    yield { group: ChangeGroup.Callers, text: `${what}: version ${added.join(', ')} can be asked for.` };
  }
}

interface AdapterDifference {
  readonly added: AdapterConfig[];
  readonly removed: AdapterConfig[];
  readonly changed: { readonly before: AdapterConfig; readonly after: AdapterConfig }[];
}

/** Compares adapters that are declared one by one; a member of a family counts as declared before or after. */
function compareAdapters(...[before, after]: Parameters<Comparer>): AdapterDifference {
  const difference: AdapterDifference = { added: [], removed: [], changed: [] };
  for (const adapter of after.config.adapters) {
    const other = before.adapter(adapter.name);
    if (other === undefined) difference.added.push(adapter);
    else if (describeFields(other, adapter) !== '')
      difference.changed.push({ before: other, after: adapter });
  }
  for (const adapter of before.config.adapters) {
    if (after.adapter(adapter.name) === undefined) difference.removed.push(adapter);
  }
  return difference;
}

/** Describes the first of many things and counts the rest. */
function* limited<T>(things: readonly T[], describe: (thing: T) => Iterable<Change>): Generator<Change> {
  for (const thing of things.slice(0, NAMED_LIMIT)) yield* describe(thing);
  const rest = things.length - NAMED_LIMIT;
  if (rest > 0) yield { group: ChangeGroup.Callers, text: `${rest} more adapters change likewise.` };
}

/** Adapters declared one by one. */
export const compareDeclared: Comparer = function* compareDeclared(before, after) {
  const { added, removed, changed } = compareAdapters(before, after);
  yield* limited(added, ({ name, current, sizeMb }) => [
    {
      group: ChangeGroup.Loads,
      text: `adapter ${name} is new; version ${current} loads (${sizeMb} MB) when first asked for.`,
    },
  ]);
  yield* limited(changed, (pair) => describeVersions(`adapter ${pair.after.name}`, pair.before, pair.after));
  yield* limited(removed, ({ name }) => [
    { group: ChangeGroup.Callers, text: `adapter ${name} is gone; requests for it are refused (3003).` },
  ]);
};

function describeFamily({ name, pattern }: AdapterFamilyConfig): string {
  return `family ${name} (${pattern})`;
}

/** Families of adapters. */
export const compareFamilies: Comparer = function* compareFamilies(before, after) {
  const { added, removed, changed } = compareLists(before.config.families ?? [], after.config.families ?? []);
  for (const family of added) {
    yield {
      group: ChangeGroup.Loads,
      text: `${describeFamily(family)} is new; each member loads (${family.sizeMb} MB) when first asked for.`,
    };
  }
  for (const family of removed) {
    yield {
      group: ChangeGroup.Callers,
      text: `${describeFamily(family)} is gone; requests for its members are refused (3003).`,
    };
  }
  for (const pair of changed) {
    if (pair.before.pattern !== pair.after.pattern) {
      const text = `family ${pair.after.name}: its members are ${pair.after.pattern}, were ${pair.before.pattern}.`;
      yield { group: ChangeGroup.Callers, text };
    }
    yield* describeVersions(describeFamily(pair.after), pair.before, pair.after);
  }
};
