/** Families of adapters, whose members are worked out from their names and cost no memory. */
import type { AdapterConfig, AdapterFamilyConfig } from '../model/types.js';

/** Names that are a prefix and a number. */
export interface NamePattern {
  readonly prefix: string;
  readonly first: number;
  readonly last: number;
  /** Digits to which a number is padded with zeros; 0 for no padding. */
  readonly width: number;
}

const PATTERN = /^([^{}]*[^{}\d])\{(\d{1,9})\.\.(\d{1,9})\}$/;

const TRAILING_NUMBER = /\d+$/;

/**
 * Reads a pattern such as `style-{0001..3000}`.
 * @param pattern - The pattern's text.
 * @returns Its parts, or undefined when it is none.
 */
export function parsePattern(pattern: string): NamePattern | undefined {
  const match = PATTERN.exec(pattern);
  if (match === null) return undefined;
  const [, prefix = '', from = '', to = ''] = match;
  const isPadded = from.length > 1 && from.startsWith('0');
  const parsed = { prefix, first: Number(from), last: Number(to), width: isPadded ? from.length : 0 };
  const fits = parsed.width === 0 || to.length === from.length;
  return fits && parsed.first <= parsed.last ? parsed : undefined;
}

/**
 * Writes the name of a member.
 * @param pattern - The family's pattern.
 * @param value - The member's number.
 * @returns The name.
 */
export function memberName({ prefix, width }: NamePattern, value: number): string {
  return prefix + String(value).padStart(width, '0');
}

interface IndexedFamily {
  readonly family: AdapterFamilyConfig;
  readonly pattern: NamePattern;
}

/** Finds the members of families. */
export interface FamilyIndex {
  /** How many members there are in all. */
  readonly length: number;
  /** Finds a member by its name. */
  find(name: string): AdapterConfig | undefined;
  /** Reads members on from a name, or from the first; a name of no family begins with the first member. */
  readAfter(after: string | undefined): Generator<AdapterConfig>;
}

function toMember({ family, pattern }: IndexedFamily, value: number): AdapterConfig {
  const { model, versions, current, sizeMb } = family;
  return { name: memberName(pattern, value), model, versions, current, sizeMb };
}

class Families implements FamilyIndex {
  readonly length: number;

  private readonly byPrefix = new Map<string, IndexedFamily[]>();

  constructor(private readonly families: readonly IndexedFamily[]) {
    this.length = families.reduce((sum, { pattern }) => sum + pattern.last - pattern.first + 1, 0);
    for (const indexed of families) {
      const { prefix } = indexed.pattern;
      this.byPrefix.set(prefix, [...(this.byPrefix.get(prefix) ?? []), indexed]);
    }
  }

  find(name: string): AdapterConfig | undefined {
    const place = this.placeOf(name);
    return place === undefined ? undefined : toMember(place.indexed, place.value);
  }

  *readAfter(after: string | undefined): Generator<AdapterConfig> {
    const place = after === undefined ? undefined : this.placeOf(after);
    const start = place === undefined ? 0 : this.families.indexOf(place.indexed);
    for (let number = start; number < this.families.length; number++) {
      const indexed = this.families[number]!;
      const { first, last } = indexed.pattern;
      const from = place !== undefined && number === start ? place.value + 1 : first;
      for (let value = from; value <= last; value++) yield toMember(indexed, value);
    }
  }

  private placeOf(name: string): { indexed: IndexedFamily; value: number } | undefined {
    const digits = TRAILING_NUMBER.exec(name)?.[0];
    if (digits === undefined) return undefined;
    const value = Number(digits);
    const candidates = this.byPrefix.get(name.slice(0, -digits.length)) ?? [];
    const indexed = candidates.find(
      ({ pattern }) => value >= pattern.first && value <= pattern.last && memberName(pattern, value) === name,
    );
    return indexed && { indexed, value };
  }
}

/**
 * Makes an index of families; one whose pattern is wrong has no members.
 * @param families - The families.
 * @returns The index.
 */
export function createFamilyIndex(families: readonly AdapterFamilyConfig[]): FamilyIndex {
  const indexed = families.flatMap((family) => {
    const pattern = parsePattern(family.pattern);
    return pattern === undefined ? [] : [{ family, pattern }];
  });
  return new Families(indexed);
}
