import type { ConfigChange, ConfigStore, ConfigSync } from '@bergamotreach/config';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Hono } from 'hono';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFaultResponse, createJsonResponse } from './responses.ts';
import type { BodyReader } from './body.ts';
import { createResultResponse } from './jobroutes.ts';
import { parseJsonObject } from './webcontext.ts';
import type { WebContext, WebEnv } from './webcontext.ts';

/** Options of the configuration routes. */
export interface ConfigRouteOptions {
  configStore: ConfigStore;
  configTask: ConfigSync;
  bodyReader: BodyReader;
}

const maxChangeBytes = 4 * 1024 * 1024;
const maxHistoryEntries = 200;

function isStringMap(value: unknown): value is Record<string, string> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false;
  return Object.values(value).every((content) => typeof content === 'string');
}

function isStringArray(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((entry) => typeof entry === 'string');
}

function createFieldFault(key: string, message: string): Fault {
  return createFault(FaultCode.BadRequest, `${key} ${message}`, { path: [key] });
}

function parseChange(input: Record<string, unknown>, author: string): Result<ConfigChange, Fault> {
  const { baseRevision, put = {}, remove = [], operationId } = input;
  if (typeof baseRevision !== 'number' || !Number.isInteger(baseRevision) || baseRevision < 0) {
    return Err(createFieldFault('baseRevision', 'must be an integer of at least 0'));
  }
  if (!isStringMap(put)) return Err(createFieldFault('put', 'must map file names to contents'));
  if (!isStringArray(remove))
    return Err(createFieldFault('remove', 'must be a list of file names'));
  if (typeof operationId !== 'string' || operationId === '') {
    return Err(createFieldFault('operationId', 'must be a unique, non-empty string'));
  }
  return Ok({ baseRevision, put, remove, author, operationId });
}

async function commitChange(options: ConfigRouteOptions, context: WebContext): Promise<Response> {
  const body = await options.bodyReader.readBody(context.env.incoming, maxChangeBytes);
  if (body.isErr()) return createFaultResponse(body.error);
  options.bodyReader.release(body.value);
  const { account } = context.get('caller');
  const change = parseJsonObject(body.value).andThen((input) => parseChange(input, account));
  if (change.isErr()) return createFaultResponse(change.error);
  const committed = await options.configStore.commitChange(change.value);
  if (committed.isOk()) await options.configTask.update();
  return createResultResponse(committed);
}

/** Adds the configuration routes: show, change and history. */
export function addConfigRoutes(app: Hono<WebEnv>, options: ConfigRouteOptions): void {
  app.get('/v1/config', () => {
    const active = options.configTask.getActive();
    const { revision = 0, manifest = '', files = {} } = active ?? {};
    return createJsonResponse({
      revision,
      manifest,
      files,
      status: options.configTask.getStatus(),
    });
  });
  app.post('/v1/config', async (context) => commitChange(options, context));
  app.get('/v1/config/history', async () => {
    const history = await options.configStore.loadHistory(maxHistoryEntries);
    return createResultResponse(history.map((entries) => ({ entries })));
  });
}
