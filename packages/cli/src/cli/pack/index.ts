/** `celeryyoke pack`: writes the values to publish in the configuration service. */
import { mkdir, writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import { packSite } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import type { CliCommand } from '../../core/program/index.js';
import { ExitCode, requiredText, wholeOption } from '../../core/program/index.js';
import { loadDocuments } from '../../core/sites/index.js';

/** The command. */
export const packCommand: CliCommand = {
  usage: 'pack <base> <overlay>',
  summary: 'Write the values to publish, one file for each key',
  options: [
    { flag: '--revision <number>', summary: 'Revision of the set; greater than any published before' },
    { flag: '--out <folder>', summary: 'Folder to write to' },
  ],
  async run([base = '', overlay = ''], options, io) {
    const revision = wholeOption(options, 'revision', 1);
    if (revision === undefined) {
      throw new CeleryyokeError('CommandInvalid', { reason: '--revision must be given.' });
    }
    const out = requiredText(options, 'out');
    const packed = packSite(await loadDocuments(base, overlay), revision);
    for (const [key, text] of packed.values) {
      const file = join(out, key);
      await mkdir(dirname(file), { recursive: true });
      await writeFile(file, text);
    }
    io.print(`Revision ${revision}, digest ${packed.digest}: ${packed.parts.size} parts and the root.`);
    io.print(`Publish the parts first and ${packed.rootKey} last.`);
    return ExitCode.Ok;
  },
};
