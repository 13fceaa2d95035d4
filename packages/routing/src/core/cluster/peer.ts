/** What a daemon knows of one peer. */
import type { Link } from './link.js';
import type { Member } from './types.js';
import { MemberState } from './types.js';

/** One peer, from the first word of it on. */
export class Peer {
  /** Who it is; undefined before its first hello. */
  member: Member | undefined;

  state = MemberState.Ended;

  /** Link to it; undefined while there is none. */
  link: Link | undefined;

  /** Monotonic time of its last message. */
  heardAt: number;

  /** Monotonic time before which it is not dialled. */
  dialAt: number;

  /** Monotonic time since which it has not been alive. */
  downSince: number;

  /**
   * Makes a peer that nothing is known of but its address.
   * @param address - Its name in the fleet.
   * @param now - Monotonic time.
   */
  constructor(
    readonly address: string,
    now: number,
  ) {
    this.heardAt = now;
    this.dialAt = now;
    this.downSince = now;
  }

  /**
   * Notes its hello.
   * @param member - Who it is.
   */
  meet(member: Member): void {
    this.member = member;
  }

  /**
   * Notes a message of it.
   * @param now - Monotonic time.
   */
  hear(now: number): void {
    this.heardAt = now;
  }

  /**
   * Notes the link to it.
   * @param link - A link that is being made.
   */
  connect(link: Link): void {
    this.link = link;
  }

  /**
   * Notes that there is no link.
   * @param dialAt - Monotonic time of the next try.
   */
  disconnect(dialAt: number): void {
    this.link = undefined;
    this.dialAt = dialAt;
  }

  /**
   * Changes its state.
   * @param state - The new one.
   * @param now - Monotonic time.
   * @returns Whether it is another one.
   */
  become(state: MemberState, now: number): boolean {
    if (this.state === state) return false;
    if (this.state === MemberState.Alive) this.downSince = now;
    this.state = state;
    return true;
  }
}
