/** `celeryyoke explain`: why a request went where it went, from a daemon or from logs. */
import { readFile } from 'node:fs/promises';

import { callDaemon } from '../../core/admin/index.js';
import { ExitCode } from '../../core/program/index.js';
import type { LogLine } from '../../core/stories/index.js';
import { readLines, tellStory } from '../../core/stories/index.js';

/** Options of the command. */
export interface ExplainOptions {
  /** Base URL of any daemon's operators' listener. */
  readonly daemon: string;
  /** Writes JSON. */
  readonly json?: boolean;
}

function showField(key: string, value: unknown): string {
  if (Array.isArray(value)) return `${key}:\n${value.map((one) => `  - ${showValue(one)}`).join('\n')}`;
  return `${key}: ${showValue(value)}`;
}

function showValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/**
 * Runs the command.
 * @param requestId - Id that the answer's headers gave.
 * @param options - Over which daemon.
 * @param print - Writes a block of text.
 */
export async function runExplain(
  requestId: string,
  options: ExplainOptions,
  print: (text: string) => void,
): Promise<void> {
  const path = `/admin/explain?id=${encodeURIComponent(requestId)}`;
  const record = await callDaemon<Record<string, unknown>>(options.daemon, 'GET', path);
  const text = Object.entries(record).map(([key, value]) => showField(key, value));
  print(options.json ? JSON.stringify(record, null, 2) : text.join('\n'));
}

/**
 * Tells the story of a request from the logs of several daemons.
 * @param requestId - Its id.
 * @param files - Log files.
 * @param print - Writes a block of text.
 * @returns Ok, or Found when no line names the request.
 */
export async function explainFromLogs(
  requestId: string,
  files: readonly string[],
  print: (text: string) => void,
): Promise<ExitCode> {
  const lines: LogLine[] = [];
  for (const file of files) lines.push(...readLines(await readFile(file, 'utf8')));
  const story = tellStory(requestId, lines);
  print(story.length > 0 ? story.join('\n') : `No line names ${requestId}.`);
  return story.length > 0 ? ExitCode.Ok : ExitCode.Found;
}
