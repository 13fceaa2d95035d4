/** Compares lists of named things. */

/** What became of named things. */
export interface ListDifference<T> {
  readonly added: readonly T[];
  readonly removed: readonly T[];
  readonly changed: readonly { readonly before: T; readonly after: T }[];
}

interface Named {
  readonly name: string;
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/**
 * Compares two lists.
 * @param before - The list before.
 * @param after - The list after.
 * @returns What was added, removed and changed.
 */
export function compareLists<T extends Named>(before: readonly T[], after: readonly T[]): ListDifference<T> {
  const old = new Map(before.map((thing) => [thing.name, thing]));
  const next = new Map(after.map((thing) => [thing.name, thing]));
  return {
    added: after.filter(({ name }) => !old.has(name)),
    removed: before.filter(({ name }) => !next.has(name)),
    changed: after.flatMap((thing) => {
      const other = old.get(thing.name);
      return other === undefined || isSame(sorted(other), sorted(thing))
        ? []
        : [{ before: other, after: thing }];
    }),
  };
}

function sorted(thing: object): unknown {
  return Object.entries(thing).sort(([left], [right]) => (left < right ? -1 : 1));
}

/**
 * Lists the fields in which two things differ.
 * @param before - The thing before.
 * @param after - The thing after.
 * @returns Such as `slots 8 -> 16`.
 */
export function describeFields(before: object, after: object): string {
  const old = new Map<string, unknown>(Object.entries(before));
  const next = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...old.keys(), ...next.keys()])]
    .filter((key) => !isSame(old.get(key), next.get(key)))
    .map((key) => `${key} ${show(old.get(key))} -> ${show(next.get(key))}`)
    .join(', ');
}

function show(value: unknown): string {
  if (value === undefined) return 'none';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
