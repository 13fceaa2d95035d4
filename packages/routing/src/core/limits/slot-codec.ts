/** Encodes messages about slots as arrays without field names. */
import type { SlotGrant, SlotRelease, SlotRequest } from './types.js';

export type SlotRequestFrame = readonly [replica: string, slots: number, held: number, wanted: number];
export type SlotGrantFrame = readonly [granted: number, waitMs: number];
export type SlotReleaseFrame = readonly [replica: string, rejectionsPerSecond: number, wasRejected: boolean];

export function encodeSlotRequest({ replica, slots, held, wanted }: SlotRequest): SlotRequestFrame {
  return [replica, slots, held, wanted];
}

export function decodeSlotRequest([replica, slots, held, wanted]: SlotRequestFrame): SlotRequest {
  return { replica, slots, held, wanted };
}

/** Encodes a grant, with its wait rounded up to whole milliseconds. */
export function encodeSlotGrant({ granted, waitMs }: SlotGrant): SlotGrantFrame {
  return [granted, Math.ceil(waitMs)];
}

export function decodeSlotGrant([granted, waitMs]: SlotGrantFrame): SlotGrant {
  return { granted, waitMs };
}

export function encodeSlotRelease(release: SlotRelease): SlotReleaseFrame {
  return [release.replica, release.rejectionsPerSecond, release.wasRejected];
}

export function decodeSlotRelease([
  replica,
  rejectionsPerSecond,
  wasRejected,
]: SlotReleaseFrame): SlotRelease {
  return { replica, rejectionsPerSecond, wasRejected };
}
