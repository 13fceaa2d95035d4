/**
 * Joins the lines of several daemons into the story of one request, in order and in plain words: its own decisions,
 * and around them what the daemons came to believe of the replicas that it met.
 */
import type { LogLine } from './lines.js';

/** How far before and after a request what concerns its replicas belongs to its story, in milliseconds. */
const BEFORE_MS = 3000;
const AFTER_MS = 1500;

/** Kinds of lines that say what a daemon came to believe. */
const BELIEFS: ReadonlySet<string> = new Set([
  'replica.state',
  'replica.declared',
  'peer.state',
  'lease.gained',
  'lease.lost',
  'config.in-force',
  'version.declared',
  'quota.mode',
  'note.warn',
]);

/** Facts that are told elsewhere in a row. */
const TOLD: ReadonlySet<string> = new Set(['at', 'process', 'level', 'part', 'kind', 'text', 'request']);

/** What the outcome of a request means for its caller. */
const MEANINGS: Readonly<Record<string, string>> = {
  notRun: 'It did not run, the answer says so truly, and the caller may come back.',
  outcomeUnknown: 'A replica may have run it, and no answer came back; it must not be taken for undone.',
  timedOut: 'Its time was over; a replica may have run it.',
  quarantined: 'It did not run: replicas have crashed under it before, and it is refused for a time.',
  unauthorized: 'It did not run: its key was not valid in the configuration version that the line names.',
  overQuota: 'It did not run: its account had used up its quota. The line names who decided.',
};

/** Kinds of lines that end a request before it is executed, and what they mean. */
const REFUSALS: Readonly<Record<string, string>> = {
  'request.unauthorized': 'unauthorized',
  'request.over-quota': 'overQuota',
};

/**
 * Tells the story of a request.
 * @param request - Its id.
 * @param lines - Lines of all daemons, in any order.
 * @returns The story, a row each; empty when no line names the request.
 */
export function tellStory(request: string, lines: readonly LogLine[]): string[] {
  const own = lines.filter((line) => line.request === request);
  if (own.length === 0) return [];
  const from = Math.min(...own.map(({ at }) => at)) - BEFORE_MS;
  const to = Math.max(...own.map(({ at }) => at)) + AFTER_MS;
  const replicas = new Set(own.flatMap(({ replica }) => (replica === undefined ? [] : [replica])));
  const processes = new Set(own.map(({ process }) => process));
  const around = lines.filter(
    (line) => line.at >= from && line.at <= to && concerns(line, replicas, processes),
  );
  const start = Math.min(...own.map(({ at }) => at));
  const rows = [...own, ...around].sort((left, right) => left.at - right.at).map((line) => tell(line, start));
  return [...new Set(rows), ...conclude(own)];
}

function concerns(line: LogLine, replicas: ReadonlySet<string>, processes: ReadonlySet<string>): boolean {
  if (line.request !== undefined) return false;
  if (line.replica !== undefined) return replicas.has(line.replica);
  return BELIEFS.has(line.kind) && processes.has(line.process);
}

function tell(line: LogLine, start: number): string {
  const offset = `${line.at >= start ? '+' : '-'}${Math.abs(line.at - start)} ms`;
  const facts = Object.entries(line).filter(([name, value]) => !TOLD.has(name) && value !== undefined);
  const detail = facts.map(([name, value]) => `${name} ${String(value)}`).join(', ');
  return `${offset.padStart(9)}  ${line.process}: ${line.text}${detail === '' ? '' : ` (${detail})`}`;
}

function conclude(own: readonly LogLine[]): string[] {
  const end = own.findLast(({ kind }) => kind === 'request.ended');
  const refusal = own.findLast(({ kind }) => kind in REFUSALS);
  if (end === undefined && refusal !== undefined) return [`Outcome: ${MEANINGS[REFUSALS[refusal.kind]!]!}`];
  if (end === undefined) return ['No line tells its end: it succeeded, or its daemon ended first.'];
  return [`Outcome: ${MEANINGS[String(end.outcome)] ?? String(end.outcome)}`];
}
