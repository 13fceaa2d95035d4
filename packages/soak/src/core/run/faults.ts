/** What each kind of fault does to a run. */
import type { TimerService } from '@celeryyoke/core';
import type { Random } from '@celeryyoke/routing/testing';
import { PathCut } from '@celeryyoke/routing/testing';

import type { Callers } from '../callers/index.js';
import type { Fault } from '../plan/index.js';
import { FaultKind } from '../plan/index.js';
import type { RunningProcess } from '../processes/index.js';
import { LatePhase } from '../processes/index.js';
import type { CrashingPart, ReplicaFleet } from '../replicas/index.js';
import { Behaviour, EngineEnd, FIRST_VERSION, Holdable } from '../replicas/index.js';
import type { DaemonAddress, StoreDrills } from '../site/index.js';
import { GRACE_S } from '../site/index.js';
import type { Daemons } from './daemons.js';

const MS_PER_SECOND = 1000;
/** Share of a fault from which on a caller sends several copies of its request at once, and how many. */
const COPIES_SHARE = 0.7;
const COPIES = 3;
/** Time that a turn of a late event loop takes, in milliseconds. */
const MIN_LATE_TURN_MS = 100;
const MAX_LATE_TURN_MS = 900;
/** Parts that end engines, and of how many streams each has one. */
const CRASHING_PARTS: readonly (CrashingPart & { readonly every: number })[] = [
  { end: EngineEnd.Closed, afterMs: 0, every: 6 },
  { end: EngineEnd.Silent, afterMs: 0, every: 6 },
  { end: EngineEnd.Closed, afterMs: 400, every: 12 },
  { end: EngineEnd.Silent, afterMs: 400, every: 12 },
];

/** What faults act on. */
export interface FaultTargets {
  readonly daemons: Daemons;
  readonly replicas: ReplicaFleet;
  readonly callers: Pick<Callers, 'giveUp' | 'repeatCrashing' | 'sendCrashing'>;
  /** Has the registry list a replica under its current incarnation. */
  readonly relist: (id: string, before: string) => void;
  /** Records that the plain replicas are brittle; what it returns records the end. */
  readonly recordBrittle: () => () => void;
  /** Records that daemons are cut off from all replicas; what it returns records the end. */
  readonly recordCut: (daemons: readonly string[]) => () => void;
  /** Puts the next version of the configuration into the store. */
  readonly reconfigure: () => void;
  readonly drills: StoreDrills;
  readonly random: Random;
  readonly timers: TimerService;
}

/** Brings a fault about; what it returns ends it. */
type FaultHandler = (targets: FaultTargets, share: number, fault: Fault) => () => void;

function choose<T>(items: readonly T[], share: number, random: Random): T[] {
  return items.filter(() => random.chance(share));
}

/** Chooses daemons, one of them at least. */
function chooseDaemons({ daemons: { addresses }, random }: FaultTargets, share: number): DaemonAddress[] {
  const chosen = choose(addresses, share, random);
  return chosen.length > 0 ? chosen : [random.pick(addresses)];
}

const delayLoops: FaultHandler = (targets, share, fault) => {
  const { daemons, random } = targets;
  for (const daemon of chooseDaemons(targets, share)) {
    const turnMs = fault.turnMs ?? random.between(MIN_LATE_TURN_MS, MAX_LATE_TURN_MS);
    const phase = fault.phase ?? random.pick(Object.values(LatePhase));
    daemons.delayLoop(daemon, { turnMs, forMs: fault.forMs, phase });
  }
  return () => undefined;
};

function misbehave(behaviour: Behaviour): FaultHandler {
  return ({ replicas, random }, share) => {
    const ids = choose(replicas.ids, share, random);
    replicas.behave(ids, behaviour);
    return () => replicas.behave(ids, Behaviour.Serve);
  };
}

function hold(what: Holdable): FaultHandler {
  return ({ replicas, random }, share) => {
    const ids = choose(replicas.ids, share, random);
    replicas.hold(ids, what, true);
    return () => replicas.hold(ids, what, false);
  };
}

/** Cuts daemons off from all replicas, one of them at least. */
function cutOff(cut: PathCut): FaultHandler {
  return (targets, share) => {
    const { replicas, recordCut } = targets;
    const hit = chooseDaemons(targets, share);
    const hosts = hit.map(({ host }) => host);
    const endRecord = recordCut(hit.map(({ name }) => name));
    replicas.cut(hosts, cut);
    return () => {
      replicas.cut(hosts, undefined);
      endRecord();
    };
  };
}

/** Has replicas say that they leave; when the fault ends, new incarnations replace them. */
const leave: FaultHandler = ({ replicas, relist, random }, share) => {
  const ids = choose(replicas.ids, share, random);
  replicas.leave(ids);
  return () => {
    const before = ids.map((id) => replicas.incarnationOf(id));
    replicas.replace(ids);
    for (const [index, id] of ids.entries()) relist(id, before[index]!);
  };
};

/** Ends daemons with a signal; they start again when the fault ends, and are killed if they still run then. */
function restart(signal: NodeJS.Signals): FaultHandler {
  return ({ daemons, random, timers }, share) => {
    const hit = choose(daemons.addresses, share, random);
    const ends = hit.map((daemon) => daemons.signal(daemon, signal));
    return () => {
      for (const [index, daemon] of hit.entries()) {
        const kill = (): void => {
          void daemons.signal(daemon, 'SIGKILL');
        };
        const late = timers.after(GRACE_S * MS_PER_SECOND, kill);
        void ends[index]!.then(() => {
          late.cancel();
          daemons.start(daemon, false);
        });
      }
    };
  };
}

function stop(replicas: ReplicaFleet, hit: readonly RunningProcess[]): () => void {
  replicas.freeze(hit, true);
  return () => replicas.freeze(hit, false);
}

/** All kinds. */
export const FAULTS: Readonly<Record<FaultKind, FaultHandler>> = {
  [FaultKind.Shed]: misbehave(Behaviour.Shed),
  [FaultKind.Backoff]: misbehave(Behaviour.Backoff),
  [FaultKind.Leave]: leave,
  [FaultKind.Brittle]: ({ replicas, recordBrittle }) => {
    const endRecord = recordBrittle();
    replicas.setBrittle(replicas.plainIds, true);
    return () => {
      replicas.setBrittle(replicas.plainIds, false);
      endRecord();
    };
  },
  [FaultKind.Upgrade]: ({ replicas, random }, share) => {
    const versions = new Set([FIRST_VERSION, ...replicas.engineIds.map((id) => replicas.versionOf(id))]);
    const latest = Math.max(...[...versions].map((version) => Number(version.slice(1))));
    replicas.upgrade(choose(replicas.engineIds, share, random), `v${latest + 1}`);
    return () => undefined;
  },
  [FaultKind.Reconfigure]: ({ reconfigure }) => {
    reconfigure();
    return () => undefined;
  },
  [FaultKind.Drill]: ({ drills }, share) => drills.begin(share),
  [FaultKind.CutHang]: cutOff(PathCut.Hang),
  [FaultKind.CutReset]: cutOff(PathCut.Reset),
  [FaultKind.CutRefuse]: cutOff(PathCut.RefuseNew),
  [FaultKind.CutMuteOpen]: cutOff(PathCut.MuteOpen),
  [FaultKind.CrashingRequest]: ({ callers }, share) =>
    callers.repeatCrashing(share < COPIES_SHARE ? 1 : COPIES),
  [FaultKind.CrashingPart]: ({ callers }, share) => {
    const { every, ...part } = CRASHING_PARTS[Math.floor(share * CRASHING_PARTS.length)]!;
    return callers.sendCrashing(part, every);
  },
  [FaultKind.GiveUp]: ({ callers }, share) => callers.giveUp(share),
  [FaultKind.LateLoop]: delayLoops,
  [FaultKind.Errors]: misbehave(Behaviour.Errors),
  [FaultKind.Reset]: misbehave(Behaviour.Reset),
  [FaultKind.Hang]: misbehave(Behaviour.Hang),
  [FaultKind.ExtraResponses]: misbehave(Behaviour.Extra),
  [FaultKind.UnprovedRefusals]: misbehave(Behaviour.Unproved),
  [FaultKind.HoldWay]: hold(Holdable.Everything),
  [FaultKind.HoldOrders]: hold(Holdable.Orders),
  [FaultKind.FreezeReplicas]: ({ replicas, random }, share) =>
    stop(replicas, choose(replicas.processes, share, random)),
  [FaultKind.StopReplicas]: ({ replicas }) => stop(replicas, replicas.processes),
  [FaultKind.KillDaemons]: restart('SIGKILL'),
  [FaultKind.KillFleet]: (targets, _share, fault) => restart('SIGKILL')(targets, 1, fault),
  [FaultKind.TermDaemons]: restart('SIGTERM'),
  [FaultKind.FreezeDaemons]: ({ daemons, random }, share) => {
    const hit = choose(daemons.addresses, share, random);
    for (const daemon of hit) void daemons.signal(daemon, 'SIGSTOP');
    return () => {
      for (const daemon of hit) void daemons.signal(daemon, 'SIGCONT');
    };
  },
};

/**
 * Brings a fault about and ends it when its time is over.
 * @param targets - What it acts on.
 * @param fault - The fault.
 */
export function inject(targets: FaultTargets, fault: Fault): void {
  const { kind, forMs, share } = fault;
  targets.timers.after(forMs, FAULTS[kind](targets, share, fault));
}
