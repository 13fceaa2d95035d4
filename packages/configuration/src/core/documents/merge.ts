/**
 * Merges a base document and an overlay: maps merge, lists of named things merge by name, null removes, and
 * everything else is replaced by what the overlay says.
 */
import type {
  ConfigPath,
  ConfigProblem,
  FieldNode,
  ListNode,
  MapNode,
  Place,
  SourceNode,
} from '../source/index.js';
import { formatPlace, nameOf, NodeKind } from '../source/index.js';
import { nearestHint } from './nearest.js';

/** Lists of named things by their path, with `*` for any item, and the field that names an item. */
const NAMED_LISTS: ReadonlyMap<string, string> = new Map([
  ['domains', 'name'],
  ['models', 'name'],
  ['engines', 'name'],
  ['services', 'name'],
  ['services.*.upstreams', 'name'],
  ['stores', 'name'],
  ['adapters', 'name'],
  ['families', 'name'],
  ['events', 'name'],
  ['events.*.adapters', 'adapter'],
  ['callers', 'name'],
]);

/** A merged document. */
export interface MergedSource {
  readonly node: SourceNode;
  readonly problems: readonly ConfigProblem[];
}

/** A value's path, and the same with `*` for each item of a named list. */
interface Spot {
  readonly path: ConfigPath;
  readonly pattern: string;
}

function asMap(node: SourceNode | undefined): MapNode | undefined {
  return node?.kind === NodeKind.Map ? node : undefined;
}

function isNull(node: SourceNode): boolean {
  return node.kind === NodeKind.Scalar && node.value === null;
}

function nameField(place: Place, name: string): FieldNode {
  return { place, value: { kind: NodeKind.Scalar, place, value: name } };
}

/** Gives the items of a map from name to thing their name. */
function nameItems(node: MapNode, keyField: string): MapNode {
  const fields = Array.from(node.fields, ([name, field]): [string, FieldNode] => {
    if (field.value.kind !== NodeKind.Map) return [name, field];
    const named = new Map([[keyField, nameField(field.place, name)], ...field.value.fields]);
    return [name, { place: field.place, value: { ...field.value, fields: named } }];
  });
  return { ...node, fields: new Map(fields) };
}

class Merger {
  readonly problems: ConfigProblem[] = [];

  /** Merges two values, of which one at least is there. */
  merge(base: SourceNode | undefined, overlay: SourceNode | undefined, at: Spot): SourceNode {
    const top = (overlay ?? base)!;
    const keyField = NAMED_LISTS.get(at.pattern);
    if (keyField !== undefined) return this.mergeNamed(base, overlay, at, keyField) ?? top;
    if (top.kind !== NodeKind.Map) return top;
    return this.mergeMaps(asMap(base), asMap(overlay), at, ({ path, pattern }, key) => ({
      path: [...path, key],
      pattern: pattern === '' ? key : `${pattern}.${key}`,
    }));
  }

  private mergeMaps(
    base: MapNode | undefined,
    overlay: MapNode | undefined,
    at: Spot,
    step: (at: Spot, key: string) => Spot,
  ): MapNode {
    const fields = new Map<string, FieldNode>();
    for (const key of new Set([...(base?.fields.keys() ?? []), ...(overlay?.fields.keys() ?? [])])) {
      const under = base?.fields.get(key);
      const over = overlay?.fields.get(key);
      const here = step(at, key);
      const field = (over ?? under)!;
      if (!isNull(field.value)) {
        fields.set(key, { place: field.place, value: this.merge(under?.value, over?.value, here) });
      } else if (under === undefined) {
        this.reportRemoval(field.place, here, base);
      }
    }
    return { kind: NodeKind.Map, place: (overlay ?? base)!.place, fields };
  }

  /** Merges lists of named things; undefined when one of the two is no such list. */
  private mergeNamed(
    base: SourceNode | undefined,
    overlay: SourceNode | undefined,
    at: Spot,
    keyField: string,
  ): ListNode | undefined {
    const under = base && this.toNamed(base, at, keyField);
    const over = overlay && this.toNamed(overlay, at, keyField);
    if ((base && !under) || (overlay && !over)) return undefined;
    const merged = this.mergeMaps(under, over, at, ({ path, pattern }, key) => ({
      path: [...path, key],
      pattern: `${pattern}.*`,
    }));
    const items = Array.from(merged.fields.values(), ({ value }) => value);
    return { kind: NodeKind.List, place: merged.place, items };
  }

  /** Turns a list of named things, or a map from name to thing, into a map whose items carry their name. */
  private toNamed(node: SourceNode, at: Spot, keyField: string): MapNode | undefined {
    if (node.kind === NodeKind.Map) return nameItems(node, keyField);
    if (node.kind !== NodeKind.List) return undefined;
    const fields = new Map<string, FieldNode>();
    for (const item of node.items) {
      const name = nameOf(item);
      if (name === undefined) {
        this.report(item.place, at, `has an item without "${keyField}"`);
      } else if (fields.has(name)) {
        const first = formatPlace(fields.get(name)!.place);
        this.report(item.place, at, `names "${name}" twice; the first is at ${first}`);
      } else {
        fields.set(name, { place: item.place, value: item });
      }
    }
    return { kind: NodeKind.Map, place: node.place, fields };
  }

  private reportRemoval(place: Place, at: Spot, base: MapNode | undefined): void {
    const hint = nearestHint(String(at.path.at(-1)), base?.fields.keys() ?? []);
    this.report(place, at, `is removed but not there to remove${hint}`);
  }

  private report(place: Place, { path }: Spot, reason: string): void {
    this.problems.push({ place, path: path.join('.'), reason });
  }
}

/**
 * Merges a base document and an overlay.
 * @param base - The base document.
 * @param overlay - What differs at one site; left out, the base alone is brought into its merged form.
 * @returns The merged document.
 */
export function mergeSources(base: SourceNode, overlay?: SourceNode): MergedSource {
  const merger = new Merger();
  return { node: merger.merge(base, overlay, { path: [], pattern: '' }), problems: merger.problems };
}
