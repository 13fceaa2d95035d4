/** Reads flags over cac. */
import { cac } from 'cac';

import { CeleryyokeError } from '../errors/index.js';
import { flagOf, variableOf } from './names.js';
import { unknownSetting } from './nearest.js';
import type { RawSetting, SettingRows } from './types.js';

const HELP_FLAGS: readonly string[] = ['--help', '-h'];
/** The program and the script, which cac expects before the arguments. */
const ARGV_HEAD = ['node', 'celeryyoked'];
/** cac turns text that looks like a number into one; this mark in front of it keeps it text. */
const TEXT_MARK = '\u0001';

function markText(arg: string): string {
  if (!arg.startsWith('-')) return `${TEXT_MARK}${arg}`;
  return arg.replace('=', `=${TEXT_MARK}`);
}

function unmarkText(value: unknown): string | boolean {
  return typeof value === 'boolean' ? value : String(value).replace(TEXT_MARK, '');
}

function kebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function secretOnCommandLine(key: string): CeleryyokeError {
  return new CeleryyokeError('SettingInvalid', {
    place: `--${flagOf(key)}`,
    value: '(secret)',
    expected: `to be given as ${variableOf(key)}, which other processes can't read`,
  });
}

function toRaw(place: string, value: unknown): RawSetting {
  if (Array.isArray(value))
    throw new CeleryyokeError('SettingInvalid', {
      place,
      value: value.map(unmarkText).join(' '),
      expected: 'one value',
    });
  return { place, value: unmarkText(value) };
}

/**
 * Tells whether the command line asks for help.
 * @param argv - Arguments after the program's name.
 * @returns Whether it does.
 */
export function isHelpRequested(argv: readonly string[]): boolean {
  return argv.some((arg) => HELP_FLAGS.includes(arg));
}

/**
 * Reads the flags of a command line.
 * @param argv - Arguments after the program's name.
 * @param rows - The settings table; secret settings are refused as flags.
 * @returns What was given, by key.
 * @throws CeleryyokeError SettingUnknown or SettingInvalid.
 */
export function readCommandLine(argv: readonly string[], rows: SettingRows): Map<string, RawSetting> {
  const cli = cac(ARGV_HEAD[1]);
  const keys = new Map<string, string>();
  for (const [key, row] of Object.entries(rows)) {
    keys.set(flagOf(key), key);
    cli.option(`--${flagOf(key)} [value]`, row.doc);
  }
  const known = [...keys.keys()].map((flag) => `--${flag}`);
  const { args, options } = cli.parse([...ARGV_HEAD, ...argv.map(markText)], { run: false });
  const extra = [...args, ...(options['--'] as readonly string[])];
  if (extra.length > 0) throw unknownSetting(String(unmarkText(extra[0])), known);
  const raws = new Map<string, RawSetting>();
  for (const [name, value] of Object.entries(options)) {
    if (name === '--') continue;
    const flag = kebabCase(name);
    const key = keys.get(flag);
    if (key === undefined) throw unknownSetting(`--${flag}`, known);
    if (rows[key]?.secret) throw secretOnCommandLine(key);
    raws.set(key, toRaw(`--${flag}`, value));
  }
  return raws;
}
