/** Engines whose events name the software version and the run that wrote them. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import {
  EngineState,
  respondMisdirected,
  respondToOrder,
  respondWithReport,
} from '@celeryyoke/adapter/testing';
import { createSystemTimers } from '@celeryyoke/core';
import type { Random, RawRequest } from '@celeryyoke/routing/testing';
import { headerValue, parseRequest, PathCuts } from '@celeryyoke/routing/testing';

const HOST = '127.0.0.1';
/** Number of events in each stream, and the time between two of them, in milliseconds. */
export const EVENTS = 30;
export const EVENT_MS = 60;
/** Time that an engine takes for the second half of an event that it sends in two, in milliseconds. */
const HALF_MS = 8;
const SPLIT_CHANCE = 0.3;
/** Share of the connections that end with half an event, and of those that are reset. */
const HALF_EVENT_CHANCE = 0.5;
const RESET_CHANCE = 0.5;
/** Longest time that an engine takes for a copy, in milliseconds. */
const MAX_COPY_MS = 30;

const timers = createSystemTimers();

/** How engines write their streams. */
export interface StreamStyle {
  /** Formats an event; the default is its id and its data. */
  readonly format?: (id: number, data: string) => string;
  /** Returns the ids that a run sends which is to go on after an event; the default is all that follow. */
  readonly ids?: (after: number, random: Random) => readonly number[];
  /** Whether streams have neither a length nor chunks. */
  readonly isUnframed?: boolean;
}

/** What an engine answers to a request to stop a run and copy its state. */
export enum FinalCopy {
  Done = 'done',
  /** The run is stopped, and the answer is lost. */
  AnswerLost = 'answer-lost',
  /** The run is stopped, and there is no room for the copy. */
  NoRoom = 'no-room',
}

/** One process of an engine. */
interface EngineProcess {
  readonly id: string;
  readonly version: string;
  readonly state: EngineState;
}

/** A run of a stream. */
interface Run {
  readonly req: RawRequest;
  isStopped: boolean;
}

/** An engine at one address, which processes of any id and software version may take over one after the other. */
export class OrderedEngine {
  readonly cuts = new PathCuts();

  style: StreamStyle = {};

  finalCopy = FinalCopy.Done;

  /** Undefined while nothing runs there. */
  process: EngineProcess | undefined;

  private readonly sockets = new Set<Socket>();

  private readonly runs = new Map<string, Run>();

  private readonly server: Server;

  private boots = 0;

  constructor(
    private readonly name: string,
    private readonly random: Random,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Listens at an address.
   * @param port - Port of it; any free one by default.
   */
  async listen(port = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, HOST, resolve);
    });
  }

  /** Starts a process in place of the one before. */
  boot(id: string, version: string): void {
    this.boots += 1;
    const state = new EngineState();
    state.born = timers.wall();
    state.softwareVersion = version;
    this.process = { id, version, state };
  }

  /** Ends the process and all its connections, some of them in the middle of an event. */
  end(): void {
    this.process = undefined;
    this.resetAll();
  }

  /** Resets or closes all connections, of which some have half an event; a plain end would be that of a whole stream. */
  resetAll(): void {
    const { isUnframed } = this.style;
    for (const socket of [...this.sockets]) {
      if (this.random.chance(HALF_EVENT_CHANCE)) this.writeHalf(socket);
      if (isUnframed || this.random.chance(RESET_CHANCE)) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  private writeHalf(socket: Socket): void {
    const run = [...this.runs.values()].find(({ req }) => req.socket === socket);
    if (run !== undefined) this.write(socket, 'id: 99\nda');
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(socket: Socket): void {
    if (this.process === undefined) {
      socket.resetAndDestroy();
      return;
    }
    if (!this.cuts.accept(socket)) return;
    const { process } = this;
    this.sockets.add(socket);
    socket.setNoDelay(true);
    let unread = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      unread += chunk.toString('latin1');
      for (let next = parseRequest(unread); next !== undefined; next = parseRequest(unread)) {
        unread = next.rest;
        this.take({ head: next.head, body: next.body, socket }, process);
      }
    });
  }

  private take(req: RawRequest, process: EngineProcess): void {
    const [, path] = req.head.split(' ');
    const isReport = path === '/v1/report';
    // A report may be asked of any engine.
    const anyId = isReport ? process.id : undefined;
    const expected = headerValue(req.head, 'celeryyoke-expect-instance') ?? anyId;
    if (expected !== process.id) respondMisdirected(req);
    else if (isReport) respondWithReport(req, process.state);
    else if (path === '/v1/order') respondToOrder(req, process.state);
    else if (path === '/v1/kv-move') this.copy(req);
    else void this.stream(req, process);
  }

  private copy(req: RawRequest): void {
    const { id, last } = JSON.parse(req.body) as { id: string; last: boolean };
    const run = this.runs.get(id);
    const answer = (status: string, body: string): void => {
      req.socket.write(`HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    };
    if (run === undefined) {
      answer('404 Not Found', '{}');
      return;
    }
    const body = JSON.stringify({ handle: `h-${id}`, created: 1 });
    if (!last) {
      answer('200 OK', body);
      return;
    }
    run.isStopped = true;
    run.req.socket.end();
    this.runs.delete(id);
    const answers: Readonly<Record<FinalCopy, () => void>> = {
      [FinalCopy.Done]: () => answer('200 OK', body),
      [FinalCopy.AnswerLost]: () => req.socket.destroy(),
      [FinalCopy.NoRoom]: () => answer('503 Service Unavailable', body),
    };
    void timers.sleep(this.random.between(0, MAX_COPY_MS)).then(answers[this.finalCopy]);
  }

  private async stream(req: RawRequest, { version }: EngineProcess): Promise<void> {
    const { head, socket } = req;
    const { style, random } = this;
    const id = headerValue(head, 'celeryyoke-request-id') ?? '';
    const after = Number(headerValue(head, 'last-event-id') ?? 0);
    const run: Run = { req, isStopped: false };
    this.runs.set(id, run);
    const framing = style.isUnframed ? '' : 'Transfer-Encoding: chunked\r\n';
    socket.write(
      `HTTP/1.1 200 OK\r\nCeleryyoke-Request-Id: ${id}\r\nCeleryyoke-Response-Seal: seal\r\n` +
        `Content-Type: text/event-stream\r\n${framing}\r\n`,
    );
    const ids = style.ids?.(after, random) ?? following(after);
    const data = `${version} ${this.name}.${this.boots}.${id}.${after} ${after}`;
    const format = style.format ?? formatEvent;
    const isOpen = (): boolean => !socket.destroyed && !run.isStopped;
    for (const event of ids) {
      await timers.sleep(EVENT_MS);
      if (!isOpen()) break;
      const text = format(event, data);
      const cut = random.chance(SPLIT_CHANCE) ? Math.floor(random.between(1, text.length)) : text.length;
      this.write(socket, text.slice(0, cut));
      if (cut === text.length) continue;
      await timers.sleep(HALF_MS);
      if (isOpen()) this.write(socket, text.slice(cut));
    }
    if (this.runs.get(id) === run) this.runs.delete(id);
    if (!isOpen()) return;
    if (style.isUnframed) socket.end();
    else socket.write('0\r\n\r\n');
  }

  private write(socket: Socket, text: string): void {
    if (this.style.isUnframed) socket.write(text);
    else socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
  }
}

/** Returns a format for events with a comment of as many bytes. */
export function longFormat(bytes: number): NonNullable<StreamStyle['format']> {
  const comment = `:${'x'.repeat(bytes)}\n`;
  return (id, data) => `id: ${id}\n${comment}data: ${data}\n\n`;
}

function formatEvent(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

/** Ids of the events that follow one. */
export function following(after: number): number[] {
  return Array.from({ length: Math.max(0, EVENTS - after) }, (_, index) => after + 1 + index);
}
