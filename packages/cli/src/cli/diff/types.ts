/** Types of the differences between two configurations. */
import type { ConfigSnapshot } from '@celeryyoke/configuration';

/** What a difference is about, in the order in which it is shown. */
export enum ChangeGroup {
  Loads = 'Will load',
  Moves = 'Will move',
  Callers = 'Callers will notice',
  Settings = 'Settings',
}

/** One difference in an operator's words. */
export interface Change {
  readonly group: ChangeGroup;
  readonly text: string;
}

/** Compares one aspect of two configurations. */
export type Comparer = (before: ConfigSnapshot, after: ConfigSnapshot) => Iterable<Change>;
