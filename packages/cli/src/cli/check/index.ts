/** `celeryyoke check`: whether documents can be published, and whether their events can be served. */
import type { SiteConfig } from '@celeryyoke/configuration';
import { createSnapshot, formatProblem } from '@celeryyoke/configuration';
import { createSystemTimers, ERROR_CATALOGUE } from '@celeryyoke/core';

import type { CliCommand, CliIo } from '../../core/program/index.js';
import { ExitCode, momentOption } from '../../core/program/index.js';
import { readDocuments } from '../../core/sites/index.js';
import { eventWarnings } from './warnings.js';

function count(amount: number, singular: string): string {
  return `${amount} ${singular}${amount === 1 ? '' : 's'}`;
}

/** Says what the documents declare, so that an operator sees whether it is what was meant. */
function summarize(config: SiteConfig): string {
  const { adapterCount, digest } = createSnapshot(1, config);
  const parts = [
    count(config.domains.length, 'failure domain'),
    count(config.engines.length, 'engine'),
    count(config.models.length, 'base model'),
    count(adapterCount, 'adapter'),
    count(config.services.length, 'plain service'),
    count(config.events.length, 'event'),
    count(config.callers.length, 'caller'),
  ];
  return `${config.site} is good: ${parts.join(', ')}.\nDigest ${digest}.`;
}

/** Warns of events; documents with warnings can be published, so that an urgent change is never held up. */
function warn(config: SiteConfig, atMs: number, io: CliIo): void {
  const warnings = eventWarnings(config, atMs);
  for (const warning of warnings) io.complain(`warning: ${warning}`);
  if (warnings.length === 0) return;
  const moment = new Date(atMs).toISOString();
  io.complain(`${count(warnings.length, 'warning')} for documents in force from ${moment}.`);
}

/** The command. */
export const checkCommand: CliCommand = {
  usage: 'check <base> <overlay>',
  summary: 'Check a base file and an overlay',
  options: [{ flag: '--at <time>', summary: 'When the documents come into force; now when left out' }],
  async run([base = '', overlay = ''], options, io) {
    const atMs = momentOption(options, 'at') ?? createSystemTimers().wall();
    const { config, problems } = await readDocuments(base, overlay);
    if (config !== undefined) {
      io.print(summarize(config));
      warn(config, atMs, io);
      return ExitCode.Ok;
    }
    const { code } = ERROR_CATALOGUE.ConfigInvalid;
    for (const problem of problems) io.complain(`error ${code}: ${formatProblem(problem)}`);
    io.complain(`${count(problems.length, 'mistake')} found; nothing can be published.`);
    return ExitCode.Found;
  },
};
