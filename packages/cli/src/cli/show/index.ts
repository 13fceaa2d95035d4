/** `celeryyoke show`: the effective configuration, with where each value came from. */
import type { ConfigPath, SourceNode } from '@celeryyoke/configuration';
import { formatPath, formatProblem, NodeKind, siteDocumentSchema, toValue } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import type { CliCommand } from '../../core/program/index.js';
import { ExitCode, switchOption, textOption } from '../../core/program/index.js';
import { readDocuments } from '../../core/sites/index.js';

/** One value of the effective configuration. */
interface ShownValue {
  readonly path: string;
  readonly value: unknown;
  /** File and line, or `default`. */
  readonly origin: string;
}

const DEFAULT_ORIGIN = 'default';

function childOf(node: SourceNode | undefined, step: string | number): SourceNode | undefined {
  if (node?.kind === NodeKind.Map) return node.fields.get(String(step))?.value;
  return node?.kind === NodeKind.List ? node.items[Number(step)] : undefined;
}

function isLeaf(value: unknown): boolean {
  if (Array.isArray(value)) return value.every((item) => typeof item !== 'object');
  return typeof value !== 'object' || value === null;
}

function* walk(
  root: SourceNode,
  node: SourceNode | undefined,
  value: unknown,
  path: ConfigPath,
): Generator<ShownValue> {
  if (isLeaf(value)) {
    const origin = node === undefined ? DEFAULT_ORIGIN : `${node.place.file}:${node.place.line}`;
    yield { path: formatPath(root, path), value, origin };
    return;
  }
  const isList = Array.isArray(value);
  for (const [key, child] of Object.entries(value as object)) {
    const step = isList ? Number(key) : key;
    yield* walk(root, childOf(node, step), child, [...path, step]);
  }
}

function render(values: readonly ShownValue[]): string {
  const texts = values.map(({ path, value }) => `${path} = ${JSON.stringify(value)}`);
  const widest = Math.min(80, Math.max(0, ...texts.map((text) => text.length)));
  return values.map(({ origin }, index) => `${texts[index]!.padEnd(widest)}  # ${origin}`).join('\n');
}

function readValues(merged: SourceNode): ShownValue[] {
  const document = siteDocumentSchema.parse(toValue(merged));
  // What `defaults` says has been put into the entries, where it is shown with its origin.
  delete document.defaults;
  return [...walk(merged, merged, document, [])];
}

/** The command. */
export const showCommand: CliCommand = {
  usage: 'show <base> <overlay>',
  summary: 'Show the effective configuration and where each value came from',
  options: [
    { flag: '--path <prefix>', summary: 'Show only values whose path begins so, such as engines[ct-1]' },
    { flag: '--json', summary: 'Write JSON' },
  ],
  async run([base = '', overlay = ''], options, io) {
    const { config, merged, problems } = await readDocuments(base, overlay);
    if (config === undefined || merged === undefined) {
      const [first] = problems;
      const reason = first === undefined ? 'is empty' : formatProblem(first);
      throw new CeleryyokeError('ConfigInvalid', { place: 'not shown', reason });
    }
    const prefix = textOption(options, 'path') ?? '';
    const values = readValues(merged).filter(({ path }) => path.startsWith(prefix));
    io.print(switchOption(options, 'json') ? JSON.stringify(values, null, 2) : render(values));
    return ExitCode.Ok;
  },
};
