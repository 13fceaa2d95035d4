/** Commands that talk to a running daemon, bound into the table. */
import type { CliCommand, CliOption, CliOptions } from '../../core/program/index.js';
import { ExitCode, requiredText, switchOption, textOption, wholeOption } from '../../core/program/index.js';
import { runAudit } from '../audit/index.js';
import { runConfig } from '../config/index.js';
import { runDrain } from '../drain/index.js';
import { explainFromLogs, runExplain } from '../explain/index.js';
import { runStatus } from '../status/index.js';

const DAEMON: CliOption = {
  flag: '--daemon <url>',
  summary: "Any daemon's listener for operators",
  default: 'http://127.0.0.1:8082',
};

const JSON_SWITCH: CliOption = { flag: '--json', summary: 'Write JSON' };

function daemonOf(options: CliOptions): string {
  return requiredText(options, 'daemon');
}

/** Commands that talk to a running daemon. */
export const daemonCommands: readonly CliCommand[] = [
  {
    usage: 'status',
    summary: 'Show the fleet as a daemon sees it',
    options: [
      DAEMON,
      JSON_SWITCH,
      { flag: '--watch', summary: 'Show it again every second' },
      { flag: '--section <name>', summary: 'Show only one section' },
    ],
    async run(_args, options, io) {
      const section = textOption(options, 'section');
      const json = switchOption(options, 'json');
      const watch = switchOption(options, 'watch');
      await runStatus({ daemon: daemonOf(options), json, watch, section }, io.print);
      return ExitCode.Ok;
    },
  },
  {
    usage: 'config <action>',
    summary: "With the action `status`: show each daemon's revision and digest, and since when",
    options: [DAEMON, JSON_SWITCH],
    run([action = ''], options, io) {
      const json = switchOption(options, 'json');
      return runConfig(action, { daemon: daemonOf(options), json }, io);
    },
  },
  {
    usage: 'audit',
    summary: 'Read the audit trail of a daemon',
    options: [
      DAEMON,
      JSON_SWITCH,
      { flag: '--follow', summary: 'Wait for new records' },
      { flag: '--after <number>', summary: 'Leave out records up to this number', default: 0 },
    ],
    async run(_args, options, io) {
      const after = wholeOption(options, 'after', 0);
      const json = switchOption(options, 'json');
      const follow = switchOption(options, 'follow');
      await runAudit({ daemon: daemonOf(options), json, follow, after }, io.print);
      return ExitCode.Ok;
    },
  },
  {
    usage: 'drain <host>',
    summary: 'Let one daemon finish its work and exit',
    options: [DAEMON],
    async run([host = ''], options, io) {
      await runDrain(host, { daemon: daemonOf(options) }, io.print);
      return ExitCode.Ok;
    },
  },
  {
    usage: 'explain <request-id>',
    summary: 'Tell why a request went where it went',
    options: [
      DAEMON,
      JSON_SWITCH,
      {
        flag: '--logs <files>',
        summary: 'Read these log files, with commas between them, and ask no daemon',
      },
    ],
    async run([requestId = ''], options, io) {
      const logs = textOption(options, 'logs');
      if (logs !== undefined) return explainFromLogs(requestId, logs.split(','), io.print);
      const json = switchOption(options, 'json');
      await runExplain(requestId, { daemon: daemonOf(options), json }, io.print);
      return ExitCode.Ok;
    },
  },
];
