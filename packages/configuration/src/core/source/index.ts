/** Documents as they were written. */
export { formatPath, formatPlace, nameOf, placeOf, placeOfKey, toValue } from './node.js';
export { parseSource } from './parse.js';
export type { ParsedSource } from './parse.js';
export { NodeKind } from './types.js';
export type {
  ConfigPath,
  ConfigProblem,
  FieldNode,
  ListNode,
  MapNode,
  Place,
  ScalarNode,
  SourceNode,
  SourceText,
} from './types.js';
