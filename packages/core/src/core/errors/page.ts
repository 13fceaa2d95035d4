/** Writes the catalogue out as docs/RESULT_CODES.md. */
import { ERROR_CATALOGUE } from './catalogue.js';
import type { ErrorEntry, ErrorParams } from './types.js';
import { RunState } from './types.js';

const FAMILY_SIZE = 1000;

/** Headings by thousands of the code. */
const FAMILIES: Readonly<Record<number, string>> = {
  1: 'Process and settings',
  2: 'Configuration documents',
  3: "The caller's request is refused",
  4: 'Not run, and proved so',
  5: 'Outcome unknown',
  6: 'Peers and fleet',
  7: "The operator's command",
};

const RUN_TEXTS: Readonly<Record<RunState, string>> = {
  [RunState.NotRun]: 'not run',
  [RunState.Unknown]: 'may have run',
  [RunState.None]: '',
};

/** Stands for any values, and gives each its name in angle brackets. */
const PLACEHOLDERS = new Proxy<ErrorParams>({}, { get: (_, name) => `<${String(name)}>` });

function renderRow(name: string, entry: ErrorEntry): string {
  const message = `\`${entry.message(PLACEHOLDERS)}\``;
  return `| ${entry.code} | ${name} | ${entry.status} | ${RUN_TEXTS[entry.run]} | ${message} | ${entry.hint} |`;
}

/**
 * Writes the page of result codes.
 * @returns The page.
 */
export function renderResultCodesPage(): string {
  const entries: [string, ErrorEntry][] = Object.entries(ERROR_CATALOGUE);
  const sections = Object.entries(FAMILIES).flatMap(([thousands, title]) => {
    const family = entries
      .filter(([, entry]) => Math.floor(entry.code / FAMILY_SIZE) === Number(thousands))
      .sort(([, left], [, right]) => left.code - right.code);
    return [
      `## ${thousands}000: ${title}`,
      '',
      '| Code | Name | HTTP status | Was the request run? | Message | What to do |',
      '| --- | --- | --- | --- | --- | --- |',
      ...family.map(([name, entry]) => renderRow(name, entry)),
      '',
    ];
  });
  return [
    '# Result codes',
    '',
    'Written by `npm run docs` from `packages/core/src/core/errors/catalogue.ts`. A code keeps its meaning for',
    'ever. Callers find it in the field `error.code` of the body, with the HTTP status given here.',
    '"Not run" is said only where it is proved; everything else that concerns a run "may have run".',
    '',
    ...sections,
  ].join('\n');
}
