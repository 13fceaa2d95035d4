/** Work on nodes. */
import type { ConfigPath, ListNode, MapNode, Place, SourceNode } from './types.js';
import { NodeKind } from './types.js';

/** Fields that may name an item of a list, in the order in which they are tried. */
const NAME_FIELDS = ['name', 'adapter'] as const;

/**
 * Reads the name of an item.
 * @param node - The item.
 * @returns Its name, or undefined when it has none.
 */
export function nameOf(node: SourceNode): string | undefined {
  if (node.kind !== NodeKind.Map) return undefined;
  for (const field of NAME_FIELDS) {
    const value = node.fields.get(field)?.value;
    if (value?.kind === NodeKind.Scalar && value.value !== null) return String(value.value);
  }
  return undefined;
}

const TO_VALUE = {
  [NodeKind.Scalar]: (node: SourceNode): unknown => (node.kind === NodeKind.Scalar ? node.value : undefined),
  [NodeKind.List]: (node: SourceNode): unknown => (node as ListNode).items.map(toValue),
  [NodeKind.Map]: (node: SourceNode): unknown =>
    Object.fromEntries(Array.from((node as MapNode).fields, ([key, field]) => [key, toValue(field.value)])),
};

/**
 * Turns a node into plain data.
 * @param node - The node.
 * @returns Its value.
 */
export function toValue(node: SourceNode): unknown {
  return TO_VALUE[node.kind](node);
}

function childOf(node: SourceNode, step: string | number): SourceNode | undefined {
  if (node.kind === NodeKind.Map) return node.fields.get(String(step))?.value;
  if (node.kind !== NodeKind.List) return undefined;
  return typeof step === 'number' ? node.items[step] : node.items.find((item) => nameOf(item) === step);
}

/**
 * Finds the place of a value, or of the innermost thing around it that was written.
 * @param root - Top of the document.
 * @param path - Path of the value.
 * @returns Its place.
 */
export function placeOf(root: SourceNode, path: ConfigPath): Place {
  let node = root;
  for (const step of path) {
    const child = childOf(node, step);
    if (child === undefined) break;
    node = child;
  }
  return node.place;
}

/**
 * Finds the place of a map's key.
 * @param root - Top of the document.
 * @param path - Path of the map.
 * @param key - The key.
 * @returns Its place, or that of the map.
 */
export function placeOfKey(root: SourceNode, path: ConfigPath, key: string): Place {
  let node: SourceNode | undefined = root;
  for (const step of path) node = node && childOf(node, step);
  const field = node?.kind === NodeKind.Map ? node.fields.get(key) : undefined;
  return field?.place ?? placeOf(root, path);
}

/**
 * Writes a path for messages, with items by their name.
 * @param root - Top of the document.
 * @param path - The path.
 * @returns Such as `engines[ct-1].slots`.
 */
export function formatPath(root: SourceNode, path: ConfigPath): string {
  let node: SourceNode | undefined = root;
  let text = '';
  for (const step of path) {
    const isItem: boolean = node?.kind === NodeKind.List;
    node = node && childOf(node, step);
    const label = isItem && node !== undefined ? (nameOf(node) ?? step) : step;
    if (isItem) text += `[${label}]`;
    else text += text === '' ? String(label) : `.${label}`;
  }
  return text;
}

/**
 * Writes a place for messages.
 * @param place - The place.
 * @returns Such as `base.yaml:12:3`.
 */
export function formatPlace({ file, line, column }: Place): string {
  return `${file}:${line}:${column}`;
}
