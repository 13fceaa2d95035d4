/** Schemas of the messages between daemons. */
import { z } from 'zod';

const MAX_NAME_LENGTH = 256;

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const versionSchema = z.number().int().positive();

/** Identity of a daemon as it is sent in the handshake. */
const identitySchema = z.object({
  name: z.string().min(1).max(MAX_NAME_LENGTH),
  incarnation: z.number().nonnegative(),
  domain: z.string().max(MAX_NAME_LENGTH),
  protocol: versionSchema,
});

/** First message of the handshake, from the dialler. */
export const helloSchema = z.object({
  identity: identitySchema,
  oldestProtocol: versionSchema,
  nonce: bytesSchema,
});

/** Response to the hello: the listener's identity, the agreed protocol version and a challenge. */
export const welcomeSchema = z.object({
  identity: identitySchema,
  protocol: versionSchema,
  nonce: bytesSchema,
});

/** Proof that the sender knows a shared key; both sides send one. */
export const proofSchema = z.object({ proof: bytesSchema });

/** A heartbeat or its acknowledgement; `sections` is an encoded record of sections by name. */
export const heartbeatSchema = z.object({
  seq: z.number().int().nonnegative(),
  sections: bytesSchema.optional(),
});

/** A call of a procedure, with its encoded input. */
export const callSchema = z.object({ procedure: z.string().min(1).max(MAX_NAME_LENGTH), input: bytesSchema });

/** Response to a call, with the encoded output. */
export const outputSchema = z.object({ output: bytesSchema });

/** First message of the handshake, from the dialler. */
export type Hello = z.infer<typeof helloSchema>;
/** Response to the hello. */
export type Welcome = z.infer<typeof welcomeSchema>;
/** Proof that the sender knows a shared key. */
export type Proof = z.infer<typeof proofSchema>;
/** A heartbeat or its acknowledgement. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** A call of a procedure. */
export type Call = z.infer<typeof callSchema>;
/** Response to a call. */
export type Output = z.infer<typeof outputSchema>;
