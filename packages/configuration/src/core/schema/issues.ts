/** Turns what zod finds into messages that say what was expected, with the nearest right name. */
import { z } from 'zod';

import { nearestHint } from '../documents/nearest.js';

/** A problem at a path. */
export interface PathProblem {
  readonly path: readonly (string | number)[];
  /** Unknown field, when that is the problem. */
  readonly key?: string;
  readonly reason: string;
}

type Issue = z.core.$ZodIssue;

/** Takes off defaults and optionality. */
function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
  const definition = schema._zod.def as { innerType?: z.core.$ZodType };
  return definition.innerType === undefined ? schema : unwrap(definition.innerType);
}

/** Finds the fields that a map at a path may have. */
function fieldsAt(schema: z.core.$ZodType, path: readonly PropertyKey[]): string[] {
  let here = unwrap(schema);
  for (const step of path) {
    if (here instanceof z.ZodArray) here = unwrap(here.element);
    else if (here instanceof z.ZodObject) here = unwrap(here.shape[String(step)] as z.core.$ZodType);
  }
  return here instanceof z.ZodObject ? Object.keys(here.shape) : [];
}

function toPath(path: readonly PropertyKey[]): (string | number)[] {
  return path.map((step) => (typeof step === 'number' ? step : String(step)));
}

function isNumberForText(issue: Issue): boolean {
  return issue.code === 'invalid_type' && issue.expected === 'string' && issue.message.endsWith('number');
}

function explain(schema: z.core.$ZodType, issue: Issue): PathProblem[] {
  const path = toPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    const known = fieldsAt(schema, issue.path);
    const expected = `expected one of ${known.join(', ')}`;
    return issue.keys.map((key) => ({
      path,
      key,
      reason: `unknown field "${key}", ${expected}${nearestHint(key, known)}`,
    }));
  }
  if (issue.code === 'invalid_union') {
    const options = issue.errors.flat().map(({ message }) => message);
    return [{ path, reason: [...new Set(options)].join(' or ') }];
  }
  const hint = isNumberForText(issue) ? '; write it in quotes' : '';
  return [{ path, reason: `${issue.message}${hint}` }];
}

/**
 * Explains why a value does not fit a schema.
 * @param schema - The schema.
 * @param error - What zod found.
 * @returns A problem for each thing that is wrong.
 */
export function explainIssues(schema: z.core.$ZodType, error: z.ZodError): PathProblem[] {
  return error.issues.flatMap((issue) => explain(schema, issue));
}
