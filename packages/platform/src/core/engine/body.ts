/** Adds the fields of a generation to its body without parsing it. */
import { CeleryyokeError } from '@celeryyoke/core';

import type { GenerateCall } from './types.js';

const TRAILING_SPACE = /\s+$/;

/**
 * Adds priority and offset to a JSON object that is already serialized.
 *
 * The engine's dialect runs lower numbers first, so the priority changes its sign. A field that the body has
 * already is overridden, since the last of two equal names counts.
 * @param call - The generation.
 * @returns The body that the engine gets.
 * @throws CeleryyokeError RequestInvalid when the body is no JSON object.
 */
export function generateBody(call: GenerateCall): string {
  const text = call.body.replace(TRAILING_SPACE, '');
  if (!text.startsWith('{') || !text.endsWith('}')) {
    throw new CeleryyokeError('RequestInvalid', { reason: 'the body is no JSON object' });
  }
  const fields = [];
  if (call.priority !== 0) fields.push(`"priority":${-call.priority}`);
  if (call.resumeFrom !== undefined) fields.push(`"resume_from":${call.resumeFrom}`);
  if (fields.length === 0) return text;
  const isEmpty = text.slice(1, -1).trim() === '';
  return `${text.slice(0, -1)}${isEmpty ? '' : ','}${fields.join(',')}}`;
}
