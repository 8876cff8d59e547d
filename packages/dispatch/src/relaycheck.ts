import { MessageType, RelayOperation } from '@bergamotreach/protocol';
import type { RelayAnswerMessage, RelayCallMessage } from '@bergamotreach/protocol';
import { addressSchema, amountSchema, nameSchema } from '@bergamotreach/protocol/bounds';
import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import * as z from 'zod/mini';

/** A more powerful instance is preferred as owner, so a row must not claim any power. */
const maxPower = 10_000;
/** Longer deadlines count as this; a timer takes at most 24 days. */
const maxDeadlineMs = 3_600_000;
/** Headers that a caller may send, in characters. */
const maxHeaderChars = 65_536;
const headerSchema = z.string().check(z.maxLength(maxHeaderChars));

/** Row `instance/<name>`: where an instance accepts relayed calls. */
export interface InstanceRow {
  /** `ip:port`. */
  relayAddress: string;
  dataCentre: string;
  /**
   * Processing power: processor cores times their speed relative to a standard core; absent from
   * instances of older versions.
   */
  power?: number;
}

/** Checks the row of an instance. */
export const checkInstanceRow: Check<InstanceRow> = createCheck(
  z.object({
    relayAddress: addressSchema,
    dataCentre: nameSchema,
    power: z.exactOptional(z.number().check(z.gte(0), z.lte(maxPower))),
  }),
);

/** Checks a relayed call. The job that it carries is checked separately. */
export const checkRelayCall: Check<RelayCallMessage> = createCheck(
  z.object({
    type: z.literal(MessageType.RelayCall),
    operation: z.enum(RelayOperation),
    host: headerSchema,
    path: headerSchema,
    key: headerSchema,
    jobId: nameSchema.check(z.minLength(1)),
    job: z.string(),
    deadlineMs: z.pipe(
      z.number().check(z.gte(0)),
      z.transform((deadlineMs) => Math.min(deadlineMs, maxDeadlineMs)),
    ),
  }),
);

/** Checks a peer's answer to a relayed call. */
export const checkRelayAnswer: Check<RelayAnswerMessage> = createCheck(
  z.object({
    type: z.literal(MessageType.RelayAnswer),
    faultCode: z.string(),
    message: z.string(),
    retryAfterMs: amountSchema,
    value: z.string(),
  }),
);
