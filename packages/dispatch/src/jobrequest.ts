import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import type { Recurrence, StepSpec } from '@bergamotreach/scheduling';
import { Err } from 'ts-results-es';
import * as z from 'zod/mini';

/** Largest payload of a job, as documented by the platform. */
const maxPayloadBytes = 4000;
/** Bounds the memory that one job takes; the largest gang to be supported has 128 tasks. */
export const maxTasksPerStep = 4096;
export const maxOccurrences = 10_000;

const count = z.int().check(z.gte(0));
const amount = z.number().check(z.gte(0));

/** Schema of a step. */
export const stepSchema = z.object({
  taskCount: z.int().check(z.gte(1), z.lte(maxTasksPerStep)),
  demand: z.object({ cpuMillis: amount, memoryMb: amount, accelerators: amount }),
  estimatedMs: amount,
  dependsOn: z.array(count),
  isGang: z.boolean(),
  isRackBound: z.boolean(),
  requiredLabel: z.string(),
  preferredRack: z.string(),
  maxPerWorker: count,
  isCheckpointing: z.boolean(),
  isLongRunning: z.boolean(),
  image: z.string(),
});

/** Schema of the occurrences of a timed job. */
export const recurrenceSchema = z.object({
  count: z.int().check(z.gte(1), z.lte(maxOccurrences)),
  firstAtMs: z.number(),
  intervalMs: amount,
});

/** A job as a caller submits it. */
export interface JobRequest {
  id: string;
  payload: string;
  steps: readonly StepSpec[];
  recurrence?: Recurrence;
}

const requestSchema = z.object({
  id: z.string().check(z.minLength(1)),
  payload: z.string(),
  steps: z.array(stepSchema).check(z.minLength(1)),
  recurrence: z.exactOptional(recurrenceSchema),
});

const checkShape: Check<JobRequest> = createCheck(requestSchema);

/** Checks a job submitted by a caller, directly or through a peer. */
export const checkJobRequest: Check<JobRequest> = (value) => {
  const checked = checkShape(value);
  if (checked.isErr()) return checked;
  const { payload, steps } = checked.value;
  if (Buffer.byteLength(payload) > maxPayloadBytes) {
    return Err(`payload exceeds ${maxPayloadBytes} bytes`);
  }
  const isBackward = steps.every(({ dependsOn }, index) =>
    dependsOn.every((other) => other < index),
  );
  return isBackward ? checked : Err('a step may depend on earlier steps only');
};
