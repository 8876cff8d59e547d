import { amountSchema, nameSchema, ordinalSchema } from '@bergamotreach/protocol/bounds';
import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import type { Recurrence, StepSpec } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod/mini';

/** Largest payload of a job, as documented by the platform. */
export const maxPayloadBytes = 4000;
/** Bounds the memory that one job takes; the largest gang to be supported has 128 tasks. */
export const maxTasksPerStep = 4096;
export const maxOccurrences = 10_000;
export const maxStepsPerJob = 1000;
/** Bounds what one job takes in the memory of an owner, which holds the tasks of occurrences that are due. */
const maxTasksPerOccurrence = 100_000;

/** Schema of a step. */
export const stepSchema = z.object({
  taskCount: z.int().check(z.gte(1), z.lte(maxTasksPerStep)),
  demand: z.object({
    cpuMillis: amountSchema,
    memoryMb: amountSchema,
    accelerators: amountSchema,
  }),
  estimatedMs: amountSchema,
  dependsOn: z.array(ordinalSchema).check(z.maxLength(maxStepsPerJob)),
  isGang: z.boolean(),
  isRackBound: z.boolean(),
  requiredLabel: nameSchema,
  preferredRack: nameSchema,
  maxPerWorker: ordinalSchema,
  isCheckpointing: z.boolean(),
  isLongRunning: z.boolean(),
  image: nameSchema,
});

/** Schema of the steps of a job. */
export const stepsSchema = z.array(stepSchema).check(z.minLength(1), z.maxLength(maxStepsPerJob));

/** Schema of the occurrences of a timed job. */
export const recurrenceSchema = z.object({
  count: z.int().check(z.gte(1), z.lte(maxOccurrences)),
  firstAtMs: z.number(),
  intervalMs: amountSchema,
});

/** A job as a caller submits it. */
export interface JobRequest {
  id: string;
  payload: string;
  steps: readonly StepSpec[];
  recurrence?: Recurrence;
}

/** The work of a job, from a caller or from a row. */
type JobWork = Pick<JobRequest, 'payload' | 'steps'>;

const requestSchema = z.object({
  id: nameSchema.check(z.minLength(1)),
  payload: z.string(),
  steps: stepsSchema,
  recurrence: z.exactOptional(recurrenceSchema),
});

const checkShape: Check<JobRequest> = createCheck(requestSchema);

/** Checks a job submitted by a caller, directly or through a peer. */
export const checkJobRequest: Check<JobRequest> = (value) => {
  const checked = checkShape(value);
  return checked.andThen((request) => checkWork(request).map(() => request));
};

/** Checks what a schema of the fields cannot: the size of a job as a whole and the order of its steps. */
export function checkWork({ payload, steps }: JobWork): Result<undefined, string> {
  if (Buffer.byteLength(payload) > maxPayloadBytes) {
    return Err(`payload exceeds ${maxPayloadBytes} bytes`);
  }
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks > maxTasksPerOccurrence) return Err(`${tasks} tasks exceed ${maxTasksPerOccurrence}`);
  const isBackward = steps.every(({ dependsOn }, index) =>
    dependsOn.every((other) => other < index),
  );
  return isBackward ? Ok(undefined) : Err('a step may depend on earlier steps only');
}
