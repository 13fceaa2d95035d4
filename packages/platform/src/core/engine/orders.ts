/** How orders are written in the engine's dialect, and how its answers are read. */
import { z } from 'zod';

import type { ExchangeCall, WholeAnswer } from '../http/index.js';
import { FENCING_HEADER, ORDER_TIMEOUT_HEADER } from '../http/index.js';
import type { EngineOrder, OrderResult } from './types.js';
import { OrderKind, OrderOutcome } from './types.js';

interface OrderForm {
  readonly path: string;
  body(subject: string): object;
  /** A refusal that says that the order's effect is already there. */
  readonly alreadyDone: RegExp | undefined;
}

const FORMS: Record<OrderKind, OrderForm> = {
  [OrderKind.Load]: {
    path: '/v1/load_lora_adapter',
    body: (subject) => ({ lora_name: subject, lora_path: subject }),
    alreadyDone: /already been loaded/,
  },
  [OrderKind.Unload]: {
    path: '/v1/unload_lora_adapter',
    body: (subject) => ({ lora_name: subject }),
    alreadyDone: /cannot be found/,
  },
  [OrderKind.Role]: {
    path: '/v1/role',
    body: (subject) => ({ role: subject }),
    alreadyDone: undefined,
  },
};

const OUTCOMES: Readonly<Record<number, OrderOutcome>> = {
  200: OrderOutcome.Done,
  400: OrderOutcome.Failed,
  404: OrderOutcome.Failed,
  409: OrderOutcome.Fenced,
  429: OrderOutcome.Failed,
  500: OrderOutcome.Failed,
  503: OrderOutcome.Failed,
};

const refusalSchema = z.object({ message: z.string() });

function reasonOf(answer: WholeAnswer): string {
  const text = answer.body.toString('utf8');
  try {
    return refusalSchema.parse(JSON.parse(text)).message;
  } catch {
    return `status ${answer.status}`;
  }
}

/**
 * Writes an order.
 * @param order - The order.
 * @returns The request that carries it.
 */
export function orderCall(order: EngineOrder): ExchangeCall {
  const form = FORMS[order.kind];
  return {
    method: 'POST',
    path: form.path,
    headers: {
      'content-type': 'application/json',
      [FENCING_HEADER]: String(order.fencing),
      [ORDER_TIMEOUT_HEADER]: String(order.timeoutMs),
    },
    body: JSON.stringify(form.body(order.subject)),
    isAllowed: order.isAllowed,
  };
}

/**
 * Reads an engine's answer to an order.
 * @param order - The order.
 * @param answer - The answer.
 * @returns How the order ended; a status that the dialect doesn't have is no proof of anything.
 */
export function orderResult(order: EngineOrder, answer: WholeAnswer): OrderResult {
  const outcome = OUTCOMES[answer.status] ?? OrderOutcome.Unknown;
  if (outcome === OrderOutcome.Done) return { outcome };
  const reason = reasonOf(answer);
  const isThere = outcome === OrderOutcome.Failed && FORMS[order.kind].alreadyDone?.test(reason);
  return isThere ? { outcome: OrderOutcome.Done, reason } : { outcome, reason };
}
