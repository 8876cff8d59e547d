import type { EffectiveConfig } from '@bergamotreach/config';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Hono } from 'hono';
import type { Result } from 'ts-results-es';
import { createFaultResponse, createJsonResponse } from './answer.ts';
import type { BodyReader } from './body.ts';
import type { JobService } from './jobservice.ts';
import { parseSubmission } from './jobsubmission.ts';
import { parseJsonObject } from './webcontext.ts';
import type { WebContext, WebEnv } from './webcontext.ts';

/** What the job routes need of the daemon. */
export interface JobRouteParts {
  jobs: JobService;
  bodies: BodyReader;
  ownRegion: string;
  /** Whether new work is refused because the daemon shuts down. */
  isRefusing: () => boolean;
  getConfig: () => EffectiveConfig | undefined;
}

const retryAfterMs = 1000;
// Room for the fields of a submission besides its payload.
const submissionOverheadBytes = 16_384;

/** Turns a result into an answer with the given status on success. */
export function createResultResponse<T>(result: Result<T, Fault>, status = 200): Response {
  if (result.isErr()) return createFaultResponse(result.error);
  return createJsonResponse(result.value, status);
}

async function submitJob(parts: JobRouteParts, context: WebContext): Promise<Response> {
  const config = parts.getConfig();
  if (config === undefined) {
    const message = 'no configuration is in force yet';
    return createFaultResponse(createFault(FaultCode.StoreUnavailable, message, { retryAfterMs }));
  }
  if (parts.isRefusing()) {
    const message = 'this daemon is shutting down';
    return createFaultResponse(createFault(FaultCode.Draining, message, { retryAfterMs }));
  }
  const { maxPayloadBytes } = config.limits;
  const maxBytes = maxPayloadBytes + submissionOverheadBytes;
  const body = await parts.bodies.readBody(context.env.incoming, maxBytes);
  if (body.isErr()) return createFaultResponse(body.error);
  parts.bodies.release(body.value);
  const { account } = context.get('caller');
  const parsed = parseJsonObject(body.value).andThen((input) =>
    parseSubmission(input, account, parts.ownRegion, maxPayloadBytes),
  );
  if (parsed.isErr()) return createFaultResponse(parsed.error);
  return createResultResponse(await parts.jobs.submitJob(parsed.value), 202);
}

/** Adds the routes of jobs: submit, list, show and cancel. */
export function addJobRoutes(app: Hono<WebEnv>, parts: JobRouteParts): void {
  app.post('/v1/jobs', async (context) => submitJob(parts, context));
  app.get('/v1/jobs', async (context) => {
    const listed = await parts.jobs.listJobs(context.get('caller'));
    return createResultResponse(listed.map((jobs) => ({ jobs })));
  });
  app.get('/v1/jobs/:id', async (context) =>
    createResultResponse(await parts.jobs.getJob(context.get('caller'), context.req.param('id'))),
  );
  app.delete('/v1/jobs/:id', async (context) =>
    createResultResponse(
      await parts.jobs.cancelJob(context.get('caller'), context.req.param('id')),
    ),
  );
}
