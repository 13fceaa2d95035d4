/** Logs over winston; they go to the standard error stream so that output stays clean. */
import winston from 'winston';

import type { DecisionLog, Log, LogOptions } from './types.js';
import { LogFormat } from './types.js';

const { combine, timestamp, printf, json } = winston.format;

const FORMATS = {
  [LogFormat.Json]: () => combine(timestamp(), json()),
  [LogFormat.Human]: () =>
    combine(
      timestamp(),
      printf(
        (line) => `${String(line.timestamp)} ${line.level} [${String(line.part)}] ${String(line.message)}`,
      ),
    ),
};

function wrap(logger: winston.Logger, label: string): Log {
  return {
    error: (text) => {
      logger.error(text, { part: label });
    },
    warn: (text) => {
      logger.warn(text, { part: label });
    },
    info: (text) => {
      logger.info(text, { part: label });
    },
    debug: (text) => {
      logger.debug(text, { part: label });
    },
    part: (next) => wrap(logger, next),
  };
}

/**
 * Makes a log.
 * @param options - Level, format and stream.
 * @param label - Prefix of the first part.
 * @returns The log.
 */
export function createLog(options: LogOptions, label = 'daemon'): Log {
  const logger = winston.createLogger({
    level: options.level,
    format: FORMATS[options.format](),
    transports: [new winston.transports.Stream({ stream: options.stream ?? process.stderr })],
  });
  return wrap(logger, label);
}

/**
 * Makes a log that writes nothing, for tests and replays.
 * @returns The log.
 */
export function createSilentLog(): DecisionLog {
  const log: DecisionLog = {
    error: () => undefined,
    warn: () => undefined,
    info: () => undefined,
    debug: () => undefined,
    decide: () => undefined,
    hasDetails: false,
    detail: () => undefined,
    part: () => log,
  };
  return log;
}
