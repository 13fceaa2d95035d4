/** Decides whether a host list that was read may replace the one in use. */
import { HostRole, HostState } from '@celeryyoke/platform';

import type { HostTable } from './view.js';

/** Result of the validation of a host list. */
export enum Verdict {
  Accept = 'accept',
  /** Its version is older than that of the list in use. */
  Older = 'older',
  /** It lacks too many hosts of the list in use, or has no entry hosts. */
  Suspicious = 'suspicious',
}

/** Options of {@link ListValidator}; see the membership settings of the same names. */
export interface ListValidatorOptions {
  readonly panicShare: number;
  readonly panicHoldMs: number;
  readonly versionResetMs: number;
}

/** Losing fewer hosts than this is never suspicious, however large their share of a small fleet is. */
const PANIC_MIN_LOST_HOSTS = 2;

/** Counts hosts that were live and are no longer listed; those that were leaving before don't count. */
function countLost(role: HostRole, last: HostTable, next: HostTable): number {
  const lost = last.ofRole(role).filter(({ name, state }) => state === HostState.Live && !next.find(name));
  return lost.length;
}

function exceedsPanicShare(last: HostTable, next: HostTable, share: number): boolean {
  return Object.values(HostRole).some((role) => {
    const lost = countLost(role, last, next);
    return lost >= PANIC_MIN_LOST_HOSTS && lost > share * last.ofRole(role).length;
  });
}

function isOlder(last: HostTable, next: HostTable): boolean {
  return last.version !== undefined && next.version !== undefined && next.version < last.version;
}

/**
 * Holds back a list that looks wrong until all reads have given the same verdict for the hold time; then it
 * is accepted.
 */
export class ListValidator {
  private pendingVerdict = Verdict.Accept;

  private pendingSince = 0;

  constructor(private readonly options: ListValidatorOptions) {}

  /**
   * Validates a list that was read.
   * @param last - The list in use.
   * @param next - The list that was read.
   * @param now - Monotonic time in milliseconds.
   */
  validate(last: HostTable | undefined, next: HostTable, now: number): Verdict {
    const verdict = this.classify(last, next);
    if (verdict !== this.pendingVerdict) {
      this.pendingVerdict = verdict;
      this.pendingSince = now;
    }
    if (verdict === Verdict.Accept || now - this.pendingSince < this.holdMs(verdict, next)) return verdict;
    this.pendingVerdict = Verdict.Accept;
    return Verdict.Accept;
  }

  private classify(last: HostTable | undefined, next: HostTable): Verdict {
    // This daemon is an entry host itself, so a list without entry hosts is wrong; it is never accepted.
    if (next.ofRole(HostRole.Entry).length === 0) return Verdict.Suspicious;
    if (last === undefined || last === next) return Verdict.Accept;
    if (isOlder(last, next)) return Verdict.Older;
    return exceedsPanicShare(last, next, this.options.panicShare) ? Verdict.Suspicious : Verdict.Accept;
  }

  private holdMs(verdict: Verdict, next: HostTable): number {
    if (next.ofRole(HostRole.Entry).length === 0) return Infinity;
    return verdict === Verdict.Older ? this.options.versionResetMs : this.options.panicHoldMs;
  }
}
