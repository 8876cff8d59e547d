import { MessageType, RelayOperation } from '@bergamotreach/protocol';
import type { RelayAnswerMessage, RelayCallMessage } from '@bergamotreach/protocol';
import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import * as z from 'zod/mini';

/** `ip:port`. */
const addressSchema = z.string().check(z.regex(/^\d+\.\d+\.\d+\.\d+:\d{1,5}$/u));

/** Row `instance/<name>`: where an instance accepts relayed calls. */
export interface InstanceRow {
  /** `ip:port`. */
  relayAddress: string;
  dataCentre: string;
  /** Processing power in reference cores; absent from instances of older versions. */
  power?: number;
}

/** Checks the row of an instance. */
export const checkInstanceRow: Check<InstanceRow> = createCheck(
  z.object({
    relayAddress: addressSchema,
    dataCentre: z.string(),
    power: z.exactOptional(z.number()),
  }),
);

/** Checks a relayed call. The job that it carries is checked separately. */
export const checkRelayCall: Check<RelayCallMessage> = createCheck(
  z.object({
    type: z.literal(MessageType.RelayCall),
    operation: z.enum(RelayOperation),
    host: z.string(),
    path: z.string(),
    key: z.string(),
    jobId: z.string().check(z.minLength(1)),
    job: z.string(),
    deadlineMs: z.number().check(z.gte(0)),
  }),
);

/** Checks a peer's answer to a relayed call. */
export const checkRelayAnswer: Check<RelayAnswerMessage> = createCheck(
  z.object({
    type: z.literal(MessageType.RelayAnswer),
    faultCode: z.string(),
    message: z.string(),
    retryAfterMs: z.number(),
    value: z.string(),
  }),
);
