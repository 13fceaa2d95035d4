/** Network of peer buses that loses, delays, duplicates and reorders messages, on manual timers. */
import type { ManualTimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import { pack, unpack } from 'msgpackr';

import type { HeartbeatSection, PeerBus, PeerIdentity } from '../../src/index.js';

/** Draws an integer from 0 up to, but not including, a bound. */
export type Draw = (bound: number) => number;

const MAX_DELAY_MS = 60;
const LOSS_ONE_IN = 30;
const DUPLICATE_ONE_IN = 6;

type Handler = (raw: unknown, from: PeerIdentity) => Promise<unknown>;

/** One process on the network. */
export interface LossyNetNode {
  readonly bus: PeerBus;
  isAlive: boolean;
}

interface Entry extends LossyNetNode {
  readonly handlers: Map<string, Handler>;
  readonly sections: HeartbeatSection[];
}

/** Delivers calls and heartbeats between processes; `cuts` holds the blocked directions as `from>to`. */
export class LossyNet {
  private readonly nodes = new Map<string, Entry>();

  readonly cuts = new Set<string>();

  constructor(
    private readonly timers: ManualTimerService,
    private readonly draw: Draw,
  ) {}

  /** Adds a process, which replaces the previous one of its name. */
  join(self: PeerIdentity): LossyNetNode {
    const entry: Entry = {
      isAlive: true,
      handlers: new Map(),
      sections: [],
      bus: {
        self,
        handle: (procedure, handler) => {
          entry.handlers.set(procedure.name, (raw, from) => handler(procedure.parse(raw), from));
        },
        addHeartbeatSection: (section) => entry.sections.push(section),
        call: (peer, procedure, input, options) =>
          this.call(entry, peer, procedure.name, input, options.timeoutMs) as Promise<never>,
      },
    };
    this.nodes.set(self.name, entry);
    return entry;
  }

  /** Whether messages are delivered in this direction now. */
  passes(from: string, to: string): boolean {
    return !this.cuts.has(`${from}>${to}`) && this.nodes.get(to)?.isAlive === true;
  }

  /** Sends one heartbeat from every process to every other. */
  sendHeartbeats(onHeard: (at: string, from: PeerIdentity) => void): void {
    for (const node of this.nodes.values()) {
      for (const peer of this.nodes.values())
        if (node !== peer && node.isAlive) this.sendHeartbeat(node, peer, onHeard);
    }
  }

  private sendHeartbeat(node: Entry, peer: Entry, onHeard: (at: string, from: PeerIdentity) => void): void {
    const { name } = peer.bus.self;
    const data = node.sections.map((section) => copy(section.collect(name)));
    this.send(node.bus.self.name, name, () => {
      if (!peer.isAlive) return;
      onHeard(name, node.bus.self);
      data.forEach((part, index) => peer.sections[index]?.merge(node.bus.self, part));
    });
  }

  private call(node: Entry, peer: string, name: string, input: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const { self } = node.bus;
      this.timers.after(timeoutMs, () => {
        if (node.isAlive) reject(new CeleryyokeError('PeerUnreachable', { peer }));
      });
      if (!node.isAlive) return;
      this.send(self.name, peer, () => {
        const target = this.nodes.get(peer);
        const response = target?.handlers.get(name)?.(copy(input), self);
        response?.then(
          (output) => {
            if (!target?.isAlive) return;
            this.send(peer, self.name, () => {
              if (node.isAlive) resolve(copy(output));
            });
          },
          () => undefined,
        );
      });
    });
  }

  private send(from: string, to: string, deliver: () => void): void {
    if (from === to) {
      deliver();
      return;
    }
    if (this.draw(LOSS_ONE_IN) === 0) return;
    const copies = this.draw(DUPLICATE_ONE_IN) === 0 ? 2 : 1;
    for (let index = 0; index < copies; index += 1) {
      this.timers.after(this.draw(MAX_DELAY_MS), () => {
        if (this.passes(from, to)) deliver();
      });
    }
  }
}

function copy(value: unknown): unknown {
  return value === undefined ? undefined : unpack(pack(value));
}
