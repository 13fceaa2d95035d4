#!/usr/bin/env node
/** The binary `celeryyoked`. */
import type { Writable } from 'node:stream';

import type { AuditTrail } from '@celeryyoke/core';
import {
  AuditTarget,
  CeleryyokeError,
  createAuditLog,
  createLog,
  createSettings,
  createSystemTimers,
  isHelpRequested,
  readPeerKeys,
  renderSettingsHelp,
} from '@celeryyoke/core';

import type { Daemon } from './core/daemon/index.js';
import { createDaemon, Part } from './core/daemon/index.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const OWN_ARGUMENTS_FROM = 2;

/** Where the audit trail's own lines go. */
const AUDIT_STREAMS: Readonly<Record<AuditTarget, Writable | undefined>> = {
  [AuditTarget.Stdout]: process.stdout,
  [AuditTarget.Stderr]: process.stderr,
  [AuditTarget.None]: undefined,
};

/** The first signal drains; a second one forces. */
function handleSignals(daemon: Daemon): void {
  let signals = 0;
  const onSignal = (signal: string): void => {
    signals += 1;
    if (signals === 1) void daemon.drain(signal);
    if (signals === 2) void daemon.force(`second ${signal}`).then(() => process.exit(EXIT_FAILED));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function run(argv: readonly string[]): Promise<void> {
  const settings = createSettings(argv, process.env);
  const log = createLog({ level: settings.logLevel, format: settings.logFormat });
  const daemon = createDaemon({
    settings,
    peerKeys: () => readPeerKeys(settings),
    timers: createSystemTimers(),
    log,
    incarnation: Date.now(),
  });
  handleSignals(daemon);
  await daemon.start();
  const stream = AUDIT_STREAMS[settings.auditTarget];
  if (stream !== undefined) createAuditLog({ trail: daemon.part<AuditTrail>(Part.Audit), stream });
  await daemon.stopped;
}

const args = process.argv.slice(OWN_ARGUMENTS_FROM);
if (isHelpRequested(args)) {
  process.stdout.write(`${renderSettingsHelp()}\n`);
} else {
  try {
    await run(args);
    process.exit(0);
  } catch (err) {
    const isUsage = err instanceof CeleryyokeError;
    const text = isUsage ? `${err.code} ${err.message} ${err.entry.hint}` : String(err);
    process.stderr.write(`${text}\n`);
    process.exit(isUsage ? EXIT_USAGE : EXIT_FAILED);
  }
}
