/** A process of some replicas, driven by messages of the run that started it. */
import { createSystemTimers } from '@celeryyoke/core';

import type { Arrival, ReplicaCommand, ReplicaNews, ReplicaOptions } from './messages.js';
import { SoakReplica } from './replica.js';

/** Interval at which arrivals are reported, in milliseconds. */
const TELL_MS = 200;

const replicas = new Map<string, SoakReplica>();
const arrivals: Arrival[] = [];

function tell(news: ReplicaNews): void {
  process.send?.(news);
}

async function start(options: readonly ReplicaOptions[]): Promise<void> {
  const ports: [string, number][] = [];
  for (const option of options) {
    const replica = new SoakReplica(option, {
      onArrival: (arrival) => arrivals.push(arrival),
      onCrash: (crash) => tell({ type: 'crashed', crash }),
      onFall: (fall) => tell({ type: 'fell', fall }),
      onAbandoned: (abandonment) => tell({ type: 'abandoned', abandonment }),
      onRestart: () => tell({ type: 'restarted', id: option.id }),
    });
    replicas.set(option.id, replica);
    ports.push([option.id, await replica.listen()]);
  }
  tell({ type: 'started', ports });
}

const COMMANDS: {
  readonly [Type in ReplicaCommand['type']]: (command: Extract<ReplicaCommand, { type: Type }>) => void;
} = {
  start: (command) => {
    void start(command.replicas);
  },
  leave: ({ ids }) => {
    for (const id of ids) replicas.get(id)?.leave();
  },
  replace: ({ ids }) => {
    for (const id of ids) replicas.get(id)?.replace();
  },
  upgrade: ({ ids, softwareVersion }) => {
    for (const id of ids) replicas.get(id)?.upgrade(softwareVersion);
  },
  behave: ({ ids, behaviour }) => {
    for (const id of ids) Object.assign(replicas.get(id) ?? {}, { behaviour });
  },
  brittle: ({ ids, isBrittle }) => {
    for (const id of ids) replicas.get(id)?.setBrittle(isBrittle);
  },
  cut: ({ hosts, cut }) => {
    for (const replica of replicas.values()) replica.cut(hosts, cut);
  },
  hold: ({ ids, what, isHeld }) => {
    for (const id of ids) replicas.get(id)?.hold(what, isHeld);
  },
};

process.on('message', (command: ReplicaCommand) => COMMANDS[command.type](command as never));
// The run has ended.
process.on('disconnect', () => process.exit(0));
createSystemTimers().repeat(TELL_MS, () => {
  if (arrivals.length > 0) tell({ type: 'arrivals', arrivals: arrivals.splice(0) });
});
