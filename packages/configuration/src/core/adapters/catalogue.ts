/** All adapters of a site: those declared one by one go before members of families. */
import type { AdapterConfig, SiteConfig } from '../model/types.js';
import { createFamilyIndex } from './family.js';
import { createAdapterTable } from './table.js';

/** Look-ups over all adapters. */
export interface AdapterCatalogue {
  /** How many adapters there are. */
  readonly length: number;
  /** Finds an adapter by name. */
  find(name: string): AdapterConfig | undefined;
  /** Reads adapters on from a name, or from the first, in a fixed order. */
  readAfter(after: string | undefined): Generator<AdapterConfig>;
}

/**
 * Makes the look-ups of a site's adapters.
 * @param config - The site's adapters and families.
 * @returns The look-ups.
 */
export function createAdapterCatalogue(config: Pick<SiteConfig, 'adapters' | 'families'>): AdapterCatalogue {
  const table = createAdapterTable(config.adapters);
  const families = createFamilyIndex(config.families ?? []);
  let length: number | undefined;

  /** Counts on demand only, for it looks at every adapter that is declared one by one. */
  function countAdapters(): number {
    let overridden = 0;
    if (families.length > 0) {
      for (const { name } of table) if (families.find(name) !== undefined) overridden += 1;
    }
    return table.length + families.length - overridden;
  }

  function* readMembers(after: string | undefined): Generator<AdapterConfig> {
    for (const member of families.readAfter(after)) {
      if (table.find(member.name) === undefined) yield member;
    }
  }

  function isAmongMembers(name: string): boolean {
    return table.find(name) === undefined && families.find(name) !== undefined;
  }

  return {
    get length() {
      length ??= countAdapters();
      return length;
    },
    find: (name) => table.find(name) ?? families.find(name),
    *readAfter(after) {
      if (after !== undefined && isAmongMembers(after)) {
        yield* readMembers(after);
        return;
      }
      yield* table.readAfter(after);
      yield* readMembers(undefined);
    },
  };
}
