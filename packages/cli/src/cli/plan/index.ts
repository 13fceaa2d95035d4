/** `celeryyoke plan`: what loads where and when for the events, as a table and as a picture. */
import { writeFile } from 'node:fs/promises';

import type { EventPlan } from '@celeryyoke/placement';
import { planEvents } from '@celeryyoke/placement';

import type { CliCommand } from '../../core/program/index.js';
import { ExitCode, requiredMoment, textOption } from '../../core/program/index.js';
import { readDocuments } from '../../core/sites/index.js';
import { drawPlan } from './draw.js';
import { planTable, unplacedLines } from './table.js';

export { lateLines, unplacedLines } from './table.js';

/** Whether all that the events need is ready in time. */
function isWhole(plan: EventPlan): boolean {
  return plan.unplaced.length === 0 && plan.loads.every(({ lateMs }) => lateMs === 0);
}

/** The command. */
export const planCommand: CliCommand = {
  usage: 'plan <base> <overlay>',
  summary: 'Show what loads where and when for the events',
  options: [
    { flag: '--at <time>', summary: 'Moment of the plan, such as 2026-12-10T09:00:00+01:00' },
    { flag: '--svg <file>', summary: 'Also draw the time line' },
    { flag: '--json', summary: 'Print the plan as JSON' },
  ],
  async run([base = '', overlay = ''], options, io) {
    const { config } = await readDocuments(base, overlay);
    if (config === undefined) {
      io.complain('The documents have mistakes; run celeryyoke check.');
      return ExitCode.Failed;
    }
    const atMs = requiredMoment(options, 'at');
    const plan = planEvents(
      config,
      config.engines.map(({ name }) => name),
      atMs,
    );
    const file = textOption(options, 'svg');
    if (file !== undefined) await writeFile(file, drawPlan(plan, atMs));
    if (options.json === true) io.print(JSON.stringify(plan));
    else io.print([planTable(plan), ...unplacedLines(plan)].join('\n'));
    return isWhole(plan) ? ExitCode.Ok : ExitCode.Found;
  },
};
