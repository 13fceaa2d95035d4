/** `celeryyoke schema`: JSON Schemas of the documents, for editors. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { JsonSchema } from '@celeryyoke/configuration';
import { exportSchemas, nearestHint } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import type { CliCommand } from '../../core/program/index.js';
import { ExitCode, textOption } from '../../core/program/index.js';

const DEFAULT_NAME = 'document';

function toText(schema: JsonSchema): string {
  return JSON.stringify(schema, null, 2);
}

async function writeAll(folder: string): Promise<number> {
  const schemas = exportSchemas();
  await mkdir(folder, { recursive: true });
  for (const { name, schema } of schemas) {
    await writeFile(join(folder, `${name}.json`), `${toText(schema)}\n`);
  }
  return schemas.length;
}

function find(name: string): JsonSchema {
  const schemas = exportSchemas();
  const found = schemas.find((one) => one.name === name);
  if (found !== undefined) return found.schema;
  const hint = nearestHint(
    name,
    schemas.map((one) => one.name),
  );
  throw new CeleryyokeError('CommandInvalid', { reason: `"${name}" is no schema${hint || '.'}` });
}

/** The command. */
export const schemaCommand: CliCommand = {
  usage: 'schema [name]',
  summary: `Print a JSON Schema (${DEFAULT_NAME} when left out), or write all of them`,
  options: [{ flag: '--out <folder>', summary: 'Write every schema to this folder' }],
  async run([name = DEFAULT_NAME], options, io) {
    const out = textOption(options, 'out');
    if (out === undefined) io.print(toText(find(name)));
    else io.print(`Wrote ${await writeAll(out)} schemas to ${out}.`);
    return ExitCode.Ok;
  },
};
