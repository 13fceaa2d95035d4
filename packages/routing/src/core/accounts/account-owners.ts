/** Assigns each client account to the daemon that owns its bucket. */
import { rendezvousOwner } from '../ownership/index.js';

/**
 * Owners of accounts among the daemons that this daemon knows to be alive; cached until that list changes.
 */
export class AccountOwners {
  private lastAlive: readonly string[] = [];

  private readonly ownerByAccount = new Map<string, string>();

  /**
   * @param alive - Addresses of the live daemons; must return the same array as long as the list does not
   * change.
   */
  constructor(private readonly alive: () => readonly string[]) {}

  /** Address of the daemon that owns an account; empty if no daemon is alive. */
  ownerOf(account: string): string {
    const alive = this.alive();
    if (alive !== this.lastAlive) {
      this.lastAlive = alive;
      this.ownerByAccount.clear();
    }
    const cached = this.ownerByAccount.get(account);
    if (cached !== undefined) return cached;
    const owner = rendezvousOwner(account, alive) ?? '';
    this.ownerByAccount.set(account, owner);
    return owner;
  }
}
