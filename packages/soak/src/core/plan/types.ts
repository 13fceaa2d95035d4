/** What a run of the soak does, and when. */

import type { LatePhase } from '../processes/index.js';

/** What goes wrong. */
export enum FaultKind {
  /** Replicas refuse most of their requests without running them. */
  Shed = 'shed',
  /** Replicas fail most of their requests. */
  Errors = 'errors',
  /** Replicas reset the connections of most of their requests. */
  Reset = 'reset',
  /** Replicas never respond to most of their requests. */
  Hang = 'hang',
  /** What daemons send to replicas is held up on the path until the fault ends. */
  HoldWay = 'hold-way',
  /** Replicas accept orders and respond to them only when the fault ends. */
  HoldOrders = 'hold-orders',
  /** Processes of replicas are stopped and go on. */
  FreezeReplicas = 'freeze-replicas',
  /** All processes of replicas are stopped at once and go on. */
  StopReplicas = 'stop-replicas',
  /** The operator puts another version of the configuration into force. */
  Reconfigure = 'reconfigure',
  /** The store is away, and comes back from a copy of itself when the fault ends. */
  Drill = 'drill',
  /** Daemons are killed, and start again when the fault ends. */
  KillDaemons = 'kill-daemons',
  /** All daemons are killed at the same moment, and start again when the fault ends. */
  KillFleet = 'kill-fleet',
  /** Daemons are signalled to shut down, and are restarted when the fault ends. */
  TermDaemons = 'term-daemons',
  /** Daemons are stopped and go on. */
  FreezeDaemons = 'freeze-daemons',
  /** Replicas refuse most of their requests and ask the daemons to send nothing for some seconds. */
  Backoff = 'backoff',
  /** Replicas say in their responses that they leave; the registry lists them as ready until they are replaced. */
  Leave = 'leave',
  /** A caller sends one request again and again, which crashes each replica that runs it. */
  CrashingRequest = 'crashing-request',
  /** Some requests have a part in their prompts that ends each engine that answers them; no two are alike. */
  CrashingPart = 'crashing-part',
  /** Engines are replaced, at their addresses, by new incarnations of a newer software version. */
  Upgrade = 'upgrade',
  /** The replicas of the plain service are slow, and fall over when they have to reject many requests. */
  Brittle = 'brittle',
  /** Connections of daemons to all replicas hang until the fault ends. */
  CutHang = 'cut-hang',
  /** Connections of daemons to all replicas are reset, and new ones too. */
  CutReset = 'cut-reset',
  /** New connections of daemons to all replicas are reset, while those that are open live on. */
  CutRefuse = 'cut-refuse',
  /** The event loops of daemons are late, while these stay in touch. */
  LateLoop = 'late-loop',
  /** A part of the callers close their connections soon, and don't come back. */
  GiveUp = 'give-up',
  /** Open connections of daemons to all replicas are silent for good, while new ones work. */
  CutMuteOpen = 'cut-mute-open',
  /**
   * Replicas send one more response after their own: one that names no request and often denies that one was executed, or
   * their refusal once more.
   */
  ExtraResponses = 'extra-responses',
  /** Replicas run most of their requests and answer them with a status of a refusal that does not deny the run. */
  UnprovedRefusals = 'unproved-refusals',
}

/** One fault of a plan. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time from the start of the traffic, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
  /** Part of the replicas or daemons that it hits, from 0 to 1. */
  readonly share: number;
  /** Time that each turn of a late event loop takes, in milliseconds; drawn when it is left out. */
  readonly turnMs?: number;
  /** Phase of the event loop that takes it; drawn when it is left out. */
  readonly phase?: LatePhase;
}

/** How large a run is. */
export interface SoakSize {
  readonly daemons: number;
  readonly engines: number;
  /** Replicas of the plain service. */
  readonly plains: number;
  readonly requestsPerSecond: number;
  /** Length of the traffic, in seconds. */
  readonly seconds: number;
}

/** A whole run. */
export interface SoakPlan extends SoakSize {
  readonly seed: number;
  /** Time over which the daemons are started one after another, in milliseconds. */
  readonly startSpreadMs: number;
  /** Time from the first daemon's start to the traffic, in milliseconds. */
  readonly trafficAfterMs: number;
  /** Adapters that callers ask for, all as often. */
  readonly adapters: number;
  /** Whether callers come back once after a failure. */
  readonly hasRetries: boolean;
  readonly faults: readonly Fault[];
}
