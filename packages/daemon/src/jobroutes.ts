import type { EffectiveConfig } from '@bergamotreach/config';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Hono } from 'hono';
import type { Result } from 'ts-results-es';
import { createFaultResponse, createJsonResponse } from './responses.ts';
import type { BodyReader } from './body.ts';
import type { JobService } from './jobservice.ts';
import { parseSubmission } from './jobsubmission.ts';
import { parseJsonObject } from './webcontext.ts';
import type { WebContext, WebEnv } from './webcontext.ts';

/** Options of the job routes. */
export interface JobRouteOptions {
  jobs: JobService;
  bodyReader: BodyReader;
  ownRegion: string;
  /** Whether the daemon refuses new work because it is shutting down. */
  isRefusingWork: () => boolean;
  getConfig: () => EffectiveConfig | undefined;
}

const retryAfterMs = 1000;
// Maximum size of a submission without its payload.
const submissionOverheadBytes = 16_384;

/** Converts a result to a JSON response; `status` applies on success. */
export function createResultResponse<T>(result: Result<T, Fault>, status = 200): Response {
  if (result.isErr()) return createFaultResponse(result.error);
  return createJsonResponse(result.value, status);
}

async function submitJob(options: JobRouteOptions, context: WebContext): Promise<Response> {
  const config = options.getConfig();
  if (config === undefined) {
    const message = 'no configuration is active yet';
    return createFaultResponse(createFault(FaultCode.StoreUnavailable, message, { retryAfterMs }));
  }
  if (options.isRefusingWork()) {
    const message = 'this daemon is shutting down';
    return createFaultResponse(createFault(FaultCode.Draining, message, { retryAfterMs }));
  }
  const { maxPayloadBytes } = config.limits;
  const maxBytes = maxPayloadBytes + submissionOverheadBytes;
  const body = await options.bodyReader.readBody(context.env.incoming, maxBytes);
  if (body.isErr()) return createFaultResponse(body.error);
  options.bodyReader.release(body.value);
  const { account } = context.get('caller');
  const parsed = parseJsonObject(body.value).andThen((input) =>
    parseSubmission(input, account, options.ownRegion, maxPayloadBytes),
  );
  if (parsed.isErr()) return createFaultResponse(parsed.error);
  return createResultResponse(await options.jobs.submitJob(parsed.value), 202);
}

/** Adds the job routes: submit, list, show and cancel. */
export function addJobRoutes(app: Hono<WebEnv>, options: JobRouteOptions): void {
  app.post('/v1/jobs', async (context) => submitJob(options, context));
  app.get('/v1/jobs', async (context) => {
    const listed = await options.jobs.listJobs(context.get('caller'));
    return createResultResponse(listed.map((jobs) => ({ jobs })));
  });
  app.get('/v1/jobs/:id', async (context) =>
    createResultResponse(await options.jobs.getJob(context.get('caller'), context.req.param('id'))),
  );
  app.delete('/v1/jobs/:id', async (context) =>
    createResultResponse(
      await options.jobs.cancelJob(context.get('caller'), context.req.param('id')),
    ),
  );
}
