/** Encodes relayed exchanges as arrays without field names. */
import type { ChannelFailure, ExchangePurpose, HeaderMap } from '../channels/index.js';
import type { RelayEvent, RelayRequest } from './types.js';
import { RelayEventKind } from './types.js';

export type RelayRequestFrame = readonly [
  request: string,
  replica: string,
  purpose: ExchangePurpose,
  method: string,
  path: string,
  headers: readonly string[],
  body: Buffer | null,
  timeoutMs: number,
  softwareVersion?: string | null,
  needsNewConnection?: boolean,
];

type RelayEventFrame = readonly [kind: RelayEventKind, ...facts: unknown[]];

export function encodeRelayRequest({
  request,
  replica,
  call,
  timeoutMs,
  softwareVersion,
}: RelayRequest): RelayRequestFrame {
  const { purpose, method, path, headers, body, needsNewConnection = false } = call;
  return [
    request,
    replica,
    purpose,
    method,
    path,
    headers,
    body ?? null,
    timeoutMs,
    softwareVersion ?? null,
    needsNewConnection,
  ];
}

/** Decodes a request; the frame's types are not checked. */
export function decodeRelayRequest(frame: RelayRequestFrame): RelayRequest {
  const [
    request,
    replica,
    purpose,
    method,
    path,
    headers,
    bytes,
    timeoutMs,
    softwareVersion,
    needsNewConnection,
  ] = frame;
  const body = bytes === null ? undefined : Buffer.from(bytes);
  const flags = needsNewConnection ? { needsNewConnection } : {};
  const call = { purpose, method, path, headers, body, ...flags, requestId: request };
  return { request, replica, call, timeoutMs, softwareVersion: softwareVersion ?? undefined };
}

export function encodeRelayEvent(event: RelayEvent): RelayEventFrame {
  const { kind } = event;
  if (kind === RelayEventKind.Head) return [kind, event.status, event.headers];
  if (kind === RelayEventKind.Data) return [kind, event.chunk];
  if (kind === RelayEventKind.Failed) return [kind, event.failure, event.reason, event.hasCrashed];
  return [kind];
}

type Decoder = (frame: RelayEventFrame) => RelayEvent;

const DECODERS: Readonly<Record<RelayEventKind, Decoder>> = {
  [RelayEventKind.Accepted]: () => ({ kind: RelayEventKind.Accepted }),
  [RelayEventKind.Sent]: () => ({ kind: RelayEventKind.Sent }),
  [RelayEventKind.End]: () => ({ kind: RelayEventKind.End }),
  [RelayEventKind.Head]: ([, status, headers]) => ({
    kind: RelayEventKind.Head,
    status: status as number,
    headers: headers as HeaderMap,
  }),
  [RelayEventKind.Data]: ([, chunk]) => ({
    kind: RelayEventKind.Data,
    chunk: Buffer.from(chunk as Uint8Array),
  }),
  [RelayEventKind.Failed]: ([, failure, reason, hasCrashed]) => ({
    kind: RelayEventKind.Failed,
    failure: failure as ChannelFailure,
    reason: String(reason),
    hasCrashed: hasCrashed === true,
  }),
};

/** Decodes an event; the frame's types are not checked. */
export function decodeRelayEvent(frame: unknown): RelayEvent {
  const event = frame as RelayEventFrame;
  return DECODERS[event[0]](event);
}
