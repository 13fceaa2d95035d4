/** `celeryyoke diff`: what a new configuration will do, in an operator's words. */
import { createSnapshot } from '@celeryyoke/configuration';

import type { CliCommand } from '../../core/program/index.js';
import { ExitCode, switchOption } from '../../core/program/index.js';
import { loadArgument } from '../../core/sites/index.js';
import { compareDeclared, compareFamilies } from './adapters.js';
import { compareEngines } from './engines.js';
import { compareEvents } from './events.js';
import { compareCallers, compareSettings } from './settings.js';
import type { Change, Comparer } from './types.js';
import { ChangeGroup } from './types.js';

const COMPARERS: readonly Comparer[] = [
  compareEvents,
  compareDeclared,
  compareFamilies,
  compareEngines,
  compareCallers,
  compareSettings,
];

function render(changes: readonly Change[]): string {
  const blocks = Object.values(ChangeGroup).flatMap((group) => {
    const lines = changes.filter((change) => change.group === group).map(({ text }) => `  ${text}`);
    return lines.length === 0 ? [] : [[`${group}:`, ...lines].join('\n')];
  });
  return blocks.join('\n\n');
}

/** The command. */
export const diffCommand: CliCommand = {
  usage: 'diff <old> <new>',
  summary: 'Tell what will load and move; OLD and NEW are BASE:OVERLAY or what pack wrote',
  options: [{ flag: '--json', summary: 'Write JSON' }],
  async run([oldArgument = '', newArgument = ''], options, io) {
    const old = await loadArgument(oldArgument);
    const next = await loadArgument(newArgument);
    const before = createSnapshot(1, old.config);
    const after = createSnapshot(2, next.config);
    const changes = COMPARERS.flatMap((compare) => [...compare(before, after)]);
    if (switchOption(options, 'json')) io.print(JSON.stringify(changes, null, 2));
    else io.print(changes.length === 0 ? 'Nothing changes.' : render(changes));
    return before.digest === after.digest ? ExitCode.Ok : ExitCode.Found;
  },
};
