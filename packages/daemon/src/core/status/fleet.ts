/** Answers operators' questions about the whole fleet over any one daemon. */
import type { PeerBus, PeerCallOptions, Membership } from '@celeryyoke/fleet';
import { HostRole } from '@celeryyoke/platform';

import type { DrainAnswer } from './procedures.js';
import { DRAIN_BEGIN, REQUEST_EXPLAIN, STATUS_READ } from './procedures.js';
import type { DaemonStatus, StatusBoard } from './types.js';

const CALL_OPTIONS: PeerCallOptions = { timeoutMs: 2000 };

/** Questions about the fleet. */
export interface FleetQuestions {
  /** Reads the status of every entry host on the list. */
  status(): Promise<readonly DaemonStatus[]>;
  /** Finds a request's record wherever it was served; undefined when no daemon has it. */
  explain(requestId: string): Promise<unknown>;
  /** Asks a daemon to drain. */
  drain(host: string): Promise<DrainAnswer>;
}

/** Options of the questions. */
export interface FleetQuestionsOptions {
  readonly bus: PeerBus;
  readonly membership: Membership;
  readonly board: StatusBoard;
  /** Looks a request up in this daemon's own records. */
  readonly explain: (requestId: string) => unknown;
  /** Begins this daemon's own drain. */
  readonly beginDrain: (cause: string) => void;
}

function statusOfSelf(options: FleetQuestionsOptions): DaemonStatus {
  const { name, incarnation } = options.bus.self;
  return { host: name, incarnation, reached: true, sections: options.board.collect() };
}

function serve(options: FleetQuestionsOptions): void {
  const { bus } = options;
  bus.handle(STATUS_READ, () => Promise.resolve(statusOfSelf(options)));
  bus.handle(REQUEST_EXPLAIN, (input) => Promise.resolve(options.explain(input.requestId) ?? null));
  bus.handle(DRAIN_BEGIN, (_input, from) => {
    options.beginDrain(`asked by ${from.name}`);
    return Promise.resolve({ host: bus.self.name, draining: true });
  });
}

/**
 * Serves the questions to peers and asks them of peers.
 * @param options - What they need.
 * @returns The questions.
 */
export function createFleetQuestions(options: FleetQuestionsOptions): FleetQuestions {
  const { bus, membership } = options;
  serve(options);

  const entryHosts = (): string[] => {
    const names = membership.hosts(HostRole.Entry).map((host) => host.name);
    return names.includes(bus.self.name) ? names : [bus.self.name, ...names];
  };

  const statusOf = async (host: string): Promise<DaemonStatus> => {
    try {
      return await bus.call(host, STATUS_READ, {}, CALL_OPTIONS);
    } catch {
      return { host, incarnation: membership.incarnationOf(host) ?? 0, reached: false, sections: {} };
    }
  };

  const explainAt = async (host: string, requestId: string): Promise<unknown> => {
    const found = await bus.call(host, REQUEST_EXPLAIN, { requestId }, CALL_OPTIONS).catch(() => null);
    return found ?? undefined;
  };

  return {
    status: () => Promise.all(entryHosts().map(statusOf)),
    async explain(requestId) {
      const answers = await Promise.all(entryHosts().map((host) => explainAt(host, requestId)));
      return answers.find((answer) => answer !== undefined);
    },
    drain: (host) => bus.call(host, DRAIN_BEGIN, {}, CALL_OPTIONS),
  };
}
