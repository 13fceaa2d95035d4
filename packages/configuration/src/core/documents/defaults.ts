/** Gives entries of lists the fields that they leave out. */
import { DEFAULTED_LISTS } from '../schema/index.js';
import type { FieldNode, MapNode, SourceNode } from '../source/index.js';
import { NodeKind } from '../source/index.js';

function fillEntry(entry: SourceNode, defaults: MapNode): SourceNode {
  if (entry.kind !== NodeKind.Map) return entry;
  return { ...entry, fields: new Map([...defaults.fields, ...entry.fields]) };
}

/**
 * Fills the entries of lists from `defaults`.
 * @param root - The merged document.
 * @returns The document with its entries filled in; values keep the place where they were written.
 */
export function applyDefaults(root: SourceNode): SourceNode {
  if (root.kind !== NodeKind.Map) return root;
  const defaults = root.fields.get('defaults')?.value;
  if (defaults?.kind !== NodeKind.Map) return root;
  const fields = new Map<string, FieldNode>(root.fields);
  for (const list of DEFAULTED_LISTS) {
    const filling = defaults.fields.get(list)?.value;
    const field = fields.get(list);
    if (filling?.kind === NodeKind.Map && field?.value.kind === NodeKind.List) {
      const items = field.value.items.map((item) => fillEntry(item, filling));
      fields.set(list, { ...field, value: { ...field.value, items } });
    }
  }
  return { ...root, fields };
}
