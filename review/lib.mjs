/** Shared by the scripts of this review: starts daemons as the deploy file does, before stand-ins on loopback. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = resolve(fileURLToPath(import.meta.url), '../..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
const EXIT = { held: 0, broken: 1, notRun: 2 };
const LAST_RESORT_MS = 110_000;
const READY_MS = 15_000;

export const sleep = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits until a condition holds; throws when it does not in time. */
export async function waitFor(what, condition, ms = READY_MS) {
  const end = Date.now() + ms;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`Not in time: ${what}.`);
    await sleep(20);
  }
}

/** Returns a port that is free on a loopback address. */
export function freePort(host) {
  return new Promise((done, fail) => {
    const server = createServer();
    server.once('error', fail);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** One run of a case: its record, its temporary folder, and the processes that it has started. */
export class CaseRun {
  constructor(folder) {
    this.recordFile = join(folder, 'record.txt');
    this.startedAt = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.daemons = [];
    writeFileSync(this.recordFile, `trouble: ${HAS_TROUBLE ? 'yes' : 'no'}\n`);
  }

  /** Adds a line with the time since the start. */
  record(text) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds.padStart(8)} s  ${text}\n`);
  }

  /** Starts a daemon with the `run` line of the deploy file. */
  async startDaemon({ store, host = '127.0.0.1', seeds = [], isFirstStart = true, extra = {}, ports }) {
    const [front, ready, control] = ports ?? [
      await freePort(host),
      await freePort(host),
      await freePort(host),
    ];
    const name = `front-${this.daemons.length + 1}`;
    const settings = {
      node: name,
      role: 'daemon',
      machine_class: 'front',
      serves: 'front,control',
      ip: host,
      zone: 'z',
      region: 'r',
      'zones.z': 'r',
      'listen.front': `${host}:${front}`,
      'listen.ready': `${host}:${ready}`,
      'listen.control': `${host}:${control}`,
      seeds: seeds.join(','),
      bootstrap: isFirstStart,
      'limits.cpu_share': 0.675,
      'limits.cores': 1,
      'limits.memory_mb': 350,
      'limits.max_fds': 4100,
      heartbeat_ms: 1200,
      'bounds.stable_window_ms': 3000,
      'bounds.ack_ms': 4000,
      'bounds.drain_ms': 2000,
      'bounds.grace_s': 8,
      'bounds.loss_slack_ms': 200,
      'bounds.config_apply_ms': 2000,
      'bounds.rollback_slack_ms': 250,
      'bounds.max_skew_ms': 5000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_window_s': 10,
      'bounds.budget_slack': 54,
      'bounds.recover_s': 12,
      'bounds.require_fence': true,
      'bounds.lease_ms': 3000,
      'bounds.thaw_ms': 300,
      'platform.address': `127.0.0.1:${store}`,
      ...extra,
    };
    const file = join(this.folder, `${name}.conf`);
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}\n`);
    writeFileSync(file, lines.join(''));
    const daemon = { name, host, front, ready, control, file, peer: `${host}:${control}`, exit: undefined };
    this.spawn(daemon);
    this.daemons.push(daemon);
    return daemon;
  }

  /** Starts the process of a daemon, for the first time or again. */
  spawn(daemon) {
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'));
    const [command, ...words] = run.split(' ');
    const child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CELERYYOKE_NODE_FILE: daemon.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = { child, hasEnded: false };
    Object.assign(daemon, { child, started, exit: undefined });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (data) => appendFileSync(join(this.folder, `${daemon.name}.log`), data));
    child.on('exit', (code, signal) => {
      started.hasEnded = true;
      Object.assign(daemon, { exit: { code, signal, at: Date.now() } });
      this.record(`${daemon.name} (process ${child.pid}) has ended: code ${code}, signal ${signal}`);
    });
    this.record(`${daemon.name} started as process ${child.pid}`);
  }

  /** Text that a daemon has logged. */
  logOf(daemon) {
    try {
      return readFileSync(join(this.folder, `${daemon.name}.log`), 'utf8');
    } catch {
      return '';
    }
  }

  /** Ends all processes and removes the temporary folder. */
  async end() {
    for (const { child, started } of this.daemons) {
      if (started.hasEnded) continue;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await waitFor('the end of all processes', () => this.daemons.every(({ started }) => started.hasEnded));
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true });
    else process.stdout.write(`${this.folder}\n`);
  }
}

/** Sends one request on a new connection and reads to its end; `left` is called with the socket. */
export function request({ host, port }, text, { timeoutMs = 30_000, onSocket, onData } = {}) {
  return new Promise((done) => {
    const startedAt = Date.now();
    const chunks = [];
    let wasReset = false;
    const socket = connect({ host, port }, () => socket.write(text));
    onSocket?.(socket);
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      onData?.(chunk, socket);
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('close', () => {
      clearTimeout(timer);
      done({ text: Buffer.concat(chunks).toString('latin1'), wasReset, tookMs: Date.now() - startedAt });
    });
  });
}

/** Waits until the readiness probe of a daemon succeeds. */
export async function waitUntilReady({ host, ready }) {
  const probe = `GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`;
  await waitFor('a daemon is ready', async () => {
    const { text } = await request({ host, port: ready }, probe, { timeoutMs: 500 });
    return text.startsWith('HTTP/1.1 200');
  });
}

let lastId = 0;

/** Formats a request of a client. */
export function formatRequest(
  path,
  { method = 'POST', headers = '', body = 'p', id, deadlineMs = 15_000 } = {},
) {
  lastId += 1;
  const requestId = id ?? `r${lastId}`;
  const length = method === 'GET' ? '' : `Content-Length: ${body.length}\r\n`;
  return (
    `${method} ${path} HTTP/1.1\r\nHost: app.example\r\nCeleryyoke-Request-Id: ${requestId}\r\n` +
    `Celeryyoke-Deadline-Remaining: ${deadlineMs}\r\n${headers}${length}\r\n${method === 'GET' ? '' : body}`
  );
}

/** Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
  const run = new CaseRun(folder);
  const lastResort = setTimeout(() => {
    for (const { child } of run.daemons) child.kill('SIGKILL');
    process.exit(EXIT.notRun);
  }, LAST_RESORT_MS);
  let code = EXIT.notRun;
  try {
    const isBroken = await play(run);
    code = isBroken ? EXIT.broken : EXIT.held;
    run.record(isBroken ? 'the rule is BROKEN' : 'the rule HELD');
  } catch (err) {
    run.record(`the case could not run: ${err.stack}`);
  }
  try {
    await run.end();
  } catch (err) {
    run.record(String(err));
  }
  clearTimeout(lastResort);
  process.exit(code);
}

/** A client that keeps its channel and sends one request after the other on it. */
export class KeptChannel {
  constructor({ host, front }) {
    this.text = '';
    this.isClosed = false;
    this.socket = connect({ host, port: front });
    this.socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
      this.check();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.settle?.({ status: 0, isClosed: true });
    });
  }

  /** Sends a request; resolves with the status of its whole answer, 0 when the channel closes or time is over. */
  send(text, timeoutMs = 30_000) {
    this.text = '';
    return new Promise((done) => {
      const timer = setTimeout(() => this.settle({ status: 0, isClosed: false }), timeoutMs);
      this.settle = (answer) => {
        clearTimeout(timer);
        this.settle = undefined;
        done(answer);
      };
      if (this.isClosed) this.settle({ status: 0, isClosed: true });
      else this.socket.write(text);
    });
  }

  check() {
    const end = this.text.indexOf('\r\n\r\n');
    if (end < 0) return;
    const length = Number(/^content-length: (\d+)$/im.exec(this.text.slice(0, end))?.[1] ?? 0);
    if (this.text.length >= end + 4 + length)
      this.settle?.({ status: Number(this.text.split(' ')[1]), isClosed: false });
  }

  close() {
    this.socket.destroy();
  }
}

/** Writes the same bytes to a socket until it closes, at what the link of a machine carries at most. */
export function writeForever(socket, bytes, { bytesPerSecond = 125_000_000, paceMs = 5 } = {}) {
  let allowed = 0;
  const timer = setInterval(() => {
    allowed = Math.min(allowed + (bytesPerSecond * paceMs) / 1000, bytesPerSecond / 10);
    while (!socket.destroyed && allowed > 0 && socket.writableLength < bytes.length) {
      socket.write(bytes);
      allowed -= bytes.length;
    }
  }, paceMs);
  socket.on('close', () => clearInterval(timer));
}
