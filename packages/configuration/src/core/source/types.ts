/** Types of documents as they were written, with the place of every value. */

/** Where a value stands. */
export interface Place {
  readonly file: string;
  /** From 1. */
  readonly line: number;
  /** From 1. */
  readonly column: number;
}

/** Kinds of nodes. */
export enum NodeKind {
  Scalar = 'scalar',
  Map = 'map',
  List = 'list',
}

/** A single value. */
export interface ScalarNode {
  readonly kind: NodeKind.Scalar;
  readonly place: Place;
  readonly value: string | number | boolean | null;
}

/** A field of a map. */
export interface FieldNode {
  /** Where its key stands. */
  readonly place: Place;
  readonly value: SourceNode;
}

/** A map. */
export interface MapNode {
  readonly kind: NodeKind.Map;
  readonly place: Place;
  readonly fields: ReadonlyMap<string, FieldNode>;
}

/** A list. */
export interface ListNode {
  readonly kind: NodeKind.List;
  readonly place: Place;
  readonly items: readonly SourceNode[];
}

/** A node of a document. */
export type SourceNode = ScalarNode | MapNode | ListNode;

/** Steps from the top of a document to a value: names of fields, and numbers or names of items. */
export type ConfigPath = readonly (string | number)[];

/** Something wrong in a document. */
export interface ConfigProblem {
  readonly place: Place;
  /** Path in the document, such as `engines[ct-1].slots`. */
  readonly path: string;
  /** What is wrong and what was expected. */
  readonly reason: string;
}

/** A document's text and where it comes from. */
export interface SourceText {
  /** Name of the file for messages. */
  readonly file: string;
  readonly text: string;
}
