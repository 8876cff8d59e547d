import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { runCli } from '../src/index.ts';

/** Request that the fake daemon received. */
export interface FakeRequest {
  method: string;
  path: string;
  authorization: string;
  body: Record<string, unknown>;
}

/** Response of the fake daemon; `undefined` closes the connection without a response. */
export type FakeResponse = { status: number; body: unknown } | undefined;

/** Starts a fake operator interface; returns its URL and the requests it receives. */
export async function startFakeDaemon(
  context: TestContext,
  handleRequest: (request: FakeRequest) => FakeResponse,
): Promise<{ url: string; requests: FakeRequest[] }> {
  const requests: FakeRequest[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      const { method = '', url: path = '', headers } = request;
      const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
      const received = { method, path, authorization: headers.authorization ?? '', body };
      requests.push(received);
      const result = handleRequest(received);
      if (result === undefined) {
        response.destroy();
        return;
      }
      response.writeHead(result.status, { 'content-type': 'application/json' });
      response.end(typeof result.body === 'string' ? result.body : JSON.stringify(result.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, requests };
}

/** Creates an error response of the daemon. */
export function createErrorResponse(status: number, code: string, details?: unknown): FakeResponse {
  return { status, body: { error: { code, path: [], message: `reason of ${code}`, details } } };
}

/** Output and exit code of a command line. */
export interface CommandLineResult {
  exitCode: number;
  out: string;
  err: string;
}

/** Runs a command line in this process, without delays between attempts. */
export async function runCommandLine(
  line: readonly string[],
  env: Record<string, string> = {},
  isTerminal = false,
): Promise<CommandLineResult> {
  let out = '';
  let err = '';
  const exitCode = await runCli(line, {
    writeOut: (text) => (out += text),
    writeErr: (text) => (err += text),
    env,
    isTerminal,
    wait: () => Promise.resolve(),
  });
  return { exitCode, out, err };
}

/** Writes a configuration folder and returns its path. */
export function writeFolder(files: Record<string, string>): string {
  const path = mkdtempSync(join(tmpdir(), 'bergamotreach-'));
  for (const [name, content] of Object.entries(files)) writeFileSync(join(path, name), content);
  return path;
}
