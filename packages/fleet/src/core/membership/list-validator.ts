/** Decides whether a reading of the host list may replace the one in force. */
import { HostRole, HostState } from '@celeryyoke/platform';

import type { HostTable } from './view.js';

/** What becomes of a reading. */
export enum Verdict {
  Accept = 'accept',
  /** It is an older version than the one in force. */
  Older = 'older',
  /** It loses too many hosts at once, or all of them. */
  Suspicious = 'suspicious',
}

/** Options of the gate. */
export interface GateOptions {
  readonly panicShare: number;
  readonly panicHoldMs: number;
  readonly versionResetMs: number;
}

/** Fewer hosts lost than this are no reason for panic, however small the fleet is. */
const PANIC_MIN_LOST = 2;

/** Counts hosts that were live and are not listed any more; those that announced their leaving don't count. */
function countLost(role: HostRole, last: HostTable, next: HostTable): number {
  const lost = last.ofRole(role).filter(({ name, state }) => state === HostState.Live && !next.find(name));
  return lost.length;
}

function losesMost(last: HostTable, next: HostTable, share: number): boolean {
  return Object.values(HostRole).some((role) => {
    const lost = countLost(role, last, next);
    return lost >= PANIC_MIN_LOST && lost > share * last.ofRole(role).length;
  });
}

function isOlder(last: HostTable, next: HostTable): boolean {
  return last.version !== undefined && next.version !== undefined && next.version < last.version;
}

/** The gate; it holds back what looks wrong until it was read without a break for long enough. */
export class ListGate {
  private doubt = Verdict.Accept;

  private doubtSince = 0;

  constructor(private readonly options: GateOptions) {}

  /**
   * Judges a reading.
   * @param last - The table in force.
   * @param next - The reading.
   * @param now - Monotonic time.
   * @returns What becomes of it.
   */
  judge(last: HostTable | undefined, next: HostTable, now: number): Verdict {
    const verdict = this.look(last, next);
    if (verdict !== this.doubt) {
      this.doubt = verdict;
      this.doubtSince = now;
    }
    if (verdict === Verdict.Accept || now - this.doubtSince < this.patience(verdict, next)) return verdict;
    this.doubt = Verdict.Accept;
    return Verdict.Accept;
  }

  private look(last: HostTable | undefined, next: HostTable): Verdict {
    // This daemon runs, so a list without any entry host is wrong.
    if (next.ofRole(HostRole.Entry).length === 0) return Verdict.Suspicious;
    if (last === undefined || last === next) return Verdict.Accept;
    if (isOlder(last, next)) return Verdict.Older;
    return losesMost(last, next, this.options.panicShare) ? Verdict.Suspicious : Verdict.Accept;
  }

  private patience(verdict: Verdict, next: HostTable): number {
    if (next.ofRole(HostRole.Entry).length === 0) return Infinity;
    return verdict === Verdict.Older ? this.options.versionResetMs : this.options.panicHoldMs;
  }
}
