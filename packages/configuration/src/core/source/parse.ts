/** Reads YAML into nodes that know their place. */
import type { Node as YamlNode } from 'yaml';
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';

import type { ConfigProblem, FieldNode, Place, ScalarNode, SourceNode, SourceText } from './types.js';
import { NodeKind } from './types.js';

/** What reading a document gives: the node, or what is wrong. */
export interface ParsedSource {
  readonly node: SourceNode | undefined;
  readonly problems: readonly ConfigProblem[];
}

/** Nested deeper than this, a document is refused rather than read by recursion. */
const DEPTH_LIMIT = 32;

/** A value of a kind that documents do not use. */
class UnsupportedValue extends Error {
  constructor(
    readonly place: Place,
    reason: string,
  ) {
    super(reason);
  }
}

function toScalar(value: unknown, place: Place): ScalarNode['value'] {
  if (value === null || typeof value === 'string' || typeof value === 'boolean') return value;
  if (typeof value === 'number' && Number.isFinite(value)) return value;
  throw new UnsupportedValue(place, 'is neither text, a finite number, true, false nor null');
}

class Converter {
  constructor(
    private readonly file: string,
    private readonly lines: LineCounter,
  ) {}

  placeAt(offset: number): Place {
    const { line, col } = this.lines.linePos(offset);
    return { file: this.file, line: Math.max(1, line), column: Math.max(1, col) };
  }

  convert(node: unknown, parent: Place, depth: number): SourceNode {
    const range = (node as YamlNode | null)?.range;
    const place = range ? this.placeAt(range[0]) : parent;
    if (depth > DEPTH_LIMIT) throw new UnsupportedValue(place, 'is nested too deeply');
    if (node === null || node === undefined) return { kind: NodeKind.Scalar, place, value: null };
    if (isAlias(node)) throw new UnsupportedValue(place, 'is an alias; write the value out');
    if (isScalar(node)) return { kind: NodeKind.Scalar, place, value: toScalar(node.value, place) };
    if (isSeq(node)) {
      const items = node.items.map((item) => this.convert(item, place, depth + 1));
      return { kind: NodeKind.List, place, items };
    }
    if (isMap(node)) return this.convertMap(node.items, place, depth);
    throw new UnsupportedValue(place, 'is not a value, a list or a map');
  }

  private convertMap(
    pairs: readonly { key: unknown; value: unknown }[],
    place: Place,
    depth: number,
  ): SourceNode {
    const fields = new Map<string, FieldNode>();
    for (const pair of pairs) {
      const key = this.convert(pair.key, place, depth + 1);
      if (key.kind !== NodeKind.Scalar) throw new UnsupportedValue(key.place, 'is not a name');
      fields.set(String(key.value), {
        place: key.place,
        value: this.convert(pair.value, key.place, depth + 1),
      });
    }
    return { kind: NodeKind.Map, place, fields };
  }
}

/**
 * Reads a document.
 * @param source - The document's text; JSON is YAML too.
 * @returns The node, or what is wrong.
 */
export function parseSource({ file, text }: SourceText): ParsedSource {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true });
  const converter = new Converter(file, lines);
  const problems = [...document.errors, ...document.warnings].map((err) => ({
    place: converter.placeAt(err.pos[0]),
    path: '',
    reason: `is not valid YAML: ${err.message}`,
  }));
  if (problems.length > 0) return { node: undefined, problems };
  try {
    return { node: converter.convert(document.contents, converter.placeAt(0), 0), problems };
  } catch (err) {
    if (!(err instanceof UnsupportedValue)) throw err;
    return { node: undefined, problems: [{ place: err.place, path: '', reason: err.message }] };
  }
}
