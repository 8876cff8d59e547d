import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { runCli } from '../src/index.ts';

/** A call that the fake daemon received. */
export interface FakeCall {
  method: string;
  path: string;
  authorization: string;
  body: Record<string, unknown>;
}

/** Answer of the fake daemon; `undefined` closes the connection without an answer. */
export type FakeAnswer = { status: number; body: unknown } | undefined;

/** Starts a daemon's operator interface that answers as told; returns its URL and calls. */
export async function startFake(
  context: TestContext,
  answer: (call: FakeCall) => FakeAnswer,
): Promise<{ url: string; calls: FakeCall[] }> {
  const calls: FakeCall[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      const { method = '', url: path = '', headers } = request;
      const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
      const call = { method, path, authorization: headers.authorization ?? '', body };
      calls.push(call);
      const result = answer(call);
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
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, calls };
}

/** Creates an error answer of the daemon. */
export function createError(status: number, code: string, details?: unknown): FakeAnswer {
  return { status, body: { error: { code, path: [], message: `reason of ${code}`, details } } };
}

/** What a command line printed and returned. */
export interface CliRun {
  exitCode: number;
  out: string;
  err: string;
}

/** Runs a command line in this process, without waiting between attempts. */
export async function runLine(
  line: readonly string[],
  env: Record<string, string> = {},
  isTerminal = false,
): Promise<CliRun> {
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
