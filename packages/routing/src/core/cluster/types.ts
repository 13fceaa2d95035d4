/** The daemons as one: who lives, and what they tell each other. */

/** A daemon of the fleet. */
export interface Member {
  /** Where it listens for peers, as `host:port`; its name in the fleet. */
  readonly address: string;
  /** Failure domain. */
  readonly zone: string;
  /** Names one life of its process; a later one is larger. */
  readonly incarnation: number;
}

/** Whether a member takes part. */
export enum MemberState {
  /** Heard within the last moments. */
  Alive = 'alive',
  /** Silent; it may be dead, cut off or paused. */
  Silent = 'silent',
  /** It has said that it ends; it gives no more orders. */
  Leaving = 'leaving',
  /** Its process has ended, as a refused connection shows. */
  Ended = 'ended',
}

/** What a message between daemons is about. */
export enum MessageType {
  /** First message of a link: who speaks, and whom it knows. */
  Hello = 1,
  Heartbeat = 2,
  /** Changes of the view. */
  Delta = 3,
  /** Asks for the changes since a revision. */
  DeltaWanted = 4,
  /** The speaker gives orders to an engine. */
  Claim = 5,
  /** What an engine holds, by the daemon that gives it orders. */
  Holdings = 6,
  /** Asks the daemon that gives orders to an engine to have an adapter there. */
  Ensure = 7,
  /** The speaker's process ends; it gives no more orders, and finishes its requests. */
  Goodbye = 8,
  /** What engines held of late, for a daemon that has just started. */
  Recent = 9,
  /** The speaker's requests on an adapter have become more or fewer; told to the daemon that keeps the engine. */
  Use = 10,
  /** A replica has started again under its name. */
  Start = 11,
  /** Asks the daemon that gives orders to an engine how long to hold a prompt back. */
  PromptTurn = 12,
  /** The speaker's requests on the engines that the daemon spoken to keeps. */
  Loads = 13,
}

/** Handles the messages of one type; what it returns or resolves to is the answer to a request. */
export type MessageHandler = (from: Member, body: never) => unknown;
