/** Reads options, whose values come untyped from the command line. */
import { CeleryyokeError } from '@celeryyoke/core';

import type { CliOptions } from './types.js';

/**
 * Reads a text.
 * @param options - The options.
 * @param name - The option's name.
 * @returns The text, or undefined when it was not given.
 */
export function textOption(options: CliOptions, name: string): string | undefined {
  const value = options[name];
  return value === undefined ? undefined : String(value);
}

/**
 * Reads a text that must be given.
 * @param options - The options.
 * @param name - The option's name.
 * @returns The text.
 * @throws CeleryyokeError CommandInvalid when it was not given.
 */
export function requiredText(options: CliOptions, name: string): string {
  const value = textOption(options, name);
  if (value === undefined)
    throw new CeleryyokeError('CommandInvalid', { reason: `--${name} must be given.` });
  return value;
}

function readMoment(text: string): number {
  const atMs = Date.parse(text);
  if (Number.isNaN(atMs)) throw new CeleryyokeError('CommandInvalid', { reason: `"${text}" is not a time.` });
  return atMs;
}

/**
 * Reads a moment.
 * @param options - The options.
 * @param name - The option's name.
 * @returns Milliseconds since the epoch, or undefined when it was not given.
 * @throws CeleryyokeError CommandInvalid when it is no time.
 */
export function momentOption(options: CliOptions, name: string): number | undefined {
  const text = textOption(options, name);
  return text === undefined ? undefined : readMoment(text);
}

/**
 * Reads a moment that must be given.
 * @param options - The options.
 * @param name - The option's name.
 * @returns Milliseconds since the epoch.
 * @throws CeleryyokeError CommandInvalid when it was not given or is no time.
 */
export function requiredMoment(options: CliOptions, name: string): number {
  return readMoment(requiredText(options, name));
}

/**
 * Reads a whole number.
 * @param options - The options.
 * @param name - The option's name.
 * @param least - Least value allowed.
 * @returns The number, or undefined when it was not given.
 * @throws CeleryyokeError CommandInvalid when it is none.
 */
export function wholeOption(options: CliOptions, name: string, least: number): number | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= least) return value;
  throw new CeleryyokeError('CommandInvalid', {
    reason: `--${name} is "${String(value)}", expected a whole number of at least ${least}.`,
  });
}

/**
 * Reads a switch.
 * @param options - The options.
 * @param name - The option's name.
 * @returns Whether it is on.
 */
export function switchOption(options: CliOptions, name: string): boolean {
  return options[name] === true;
}
