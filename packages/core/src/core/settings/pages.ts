/** Writes the settings table out, as help text and as a docs page. */
import { flagOf, variableOf } from './names.js';
import { SETTINGS_TABLE } from './table.js';
import type { SettingRow } from './types.js';
import { describeValues } from './values.js';

interface Line {
  readonly flag: string;
  readonly variable: string;
  readonly row: SettingRow<unknown>;
}

function listLines(): Line[] {
  return Object.entries(SETTINGS_TABLE).map(([key, row]) => ({
    flag: row.secret ? '' : `--${flagOf(key)}`,
    variable: variableOf(key),
    row,
  }));
}

function showDefault(row: SettingRow<unknown>): string {
  if (row.default === undefined) return 'must be set';
  if (row.secret) return 'none';
  const shown = String(row.default) || 'empty';
  return row.unit ? `${shown} ${row.unit}` : shown;
}

/**
 * Writes the help text of the daemon.
 * @returns The text.
 */
export function renderSettingsHelp(): string {
  const lines = listLines();
  const width = Math.max(...lines.map((line) => line.flag.length));
  const body = lines.map(
    ({ flag, variable, row }) =>
      `  ${flag.padEnd(width)}  ${row.doc} (${showDefault(row)})\n  ${' '.repeat(width)}  ${variable}`,
  );
  return `Usage: celeryyoked [flags]\n\nFlags go before variables, variables before defaults.\n\n${body.join('\n')}\n`;
}

/**
 * Writes docs/SETTINGS.md.
 * @returns The page.
 */
export function renderSettingsPage(): string {
  const rows = listLines().map(({ flag, variable, row }) => {
    const name = flag ? `\`${flag}\`` : 'none, secret';
    return `| ${name} | \`${variable}\` | ${describeValues(row)} | ${showDefault(row)} | ${row.doc} |`;
  });
  return [
    '# Settings of `celeryyoked`',
    '',
    'Written by `npm run docs` from the table in `packages/core/src/core/settings/table.ts`.',
    'A flag goes before its variable, and a variable before the default. An unknown flag, an unknown variable',
    'that begins with `CELERYYOKE_`, or a bad value ends the process at its start with result code 1010, 1011',
    'or 1012, the place, and the nearest right name. A switch is set off by `--no-` before its name.',
    'Secrets are read from the environment or a file and never printed.',
    '',
    '| Flag | Variable | Value | Default | Meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
